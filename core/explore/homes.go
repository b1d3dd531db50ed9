package explore

import (
	"fmt"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/confirm"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
)

const (
	resendSteps   = 13              // until a caller submits its job again
	silentSteps   = 6               // after which a home isn't heard any more, and frames on a silent link are lost
	stallSteps    = 5               // after which a home that was frozen has stalled
	callerTimeout = 3 * time.Second // of a caller
	retention     = 5 * time.Second
)

var (
	bounds    = confirm.NewBounds(resendSteps*step, 900*time.Millisecond)
	jobLimits = schedule.Limits{
		AdmitWaitFactor:     100,
		RefuseWaitFactor:    100,
		DemoteStartFactor:   100,
		UsefulLatencyFactor: 100,
		DemotedWaitFactor:   100,
		ProvisionalTimeout:  10 * time.Millisecond,
		PlacementRetryDelay: 5 * time.Millisecond,
		OutcomeRetention:    retention,
		CapacityTTL:         2 * time.Second,
		MaxConfirmAge:       bounds.MaxAge,
		MaxUnconfirmed:      bounds.MaxUnconfirmed,
		MaxJobs:             100,
		AnnounceAge:         bounds.AnnounceAge,
		AnnouncementTTL:     bounds.AnnouncementTTL,
		ShortJob:            bounds.ShortJob,
		MajorityWait:        silentSteps * step,
		MaxLease:            time.Second,
	}
	jobSize = work.Size{CPU: 1000}
)

// HomesConfig sets what may happen in a HomesWorld.
type HomesConfig struct {
	Kinds    []Kind        // of faults
	Declared time.Duration // run time of the task as its caller declares it
	RunTime  time.Duration // of the task
}

// HomesWorld is two homes of different failure domains, the first of which has a majority
// alone. A caller submits a job of one task to the second one, and again to the first one if
// it leaves or gets no answer that ends the job. Runs last as long as their servers' leases
// allow, also those that are stopped.
type HomesWorld struct {
	now    time.Time
	config HomesConfig
	homes  []*home
	frames []frame
	cutTo  time.Time // until when no frame passes between the homes
	caller caller
	broken string
	trace  func(string)
}

// home is a host that coordinates jobs, with one server.
type home struct {
	name      string
	votes     int // of its failure domain
	model     *schedule.Model
	frozenTo  time.Time
	ranAt     time.Time
	startedAt time.Time
	heardAt   time.Time // when it last heard the other home
	runs      []homeRun
}

// homeRun is a run at the server of a home.
type homeRun struct {
	task        work.Task
	life        time.Time // start of the home's process
	started     time.Time
	confirmedAt time.Time
}

// frame is a message on the way to a home.
type frame struct {
	to     int
	sent   time.Time
	msg    schedule.Msg
	asked  bool // the message is a question for all jobs
	answer bool // the message answers one sent by the receiver
}

// caller is the state of the job's caller.
type caller struct {
	attempt  int // from 0
	home     int // where it is known
	waits    bool
	unseen   bool // it has left, and its entry doesn't see that
	since    time.Time
	resendAt time.Time
	done     bool
}

// NewHomesWorld returns a world whose homes have run for long and in which the caller has just
// submitted the job. A nil trace traces nothing.
func NewHomesWorld(c HomesConfig, trace func(string)) *HomesWorld {
	w := &HomesWorld{
		now:    time.Unix(1000, 0),
		config: c,
	}
	for i, name := range []string{"A", "B"} {
		h := &home{
			name:  name,
			votes: []int{3, 2}[i],
		}
		w.homes = append(w.homes, h)
		w.launch(h)
	}
	for range 2 {
		w.now = w.now.Add(2 * resendSteps * step)
		for _, h := range w.homes {
			h.ranAt = w.now
		}
		w.pass()
		for len(w.frames) > 0 {
			w.arrive(0)
		}
	}
	w.trace = trace
	w.submit(0)
	return w
}

func (w *HomesWorld) launch(h *home) {
	h.model = schedule.New(h.name, jobLimits)
	h.startedAt, h.ranAt, h.heardAt, h.frozenTo = w.now, w.now, w.now, time.Time{}
}

// Broken returns the rule that has been broken, or "".
func (w *HomesWorld) Broken() string { return w.broken }

