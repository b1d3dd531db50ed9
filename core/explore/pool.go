package explore

import (
	"fmt"
	"slices"
	"time"

	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

const (
	step         = 100 * time.Millisecond
	awaySteps    = 5 // of a frozen home, a cut and a dead server if nothing deviates; longer than a lease
	restSteps    = 2 // until runs that were being stopped unlisted have stopped
	maxLateness  = 5 * step
	jitter       = 30 // milliseconds that a clock in an answer may be off
	owner        = "owner"
	jobID        = "job"
	misdirection = "elsewhere" // address where another server answers
)

var taskName = work.Task{Job: jobID}.Name()

var limits = pool.Limits{
	Lease:         3 * step,
	MaxLease:      3 * step,
	AnswerTimeout: step,
	HedgeDelay:    step,
	PollWait:      step,
	ShortPollWait: step,
	TakeoverDelay: step,
	RetakeDelay:   step,
	SlowFactor:    3,
	StartTimeout:  3 * step,
	ProbeInterval: step,
	StopTimeout:   3 * step / 2,
	Health: health.Limits{
		FailureThreshold: 2,
		InitialBackoff:   step,
		MaxBackoff:       2 * step,
	},
	SlowdownWeight: 0.3,
	MaxSlowdown:    1.8,
}

// PoolWorld is a home that owns two servers and runs a job of one task. The first run at
// the first server makes no progress, so it is moved to the second one.
type PoolWorld struct {
	now       time.Time
	model     *pool.Model
	token     int64
	servers   []*server
	calls     []*call
	job       job
	config    Config
	broken    string
	trace     func(string)
	inspected map[string]bool // servers whose runs are known to the home
	restUntil time.Time       // until the home handles no job that may have been submitted before
	replaced  bool            // the home has been replaced
}

type job struct {
	run       int    // number of the next run
	avoid     string // server that is used last
	waits     bool   // for a server
	cancelled bool
	ended     bool // and the caller knows
	confirmed bool // the caller knows that it was cancelled
}

// Config sets which faults may happen in a PoolWorld.
type Config struct {
	Kinds []Kind  // of faults
	First []Event // that have happened before
	Ways  Way     // of odd answers
}

// NewPoolWorld returns a world in which the home has just placed the job's task. A nil trace
// traces nothing.
func NewPoolWorld(c Config, trace func(string)) *PoolWorld {
	now := time.Unix(1000, 0)
	w := &PoolWorld{
		now:       now,
		model:     pool.New("home", limits),
		token:     now.UnixMilli(),
		config:    c,
		inspected: map[string]bool{},
	}
	for i, id := range []string{"a", "b"} {
		w.servers = append(w.servers, &server{
			id:      id,
			up:      true,
			born:    now.Add(-time.Second),
			started: now.Add(-time.Second),
			listed:  now.Add(-time.Second),
			rate:    []float64{0.98, 1}[i],
			stuck:   []int{1, 0}[i],
		})
	}
	w.assign()
	for len(w.calls) > 0 {
		w.answer(0, 0)
	}
	w.restUntil = now
	w.job = job{
		run:   1,
		waits: true,
	}
	w.place()
	for _, e := range c.First {
		w.Apply(e)
	}
	w.trace = trace
	return w
}

// Broken returns the rule that has been broken, or "".
func (w *PoolWorld) Broken() string { return w.broken }

// Apply makes an event happen.
func (w *PoolWorld) Apply(e Event) {
	if w.trace != nil {
		w.trace(at(w.now, w.describe(e)))
	}
	// No two events happen at the same instant.
	w.advance(time.Microsecond)
	s := w.servers[e.Server]
	switch e.Kind {
	case Pass:
		w.pass(true)
	case Freeze:
		for range awaySteps {
			w.pass(false)
		}
	case Arrive:
		w.arrive(w.calls[e.Call])
	case Late:
		w.arrive(w.calls[e.Call])
		w.calls = slices.Delete(w.calls, int(e.Call), int(e.Call)+1)
	case Repeat:
		again := *w.calls[e.Call]
		again.abandoned = true
		w.calls = append(w.calls, &again)
		w.arrive(w.calls[e.Call])
	case Answer, Odd:
		w.answer(int(e.Call), e.Way)
	case Cut:
		s.cutTo = w.now.Add(awaySteps * step)
	case Mend:
		s.cutTo = w.now
	case Finish:
		s.end(0, work.EndDone)
	case Die:
		s.die(w.now)
	case Rise:
		s.rise(w.now, s.clock(w.now))
	case Reset:
		s.rise(w.now, 0)
	case List:
		s.listed, s.moved, s.released = s.born, false, false
		w.assign()
	case ListAhead:
		s.listed = w.now.Add(step)
		w.assign()
	case Move:
		s.moved = true
		w.assign()
	case Release:
		s.released = true
		w.assign()
	case Replace:
		w.replace()
	case Cancel:
		w.cancel()
	}
	w.check()
}

func (w *PoolWorld) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, s := range w.servers {
		s.pass(w.now)
	}
}

