package explore

import (
	"slices"

	"rosemarywalk/core/pool"
)

// Kind is a kind of event.
type Kind uint8

// The kinds of events.
const (
	Pass      Kind = iota // a step of time passes
	Freeze                // the home is frozen for longer than a lease
	Arrive                // an order arrives, and its answer is on the way
	Late                  // an order arrives after the home has stopped waiting for its answer
	Repeat                // an order arrives, and once more later
	Answer                // an order arrives if it has not, and its answer arrives
	Odd                   // the same with an answer that was made in an unusual way
	Finish                // a run ends by itself
	Cut                   // a server is cut off from the home
	Mend                  // the cut ends early
	Die                   // a server's process ends
	Rise                  // a new process starts, whose clock goes on
	Reset                 // a new process starts, whose clock starts at 0
	List                  // the entry shows the process that runs
	ListAhead             // the entry shows a process that is still to start
	Move                  // the entry shows an address where another server answers
	Release               // the home is to release a server
	Replace               // the home dies, and another one takes the servers over
	Cancel                // the caller cancels the job
	Wake                  // a frozen home goes on early
	Leave                 // the caller leaves, and submits the job again later
	Vanish                // the same, and its entry doesn't see that it left
)

// Way is a set of unusual ways in which the answer to an order is made.
type Way uint8

// The unusual ways of answers.
const (
	HideStopping Way = 1 << iota // a run that is being stopped isn't listed
	OldRunning                   // the list of running tasks is of the order's arrival
	OldEnded                     // the list of ends is of the order's arrival
	ClockAhead                   // the clock reads too much
	ClockBehind                  // the clock reads too little
)

// Event is an event of a PoolWorld or a HomesWorld.
type Event struct {
	Kind   Kind
	Call   uint8 // position among the orders or frames on the way
	Server uint8 // position among the servers or homes
	Way    Way   // in which an odd answer is made
}

// Events returns the events that can happen now, the usual one first: answers arrive in the
// order of their calls, and then time passes.
func (w *PoolWorld) Events() []Event {
	if w.over() {
		return nil
	}
	events := []Event{w.usual()}
	add := func(e Event) {
		if e != events[0] {
			events = append(events, e)
		}
	}
	add(Event{Kind: Pass})
	for i, c := range w.calls {
		for _, e := range w.callEvents(uint8(i), c) {
			add(e)
		}
	}
	for i, s := range w.servers {
		for _, e := range w.serverEvents(uint8(i), s) {
			add(e)
		}
	}
	if !w.job.cancelled && !w.job.ended && w.informed() {
		add(Event{Kind: Cancel})
	}
	if w.mayFail(Freeze) {
		add(Event{Kind: Freeze})
	}
	if w.mayFail(Replace) && !w.job.ended && !w.job.cancelled {
		add(Event{Kind: Replace})
	}
	return events
}

// over reports whether the job has ended and no order to start it is on the way.
func (w *PoolWorld) over() bool {
	return w.job.ended && !slices.ContainsFunc(w.calls, func(c *call) bool {
		_, start := c.cmd.(pool.StartCmd)
		return start && !c.arrived
	})
}

// usual returns the event that is no deviation.
func (w *PoolWorld) usual() Event {
	for i, c := range w.calls {
		if !c.abandoned && w.reachable(c) && w.answers(c) {
			return Event{
				Kind: Answer,
				Call: uint8(i),
			}
		}
	}
	for i, s := range w.servers {
		e := Event{Server: uint8(i)}
		switch {
		case !s.up && w.now.Sub(s.died) >= awaySteps*step:
			e.Kind = Rise
		case s.up && !s.listed.Equal(s.born) && w.now.Sub(s.started) >= step, s.moved, s.released:
			e.Kind = List
		case len(s.runs) > 0 && s.runs[0].stopping == "" && s.runs[0].number != s.stuck:
			e.Kind = Finish
		default:
			continue
		}
		return e
	}
	return Event{Kind: Pass}
}

// mayFail reports whether a fault of a kind may happen now.
func (w *PoolWorld) mayFail(k Kind) bool {
	return slices.Contains(w.config.Kinds, k)
}

func (w *PoolWorld) callEvents(i uint8, c *call) []Event {
	if !w.reachable(c) {
		return nil
	}
	var events []Event
	if !c.abandoned && w.answers(c) {
		events = append(events, Event{
			Kind: Answer,
			Call: i,
		})
		if w.mayFail(Odd) && !c.elsewhere {
			for way := Way(1); way <= w.config.Ways; way++ {
				if way&^w.config.Ways == 0 && w.differs(c, way) {
					events = append(events, Event{
						Kind: Odd,
						Call: i,
						Way:  way,
					})
				}
			}
		}
	}
	if c.arrived || c.elsewhere {
		return events
	}
	if !c.abandoned {
		events = append(events, Event{
			Kind: Arrive,
			Call: i,
		})
	} else if w.mayFail(Late) {
		events = append(events, Event{
			Kind: Late,
			Call: i,
		})
	}
	if _, poll := c.cmd.(pool.PollCmd); !poll && !c.abandoned && w.mayFail(Repeat) {
		events = append(events, Event{
			Kind: Repeat,
			Call: i,
		})
	}
	return events
}

func (w *PoolWorld) serverEvents(i uint8, s *server) []Event {
	var kinds []Kind
	switch {
	case !s.up:
		kinds = append(kinds, Rise, Reset)
	case len(s.runs) > 0:
		kinds = append(kinds, Finish)
	}
	if s.up && w.mayFail(Die) {
		kinds = append(kinds, Die)
	}
	if w.now.Before(s.cutTo) {
		kinds = append(kinds, Mend)
	} else if w.mayFail(Cut) {
		kinds = append(kinds, Cut)
	}
	if s.up && !s.listed.Equal(s.born) || s.moved || s.released {
		kinds = append(kinds, List)
	}
	if s.up && w.mayFail(ListAhead) && s.listed.Equal(s.born) {
		kinds = append(kinds, ListAhead)
	}
	if w.mayFail(Move) && !s.moved {
		kinds = append(kinds, Move)
	}
	if w.mayFail(Release) && !s.released {
		kinds = append(kinds, Release)
	}
	events := make([]Event, 0, len(kinds))
	for _, k := range kinds {
		events = append(events, Event{
			Kind:   k,
			Server: i,
		})
	}
	return events
}
