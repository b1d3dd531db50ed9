package pool

import (
	"maps"
	"slices"
	"time"
)

// Ways are what servers may do otherwise than usual, and still as the interface says. The zero
// value is the usual way.
type Ways struct {
	HideStopping bool          // a run that is being stopped is in neither list
	Moments      time.Duration // longest time to handle an order; lists and clock are each of any moment of it
	ClockAhead   time.Duration // how far the clock in an answer may be ahead
	ClockBehind  time.Duration
	Stuck        float64       // share of the runs that are listed with hardly any progress
	Silent       time.Duration // longest time for which a new process is cut off, but for orders to its predecessor
	StaleOrders  bool          // a process that has received no order yet carries out those to its predecessor
	Elsewhere    string        // address where another server answers
}

// replacedAnswer returns the answer of another server to the same order.
func replacedAnswer(answer Msg) Msg {
	switch answer := answer.(type) {
	case StartedMsg:
		answer.Result = Replaced
		return answer
	case StoppedMsg:
		answer.Result = Replaced
		return answer
	case PollResultMsg:
		answer.Result = Replaced
		return answer
	}
	return answer
}

// Pause lets a server handle nothing for a time. Its clock, its leases and its runs go on.
func (s *SimulatedServer) Pause(d time.Duration) { s.pausedTo = s.all.Now.Add(d) }

// whenAwake does something once the server isn't paused, unless its process has ended by then.
func (s *SimulatedServer) whenAwake(do func()) {
	if !s.all.Now.Before(s.pausedTo) {
		do()
		return
	}
	s.all.At(s.pausedTo, func() {
		if s.all.Servers[s.ID] == s {
			s.whenAwake(do)
		}
	})
}

// readClock returns the clock as it is in an answer.
func (s *SimulatedServer) readClock() int64 {
	clock := s.clock()
	if w := s.all.Ways; w.ClockAhead+w.ClockBehind > 0 {
		clock += (s.all.UpTo(w.ClockAhead+w.ClockBehind) - w.ClockBehind).Milliseconds()
	}
	return clock
}

// handle carries an order out and replies with the clock.
func (s *SimulatedServer) handle(carryOut func(), reply func(clock int64)) {
	if s.all.Ways.Moments == 0 {
		carryOut()
		reply(s.readClock())
		return
	}
	took := s.all.UpTo(s.all.Ways.Moments)
	clock := int64(0)
	s.all.After(s.all.UpTo(took), func() { clock = s.readClock() })
	s.all.After(s.all.UpTo(took), func() {
		if s.all.Servers[s.ID] == s {
			carryOut()
		}
	})
	s.all.After(took, func() {
		if s.all.Servers[s.ID] == s {
			reply(clock)
		}
	})
}

// afterHandling does something after the time to handle an order.
func (s *SimulatedServer) afterHandling(do func()) {
	if s.all.Ways.Moments == 0 {
		do()
		return
	}
	s.all.After(s.all.UpTo(s.all.Ways.Moments), do)
}

// moment is what a server would answer to a poll at one moment.
type moment struct {
	running []ListedRun
	ended   []ListedEnd
	clock   int64
}

func (s *SimulatedServer) moment() moment {
	m := moment{
		ended: slices.Clone(s.ended),
		clock: s.readClock(),
	}
	for _, name := range slices.Sorted(maps.Keys(s.runs)) {
		r := s.runs[name]
		if r.stopping && s.all.Ways.HideStopping {
			continue
		}
		listed := ListedRun{
			Name:    name,
			Run:     r.run,
			Percent: percentDone - 1,
		}
		if r.stuck {
			listed.Percent = 1
		}
		m.running = append(m.running, listed)
	}
	return m
}

// watch returns a function that returns the lists and the clock of now, or each of any moment
// from the call on.
func (s *SimulatedServer) watch(wait time.Duration) func() ([]ListedRun, []ListedEnd, int64) {
	if s.all.Ways.Moments == 0 {
		return func() ([]ListedRun, []ListedEnd, int64) {
			m := s.moment()
			return m.running, m.ended, m.clock
		}
	}
	moments := []moment{s.moment()}
	s.all.After(s.all.UpTo(wait+s.all.Ways.Moments), func() { moments = append(moments, s.moment()) })
	drawn := func() moment { return moments[s.all.Random.IntN(len(moments))] }
	return func() ([]ListedRun, []ListedEnd, int64) {
		moments = append(moments, s.moment())
		return drawn().running, drawn().ended, drawn().clock
	}
}