// Events returns the events that can happen now, the usual one first.
func (w *HomesWorld) Events() []Event {
	if w.over() {
		return nil
	}
	events := []Event{w.usual()}
	add := func(kind Kind, home, frame int) {
		e := Event{
			Kind:   kind,
			Server: uint8(home),
			Call:   uint8(frame),
		}
		if e != events[0] {
			events = append(events, e)
		}
	}
	add(Pass, 0, 0)
	for i, f := range w.frames {
		if w.passes(f) {
			add(Arrive, 0, i)
		}
	}
	mayFail := func(k Kind) bool { return slices.Contains(w.config.Kinds, k) }
	for i, h := range w.homes {
		if len(h.runs) > 0 {
			add(Finish, i, 0)
		}
		if mayFail(Die) {
			add(Die, i, 0)
		}
		if w.awake(h) && mayFail(Freeze) {
			add(Freeze, i, 0)
		} else if !w.awake(h) {
			add(Wake, i, 0)
		}
	}
	if w.now.Before(w.cutTo) {
		add(Mend, 0, 0)
	} else if mayFail(Cut) {
		add(Cut, 0, 0)
	}
	if w.caller.waits && !w.caller.unseen && w.caller.attempt == 0 {
		add(Leave, 0, 0)
		if mayFail(Vanish) {
			add(Vanish, 0, 0)
		}
	}
	return events
}

// usual returns the event that is no deviation.
func (w *HomesWorld) usual() Event {
	for i, f := range w.frames {
		if w.passes(f) {
			return Event{
				Kind: Arrive,
				Call: uint8(i),
			}
		}
	}
	for i, h := range w.homes {
		if len(h.runs) > 0 && w.now.Sub(h.runs[0].started) >= w.config.RunTime {
			return Event{
				Kind:   Finish,
				Server: uint8(i),
			}
		}
	}
	return Event{Kind: Pass}
}

func (w *HomesWorld) over() bool {
	running := slices.ContainsFunc(w.homes, func(h *home) bool { return len(h.runs) > 0 })
	return w.caller.done && !running
}

func (w *HomesWorld) awake(h *home) bool { return !w.now.Before(h.frozenTo) }

func (w *HomesWorld) passes(f frame) bool {
	return !w.now.Before(w.cutTo) && w.awake(w.homes[f.to])
}

// Apply makes an event happen.
func (w *HomesWorld) Apply(e Event) {
	if w.trace != nil {
		w.log("%s", w.describe(e))
	}
	w.now = w.now.Add(time.Microsecond)
	h := w.homes[e.Server]
	switch e.Kind {
	case Pass:
		w.pass()
	case Arrive:
		w.arrive(int(e.Call))
	case Finish:
		w.end(h, work.EndDone)
	case Cut:
		w.cutTo = w.now.Add(2 * resendSteps * step)
	case Mend:
		w.cutTo = w.now
	case Freeze:
		h.frozenTo = w.now.Add(2 * resendSteps * step)
	case Wake:
		h.frozenTo = w.now
		w.wake(h)
	case Die:
		w.die(int(e.Server))
	case Leave:
		w.leave(true)
	case Vanish:
		w.leave(false)
	}
	w.check()
}

// pass lets a step of time pass.
func (w *HomesWorld) pass() {
	w.now = w.now.Add(step)
	w.frames = slices.DeleteFunc(w.frames, func(f frame) bool { return w.now.Sub(f.sent) >= silentSteps*step })
	for i, h := range w.homes {
		for len(h.runs) > 0 && w.now.Sub(h.runs[0].confirmedAt) >= bounds.MaxUnconfirmed {
			w.end(h, work.EndLeaseExpired)
		}
		if other := w.homes[1-i]; w.awake(other) && !w.now.Before(w.cutTo) {
			h.heardAt = w.now
		}
	}
	for i, h := range w.homes {
		if w.awake(h) {
			w.wake(h)
			w.tick(i, h)
		}
	}
	if w.caller.waits && w.now.Sub(w.caller.since) >= callerTimeout {
		w.leave(true)
	}
	if !w.caller.resendAt.IsZero() && !w.now.Before(w.caller.resendAt) {
		w.submit(w.caller.attempt + 1)
	}
}

// wake lets a home find out that it was frozen.
func (w *HomesWorld) wake(h *home) {
	if w.now.Sub(h.ranAt) >= stallSteps*step {
		w.frames = nil
		w.update(h, schedule.StallMsg{})
	}
	h.ranAt = w.now
}

func (w *HomesWorld) tick(i int, h *home) {
	w.update(h, w.homesMsg(i, h))
	if c := w.caller; c.waits && c.home == i {
		w.update(h, schedule.ConfirmMsg{Callers: []schedule.Confirmation{{
			Caller: c.name(),
			At:     w.now,
		}}})
	}
	w.update(h, w.capacity(h))
	w.update(h, schedule.TickMsg{})
	if ids := h.model.Announceable(w.now); len(ids) > 0 {
		w.announce(i, ids)
	}
}

