package explore

import (
	"math"
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// server is a backend server under leases that runs tasks of one name.
type server struct {
	id       string
	up       bool
	born     time.Time // start of the process, by its lists
	started  time.Time // since when its clock goes
	died     time.Time // when its last process died
	cutTo    time.Time // until when it is cut off from the home
	listed   time.Time // start by its entry
	moved    bool      // its entry has an address where another server answers
	released bool      // the home isn't to own it
	rate     float64   // of its clock
	offset   int64     // of its clock, in milliseconds
	stuck    int       // number of the run that makes no progress; 0 for none
	token    int64
	lease    int64 // end of the lease on its clock
	last     int   // highest run that ended or was stopped
	runs     []run
	ended    []pool.ListedEnd
}

type run struct {
	number   int
	stopping work.End  // how it ends when it has stopped; "" if it isn't being stopped
	stopBy   time.Time // when it has stopped
}

// lists is what a server answers at one moment.
type lists struct {
	born    int64
	clock   int64
	running []pool.ListedRun
	ended   []pool.ListedEnd
}

func (s *server) clock(now time.Time) int64 {
	return s.offset + int64(s.rate*float64(now.Sub(s.started)/time.Millisecond))
}

// real returns how long its clock takes for a number of milliseconds.
func (s *server) real(millis int64) time.Duration {
	return time.Duration(math.Ceil(float64(millis)/s.rate)) * time.Millisecond
}

func (s *server) fences(token int64) bool {
	if token < s.token {
		return true
	}
	s.token = token
	return false
}

func (s *server) extend(now time.Time, deadline int64) {
	s.lease = max(s.lease, min(deadline, s.clock(now)+limits.MaxLease.Milliseconds()))
}

func (s *server) start(now time.Time, cmd pool.StartCmd) pool.Result {
	if s.fences(cmd.Token) {
		return pool.Fenced
	}
	if cmd.Deadline <= s.clock(now) {
		return pool.DeadlinePassed
	}
	s.extend(now, cmd.Deadline)
	for _, r := range s.runs {
		if r.number == cmd.Task.Run {
			return pool.Accepted
		}
	}
	if cmd.Task.Run <= s.last {
		return pool.StaleRun
	}
	s.runs = append(s.runs, run{number: cmd.Task.Run})
	return pool.Accepted
}

func (s *server) stop(now time.Time, cmd pool.StopCmd) pool.Result {
	if s.fences(cmd.Token) {
		return pool.Fenced
	}
	s.last = max(s.last, cmd.Run)
	for i, r := range s.runs {
		if r.number <= cmd.Run {
			s.stopRun(now, i, work.EndStopped)
		}
	}
	return pool.Accepted
}

func (s *server) stopRun(now time.Time, i int, end work.End) {
	if s.runs[i].stopping == "" {
		s.runs[i].stopping, s.runs[i].stopBy = end, now.Add(s.real(limits.StopTimeout.Milliseconds()))
	}
}

// end ends a run.
func (s *server) end(i int, end work.End) {
	number := s.runs[i].number
	s.ended = append(s.ended, pool.ListedEnd{
		Number: len(s.ended) + 1,
		Name:   taskName,
		Run:    number,
		End:    end,
	})
	s.last = max(s.last, number)
	s.runs = slices.Delete(s.runs, i, i+1)
}

// pass ends what must have ended by now.
func (s *server) pass(now time.Time) {
	for i := len(s.runs) - 1; i >= 0; i-- {
		if over := s.started.Add(s.real(s.lease - s.offset)); !now.Before(over) {
			s.stopRun(over, i, work.EndLeaseExpired)
		}
		if r := s.runs[i]; r.stopping != "" && !now.Before(r.stopBy) {
			s.end(i, r.stopping)
		}
	}
}

func (s *server) lists(now time.Time) lists {
	l := lists{
		born:  s.born.UnixMilli(),
		clock: s.clock(now),
		ended: slices.Clone(s.ended),
	}
	for _, r := range s.runs {
		percent := 99
		if r.number == s.stuck {
			percent = 1
		}
		l.running = append(l.running, pool.ListedRun{
			Name:    taskName,
			Run:     r.number,
			Percent: percent,
		})
	}
	return l
}

func (s *server) stopping() bool {
	return slices.ContainsFunc(s.runs, func(r run) bool { return r.stopping != "" })
}

// die ends the process with all that it runs and knows.
func (s *server) die(now time.Time) {
	s.died = now
	s.up, s.runs, s.ended, s.token, s.lease, s.last = false, nil, nil, 0, 0, 0
}

// rise starts a new process, which is the one that its entry shows if that was ahead.
func (s *server) rise(now time.Time, offset int64) {
	s.up, s.started, s.offset = true, now, offset
	if s.listed.After(s.born) {
		s.born = s.listed
	} else {
		s.born = now
	}
}