// pass lets a step of time pass. A home that is frozen handles nothing meanwhile.
func (w *PoolWorld) pass(awake bool) {
	w.advance(step)
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		return c.abandoned && (c.arrived || c.elsewhere || w.now.Sub(c.sent) > maxLateness)
	})
	if !awake {
		return
	}
	w.assign()
	w.deliver(pool.TickMsg{})
	for _, c := range slices.Clone(w.calls) {
		if !c.abandoned && w.now.Sub(c.sent) >= limits.AnswerTimeout+c.wait {
			c.abandoned = true
			w.deliver(c.answer(pool.Unanswered, lists{}))
		}
	}
	w.place()
}

// assign gives the home the list of the servers.
func (w *PoolWorld) assign() {
	entries := make([]listing.Server, 0, len(w.servers))
	for _, s := range w.servers {
		if s.released {
			continue
		}
		entry := listing.Server{
			ID:              s.id,
			Address:         s.id,
			Domain:          "home",
			Capacity:        work.Size{CPU: 1},
			StartedAtMillis: s.listed.UnixMilli(),
		}
		if s.moved {
			entry.Address = misdirection
		}
		entries = append(entries, entry)
	}
	w.deliver(pool.AssignMsg{
		Servers: entries,
		Token:   w.token,
	})
}

// deliver lets the home handle a message and carries out its commands.
func (w *PoolWorld) deliver(msg pool.Msg) {
	for _, cmd := range w.model.Update(w.now, msg) {
		if w.trace != nil {
			if text := describeCmd(cmd); text != "" {
				w.trace(at(w.now, "  home: "+text))
			}
		}
		switch cmd := cmd.(type) {
		case pool.StartCmd:
			w.call(cmd.Server, cmd.Address, call{cmd: cmd})
		case pool.StopCmd:
			w.call(cmd.Server, cmd.Address, call{cmd: cmd})
		case pool.PollCmd:
			w.call(cmd.Server, cmd.Address, call{
				cmd:     cmd,
				wait:    cmd.Wait,
				lastEnd: cmd.LastEnd,
			})
		case pool.EndCmd:
			w.ended(cmd)
		case pool.LogCmd:
			if (cmd.Event == "held" || cmd.Event == "unknown runs stopped") && !w.inspected[cmd.Server] {
				w.inspected[cmd.Server] = true
				w.restUntil = w.now.Add(restSteps * step)
			}
		case pool.CapacityChangedCmd, pool.LossCmd:
		}
	}
}

// informed reports whether the home has had the time to learn of all runs.
func (w *PoolWorld) informed() bool {
	return len(w.inspected) == len(w.servers) && !w.now.Before(w.restUntil)
}

// place asks the home to start the task if the job waits.
func (w *PoolWorld) place() {
	if !w.job.waits || !w.informed() {
		return
	}
	w.job.waits = false
	w.deliver(pool.RunMsg{
		Task: work.Task{
			Job:           jobID,
			Run:           w.job.run,
			Size:          work.Size{CPU: 1},
			PredictedTime: step,
			AvoidServer:   w.job.avoid,
		},
		Owner: owner,
	})
}

// ended handles the end of a run as reported by the home.
func (w *PoolWorld) ended(cmd pool.EndCmd) {
	number := cmd.Task.Run
	if cmd.End != work.EndUnknown {
		for _, s := range w.servers {
			if s.id == cmd.Server && slices.ContainsFunc(s.runs, func(r run) bool { return r.number == number }) {
				w.breaks("run %d is reported as %s by proof %s, and goes on at %s", number, cmd.End, cmd.Proof, s.id)
			}
		}
	}
	if cmd.End == work.EndUnknown && !w.replaced {
		w.breaks("the end of run %d at %s is reported as unknown, and no other home owned it", number, cmd.Server)
	}
	w.job.run = number
	if cmd.End != work.EndNotStarted {
		w.job.run++
	}
	w.job.ended = w.job.cancelled || cmd.End == work.EndDone || cmd.End == work.EndUnknown
	w.job.confirmed = w.job.cancelled && cmd.End != work.EndUnknown
	w.job.waits = !w.job.ended
}

// cancel cancels the job. A job without a run ends at once.
func (w *PoolWorld) cancel() {
	w.job.cancelled = true
	if w.job.waits {
		w.job.waits, w.job.ended, w.job.confirmed = false, true, true
		return
	}
	w.deliver(pool.StopMsg{
		Name:  taskName,
		Owner: owner,
	})
}

// replace lets the home die. The caller submits the job again to another one, which takes the
// servers over. It handles the job when it has had the time to learn of all runs.
func (w *PoolWorld) replace() {
	w.token += int64(step / time.Millisecond)
	w.model, w.inspected = pool.New("home", limits), map[string]bool{}
	w.replaced = true
	for _, c := range w.calls {
		c.abandoned = true
	}
	w.job = job{
		run:   1,
		avoid: w.servers[0].id,
		waits: true,
	}
	w.assign()
}

// started checks the rules for a run that starts.
func (w *PoolWorld) started(s *server, number int) {
	if w.job.confirmed {
		w.breaks("run %d starts at %s after the cancelling was confirmed", number, s.id)
	}
}

// check checks the rules that hold at all times.
func (w *PoolWorld) check() {
	var at []string
	for _, s := range w.servers {
		for range s.runs {
			at = append(at, s.id)
		}
	}
	if len(at) > 1 {
		w.breaks("two runs at once, at %v", at)
	}
}

func (w *PoolWorld) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}
