package overload_test

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// server is a backend server under leases. It always gets its processor time.
type server struct {
	fleet   *fleet
	id      string
	born    time.Time
	token   int64
	lease   int64          // end of the lease on its clock
	runs    map[string]int // number of the run, by task name
	last    map[string]int // number of the last run that ended or was stopped, by task name
	ended   []pool.ListedEnd
	ends    int // numbered so far
	waiting []func()
	speed   float64 // 0 for 1
}

func (s *server) clock() int64 { return s.fleet.now.Sub(s.born).Milliseconds() }

// handle carries out an order and answers it.
func (s *server) handle(cmd pool.Cmd, reply func(pool.Msg)) {
	switch cmd := cmd.(type) {
	case pool.StartCmd:
		reply(pool.StartedMsg{
			Server: cmd.Server,
			Name:   cmd.Task.Name(),
			Run:    cmd.Task.Run,
			Sent:   cmd.Sent,
			Result: s.start(cmd),
			Clock:  s.clock(),
		})
	case pool.StopCmd:
		s.last[cmd.Name] = max(s.last[cmd.Name], cmd.Run)
		if run, ok := s.runs[cmd.Name]; ok && run <= cmd.Run {
			s.endAfter(time.Millisecond, cmd.Name, work.EndStopped)
		}
		reply(pool.StoppedMsg{
			Server: cmd.Server,
			Name:   cmd.Name,
			Run:    cmd.Run,
			Sent:   cmd.Sent,
			Result: pool.Accepted,
			Clock:  s.clock(),
		})
	case pool.PollCmd:
		s.poll(cmd, reply)
	}
}

func (s *server) start(cmd pool.StartCmd) pool.Result {
	name := cmd.Task.Name()
	if cmd.Token < s.token {
		return pool.Fenced
	}
	s.token = cmd.Token
	if cmd.Deadline <= s.clock() {
		return pool.DeadlinePassed
	}
	s.extend(cmd.Deadline)
	run, runs := s.runs[name]
	switch {
	case runs && run == cmd.Task.Run:
		return pool.Accepted
	case runs || cmd.Task.Run <= s.last[name]:
		return pool.StaleRun
	case (len(s.runs)+1)*taskCores > serverCores:
		return pool.Full
	}
	s.runs[name] = cmd.Task.Run
	index, _ := strconv.Atoi(name[strings.LastIndexByte(name, '.')+1:])
	s.endAfter(s.runTime(s.fleet.jobs[cmd.Task.Job].runTimes[index]), name, work.EndDone)
	return pool.Accepted
}

// runTime returns how long a run takes that is given for the usual server.
func (s *server) runTime(usual time.Duration) time.Duration {
	if s.speed == 0 {
		return usual
	}
	return time.Duration(float64(usual) / s.speed)
}

func (s *server) extend(deadline int64) {
	if deadline <= s.lease {
		return
	}
	s.lease = deadline
	s.fleet.after(time.Duration(deadline-s.clock())*time.Millisecond, func() {
		if s.lease == deadline {
			for _, name := range slices.Sorted(maps.Keys(s.runs)) {
				s.end(name, work.EndLeaseExpired)
			}
		}
	})
}

func (s *server) endAfter(d time.Duration, name string, end work.End) {
	run := s.runs[name]
	s.fleet.after(d, func() {
		if r, ok := s.runs[name]; ok && r == run {
			s.end(name, end)
		}
	})
}

func (s *server) end(name string, end work.End) {
	s.ends++
	s.ended = append(s.ended, pool.ListedEnd{
		Number: s.ends,
		Name:   name,
		Run:    s.runs[name],
		End:    end,
	})
	s.last[name] = max(s.last[name], s.runs[name])
	delete(s.runs, name)
	waiting := s.waiting
	s.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

// poll answers with the lists, once there are new ends or after the wait.
func (s *server) poll(cmd pool.PollCmd, reply func(pool.Msg)) {
	s.token = max(s.token, cmd.Token)
	if cmd.Deadline > 0 {
		s.extend(cmd.Deadline)
	}
	s.ended = slices.DeleteFunc(s.ended, func(e pool.ListedEnd) bool { return e.Number <= cmd.LastEnd })
	sent, answered := s.fleet.now.Add(-hop), false
	answer := func() {
		if answered {
			return
		}
		answered = true
		msg := pool.PollResultMsg{
			Server: cmd.Server,
			Serial: cmd.Serial,
			Sent:   sent,
			Result: pool.Accepted,
			Clock:  s.clock(),
			Born:   s.born.UnixMilli(),
			Ended:  slices.Clone(s.ended),
		}
		for _, name := range slices.Sorted(maps.Keys(s.runs)) {
			msg.Running = append(msg.Running, pool.ListedRun{
				Name:    name,
				Run:     s.runs[name],
				Percent: 50,
			})
		}
		reply(msg)
	}
	if len(s.ended) > 0 || cmd.Wait == 0 {
		answer()
		return
	}
	s.waiting = append(s.waiting, answer)
	s.fleet.after(cmd.Wait, answer)
}
