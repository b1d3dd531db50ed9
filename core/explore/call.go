package explore

import (
	"slices"
	"time"

	"rosemarywalk/core/pool"
)

// call is an order to a server.
type call struct {
	cmd       pool.Cmd
	server    int
	sent      time.Time
	wait      time.Duration
	elsewhere bool // sent to an address where another server answers
	arrived   bool
	result    pool.Result
	lists     lists // at the arrival
	lastEnd   int
	abandoned bool // the home expects no answer any more
}

func (w *PoolWorld) call(id, address string, c call) {
	c.server = slices.IndexFunc(w.servers, func(s *server) bool { return s.id == id })
	c.sent, c.elsewhere = w.now, address == misdirection
	if c.elsewhere {
		// A start is repeated at once, so the answers must take time.
		c.wait = step
	}
	w.calls = append(w.calls, &c)
}

// reachable reports whether an order or its answer can arrive now.
func (w *PoolWorld) reachable(c *call) bool {
	s := w.servers[c.server]
	return c.elsewhere || !w.now.Before(s.cutTo) && (c.arrived || s.up)
}

// answers reports whether a server would answer an order now. A poll waits for an end.
func (w *PoolWorld) answers(c *call) bool {
	return c.result == pool.Fenced || w.now.Sub(c.sent) >= c.wait ||
		len(w.servers[c.server].ended) > c.lastEnd
}

// differs reports whether an answer made in an unusual way differs from all that are made in
// fewer such ways.
func (w *PoolWorld) differs(c *call, way Way) bool {
	_, poll := c.cmd.(pool.PollCmd)
	s := w.servers[c.server]
	old := c.arrived && s.up && c.lists.born == s.born.UnixMilli()
	current := s.lists(w.now)
	switch {
	case c.arrived && !old, way&ClockAhead != 0 && way&ClockBehind != 0:
		return false
	case way&(HideStopping|OldRunning|OldEnded) != 0 && !poll:
		return false
	case way&HideStopping != 0 && (!s.stopping() || way&OldRunning != 0):
		return false
	case way&OldRunning != 0 && (!old || slices.Equal(current.running, c.lists.running)):
		return false
	case way&OldEnded != 0 && (!old || slices.Equal(current.ended, c.lists.ended)):
		return false
	}
	return true
}

// arrive carries an order out at its server. No owner can prevent that a new process that has
// received no order yet carries out one to its predecessor.
func (w *PoolWorld) arrive(c *call) {
	s := w.servers[c.server]
	c.arrived = true
	switch cmd := c.cmd.(type) {
	case pool.StartCmd:
		if c.sent.Before(s.started) && s.token == 0 {
			c.result = pool.Unanswered
			return
		}
		before := len(s.runs)
		c.result = s.start(w.now, cmd)
		if len(s.runs) > before {
			w.started(s, cmd.Task.Run)
		}
	case pool.StopCmd:
		c.result = s.stop(w.now, cmd)
	case pool.PollCmd:
		c.result = pool.Accepted
		if s.fences(cmd.Token) {
			c.result = pool.Fenced
		} else if cmd.Deadline > 0 {
			s.extend(w.now, cmd.Deadline)
		}
	}
	c.lists = s.lists(w.now)
}

// answer lets the answer to an order arrive.
func (w *PoolWorld) answer(i int, way Way) {
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	if c.elsewhere {
		w.deliver(c.answer(pool.Replaced, lists{}))
		return
	}
	s := w.servers[c.server]
	if !c.arrived {
		w.arrive(c)
	}
	l := s.lists(w.now)
	if !s.up || c.lists.born != l.born {
		l = c.lists
	}
	if way&OldRunning != 0 {
		l.running = c.lists.running
	}
	if way&OldEnded != 0 {
		l.ended = c.lists.ended
	}
	if way&HideStopping != 0 {
		l.running = slices.DeleteFunc(l.running, func(r pool.ListedRun) bool {
			return slices.ContainsFunc(s.runs, func(o run) bool { return o.number == r.Run && o.stopping != "" })
		})
	}
	if way&ClockAhead != 0 {
		l.clock += jitter
	}
	if way&ClockBehind != 0 {
		l.clock -= jitter
	}
	l.ended = slices.DeleteFunc(slices.Clone(l.ended), func(e pool.ListedEnd) bool { return e.Number <= c.lastEnd })
	w.deliver(c.answer(c.result, l))
	w.place()
}

// answer returns the message that answers an order.
func (c *call) answer(result pool.Result, l lists) pool.Msg {
	switch cmd := c.cmd.(type) {
	case pool.StartCmd:
		return pool.StartedMsg{
			Server: cmd.Server,
			Name:   cmd.Task.Name(),
			Run:    cmd.Task.Run,
			Sent:   cmd.Sent,
			Result: result,
			Clock:  l.clock,
		}
	case pool.StopCmd:
		return pool.StoppedMsg{
			Server: cmd.Server,
			Name:   cmd.Name,
			Run:    cmd.Run,
			Sent:   cmd.Sent,
			Result: result,
			Clock:  l.clock,
		}
	case pool.PollCmd:
		msg := pool.PollResultMsg{
			Server: cmd.Server,
			Serial: cmd.Serial,
			Sent:   c.sent,
			Result: result,
		}
		if result == pool.Accepted {
			msg.Clock, msg.Born, msg.Running, msg.Ended = l.clock, l.born, l.running, l.ended
		}
		return msg
	}
	return nil
}