func (c caller) name() string { return fmt.Sprint("caller-", c.attempt) }

func (w *HomesWorld) homesMsg(i int, h *home) schedule.HomesMsg {
	other := w.homes[1-i]
	msg := schedule.HomesMsg{
		Domains: map[string]string{},
		Domain:  h.name,
		Member:  true,
		Votes:   h.votes,
	}
	msg.All = h.votes + other.votes
	msg.Needed = msg.All/2 + 1
	if w.now.Sub(h.heardAt) < silentSteps*step {
		msg.Hosts, msg.Domains[other.name] = []string{other.name}, other.name
	}
	return msg
}

func (w *HomesWorld) capacity(h *home) schedule.CapacityMsg {
	c := pool.Capacity{
		TotalCPU: jobSize.CPU,
		Largest:  jobSize,
	}
	if len(h.runs) == 0 {
		c.Slots = []pool.Slot{{Free: jobSize}}
	}
	return schedule.CapacityMsg{
		Host:     h.name,
		Capacity: c,
	}
}

func (w *HomesWorld) send(to int, f frame) {
	f.to = to
	if f.sent.IsZero() {
		f.sent = w.now
	}
	w.frames = append(w.frames, f)
}

func (w *HomesWorld) announce(from int, ids []string) {
	if w.now.Sub(w.homes[from].heardAt) >= silentSteps*step {
		return
	}
	w.send(1-from, frame{msg: schedule.AnnouncedMsg{
		Host: w.homes[from].name,
		Jobs: ids,
	}})
}

// arrive delivers a frame.
func (w *HomesWorld) arrive(i int) {
	f := w.frames[i]
	w.frames = slices.Delete(w.frames, i, i+1)
	h := w.homes[f.to]
	msg, announced := f.msg.(schedule.AnnouncedMsg)
	switch {
	case f.asked:
		w.send(1-f.to, frame{
			msg: schedule.AnnouncedMsg{
				Host:     h.name,
				Jobs:     h.model.Announceable(w.now),
				Complete: true,
				Age:      w.now.Sub(h.startedAt) + 1,
			},
			answer: true,
		})
	case announced && !f.answer:
		cmds := h.model.Update(w.now, f.msg)
		for _, cmd := range cmds {
			if a, ok := cmd.(schedule.AcknowledgeCmd); ok {
				w.send(1-f.to, frame{
					msg:    w.acknowledgement(h, msg, a, f.sent),
					answer: true,
				})
				continue
			}
			w.execute(h, cmd)
		}
	default:
		w.update(h, f.msg)
	}
}

func (w *HomesWorld) acknowledgement(h *home, msg schedule.AnnouncedMsg, cmd schedule.AcknowledgeCmd, sent time.Time) schedule.AcknowledgedMsg {
	votes, homeFor := h.model.Votes(w.now)
	return schedule.AcknowledgedMsg{
		Host:    h.name,
		Jobs:    cmd.Jobs,
		SentAt:  sent,
		Refused: cmd.Refused,
		Held: slices.DeleteFunc(slices.Clone(msg.Jobs), func(id string) bool {
			return slices.Contains(slices.Concat(cmd.Jobs, cmd.Refused), id)
		}),
		Age:     w.now.Sub(h.startedAt) + 1,
		Votes:   votes,
		HomeFor: homeFor,
	}
}

func (w *HomesWorld) update(h *home, msg schedule.Msg) {
	for _, cmd := range h.model.Update(w.now, msg) {
		w.execute(h, cmd)
	}
}

func (w *HomesWorld) execute(h *home, cmd schedule.Cmd) {
	i := slices.Index(w.homes, h)
	switch cmd := cmd.(type) {
	case schedule.RunCmd:
		w.start(h, cmd.Task)
	case schedule.ConfirmCmd:
		for n := range h.runs {
			if h.runs[n].life.Equal(h.startedAt) && cmd.At.After(h.runs[n].confirmedAt) {
				h.runs[n].confirmedAt = cmd.At
			}
		}
	case schedule.AskCmd:
		w.send(1-i, frame{asked: true})
	case schedule.AnnounceCmd:
		w.announce(i, []string{cmd.Job})
	case schedule.AnswerCmd:
		w.answered(i, cmd)
	case schedule.LogCmd:
		w.log("  %s: %s %s", h.name, cmd.Event, cmd.Reason)
	case schedule.HaltCmd, schedule.AcknowledgeCmd:
	}
}

// start starts a run, unless the pool knows that one of its task may go on or that its caller
// left too long ago.
func (w *HomesWorld) start(h *home, task work.Task) {
	if len(h.runs) > 0 || w.now.Sub(task.ConfirmedAt) >= bounds.StopUnconfirmed {
		w.update(h, schedule.EndMsg{
			Host:   h.name,
			Task:   task,
			End:    work.EndNotStarted,
			Reason: core.ReasonCapacity,
		})
		return
	}
	w.log("  run %d starts at %s, confirmed %s ago", task.Run, h.name, w.now.Sub(task.ConfirmedAt).Round(time.Millisecond))
	h.runs = append(h.runs, homeRun{
		task:        task,
		life:        h.startedAt,
		started:     w.now,
		confirmedAt: task.ConfirmedAt,
	})
}

// end ends the run at a home.
func (w *HomesWorld) end(h *home, end work.End) {
	r := h.runs[0]
	h.runs = nil
	w.log("  the run at %s ends, %s", h.name, end)
	if r.life.Equal(h.startedAt) {
		w.update(h, schedule.EndMsg{
			Host: h.name,
			Task: r.task,
			End:  end,
			Took: w.now.Sub(r.started),
		})
	}
}

// submit lets the caller submit the job for the first time, or again to the other home.
func (w *HomesWorld) submit(attempt int) {
	w.caller = caller{
		attempt: attempt,
		home:    (attempt + 1) % len(w.homes),
		waits:   true,
		since:   w.now,
	}
	w.log("the caller submits the job at %s", w.homes[w.caller.home].name)
	w.forward(schedule.SubmitMsg{})
}

// forward submits the job to the home where the caller waits.
func (w *HomesWorld) forward(msg schedule.SubmitMsg) {
	msg.Job = work.Job{
		ID:    jobID,
		Route: "route",
		Steps: []work.Step{{
			Count:    1,
			Size:     jobSize,
			Estimate: w.config.Declared,
		}},
		MaxAttempts: 3,
		Stretch:     10,
		Slack:       20 * time.Second,
		Arrived:     w.now,
		Received:    w.now,
		First:       w.caller.attempt == 0,
		Deadline:    w.now.Add(time.Minute),
	}
	msg.Caller, msg.ConfirmedAt = w.caller.name(), w.now
	h := w.homes[w.caller.home]
	if !w.awake(h) {
		w.lost()
		return
	}
	w.update(h, msg)
}

// answered handles the answer of a home to the caller's attempt.
func (w *HomesWorld) answered(i int, cmd schedule.AnswerCmd) {
	if !w.caller.waits || cmd.Caller != w.caller.name() || i != w.caller.home {
		return
	}
	w.log("  %s answers %s %s", w.homes[i].name, cmd.Outcome.State, cmd.Outcome.Reason)
	switch cmd.Outcome.State {
	case work.Completed, work.Failed, work.Canceled:
		w.caller.waits, w.caller.done = false, true
	case work.Elsewhere, work.Absent, work.Broken, work.Refused:
		w.lost()
	}
}

// leave ends the caller's wait. Its entry may not see that.
func (w *HomesWorld) leave(seen bool) {
	if seen {
		name, h := w.caller.name(), w.homes[w.caller.home]
		w.lost()
		if w.awake(h) {
			w.update(h, schedule.CallerGoneMsg{Caller: name})
		}
		return
	}
	w.caller.unseen, w.caller.resendAt = true, w.now.Add(resendSteps*step)
}

// lost ends an attempt without an answer that ends the job.
func (w *HomesWorld) lost() {
	w.caller.waits = false
	if w.caller.attempt > 0 {
		w.caller.done = true
		return
	}
	if w.caller.resendAt.IsZero() {
		w.caller.resendAt = w.now.Add(resendSteps * step)
	}
}

// die ends the process of a home. Another one starts at once.
func (w *HomesWorld) die(i int) {
	h := w.homes[i]
	w.frames = nil
	w.launch(h)
	if w.caller.waits && w.caller.home == i {
		w.lost()
	}
}

// check checks the rules that hold at all times.
func (w *HomesWorld) check() {
	if len(w.homes[0].runs) > 0 && len(w.homes[1].runs) > 0 && w.broken == "" {
		w.broken = "two runs at once, at A and B"
	}
}

func (w *HomesWorld) log(format string, args ...any) {
	if w.trace != nil {
		w.trace(at(w.now, fmt.Sprintf(format, args...)))
	}
}
