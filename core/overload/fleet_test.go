package overload_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarywalk/core/confirm"
	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/overload"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
)

// class is a kind of job.
type class struct {
	name  string
	share float64 // of all jobs
	tasks int
	run   time.Duration // mean run time of a task
}

// classes is the load of the users' large site.
func classes() []class {
	return []class{
		{
			name:  "short",
			share: 0.244,
			tasks: 8,
			run:   60 * time.Millisecond,
		},
		{
			name:  "long",
			share: 0.044,
			tasks: 4,
			run:   900 * time.Millisecond,
		},
		{
			name:  "plain",
			share: 0.712,
			tasks: 2,
			run:   200 * time.Millisecond,
		},
	}
}

// Dimensions of that site. Only some of its failure domains are simulated: announcements cost as
// much as with all of them.
const (
	fleetDomains     = 6
	simulatedDomains = 2
	domainServers    = 90
	serverCores      = 16000.0 // thousandths
	taskCores        = 8000
	fleetRate        = 1373.0 // jobs a second
	hostCores        = 0.8
	domainVotes      = 16

	hop        = 300 * time.Microsecond // one way between hosts
	stretch    = 1.6
	slack      = 60 * time.Millisecond
	callerWait = 1500 * time.Millisecond
	lateWorth  = 0.2 // of an answer that is late, up to useful times the objective
	useful     = 3

	tickPeriod       = 10 * time.Millisecond
	confirmPeriod    = 50 * time.Millisecond
	announcePeriod   = 100 * time.Millisecond
	announceGap      = 2 * time.Millisecond
	heartbeatPeriod  = 100 * time.Millisecond
	silentAfter      = 600 * time.Millisecond
	maxTimerDelay    = 5 * time.Millisecond
	maxExtensions    = 3
	delayWindow      = 500 * time.Millisecond
	counted          = 2 * time.Second
	meanPause        = 20 * time.Millisecond
	idleTime         = 3 * time.Second
	runTimeDeviation = 0.15
)

// Processor time of what a home does. In all it is close to the 0.56 ms for a start in
// docs/CAPACITY.md.
const (
	submitCost     = 100 * time.Microsecond
	outcomeCost    = 50 * time.Microsecond
	startCost      = 80 * time.Microsecond
	readCost       = 40 * time.Microsecond // of an answer, before it is handled
	startedCost    = 40 * time.Microsecond
	pollCost       = 60 * time.Microsecond
	listsCost      = 60 * time.Microsecond
	connectCost    = 300 * time.Microsecond
	frameCost      = 50 * time.Microsecond // of an announcement, at each side
	frameReplyCost = 30 * time.Microsecond
	tickCost       = 50 * time.Microsecond
	timerCost      = 10 * time.Microsecond
	heartbeatCost  = 500 * time.Microsecond // of all that are sent and read in a period
	confirmCost    = 100 * time.Microsecond // of the frames of all hosts that wait
)

var bounds = confirm.NewBounds(1300*time.Millisecond, 900*time.Millisecond)

// poolLimits are the default settings.
func poolLimits() pool.Limits {
	return pool.Limits{
		Lease:         bounds.Lease,
		MaxLease:      time.Second,
		AnswerTimeout: 80 * time.Millisecond,
		HedgeDelay:    25 * time.Millisecond,
		PollWait:      150 * time.Millisecond,
		ShortPollWait: 30 * time.Millisecond,
		TakeoverDelay: 400 * time.Millisecond,
		RetakeDelay:   time.Second,
		StartTimeout:  500 * time.Millisecond,
		StopTimeout:   50 * time.Millisecond,
		ProbeInterval: 200 * time.Millisecond,
		SlowMargin:    60 * time.Millisecond,
		SlowFactor:    3,
		Health: health.Limits{
			FailureThreshold: 2,
			InitialBackoff:   time.Second,
			MaxBackoff:       4 * time.Second,
		},
		MaxUnconfirmed:  bounds.MaxUnconfirmed,
		StopUnconfirmed: bounds.StopUnconfirmed,
		SlowdownWeight:  0.3,
		MaxSlowdown:     1.8,
	}
}

// jobLimits are the default settings.
func jobLimits() schedule.Limits {
	return schedule.Limits{
		AdmitWaitFactor:     1.5,
		RefuseWaitFactor:    8,
		DemoteStartFactor:   1,
		UsefulLatencyFactor: useful,
		DemotedWaitFactor:   3,
		DemotedFreeFraction: 0.1,
		ProvisionalTimeout:  10 * time.Millisecond,
		PlacementRetryDelay: 5 * time.Millisecond,
		CapacityTTL:         2 * time.Second,
		OutcomeRetention:    5 * time.Second,
		MaxConfirmAge:       bounds.MaxAge,
		MaxUnconfirmed:      bounds.MaxUnconfirmed,
		MaxJobs:             5000,
		AnnounceAge:         bounds.AnnounceAge,
		ShortJob:            bounds.ShortJob,
		AnnouncementTTL:     bounds.AnnouncementTTL,
		MajorityWait:        silentAfter,
		MaxLease:            time.Second,
		StopTimeout:         50 * time.Millisecond,
	}
}

// conditions is what a fleet is simulated under.
type conditions struct {
	Seed     uint64
	Homes    int           // of a failure domain
	Slowness float64       // of all hosts
	Target   time.Duration // of the controllers; 0 to refuse nothing
	Extend   bool          // own delay extends the time limits of calls
	Period   time.Duration // in which a host gets its processor time at once; 0 for evenly
	Pauses   time.Duration // mean time between pauses of a host; 0 for none
	SlowFor  time.Duration // time from the first job after which hosts aren't slow any more; 0 for never
	WarmUp   time.Duration // time from the first job until jobs count
	Speeds   []float64     // of the servers of each home in turn; all are equal without any
	Learn    bool          // the speeds of servers are learned and used
	Load     float64       // multiple of the usual load; 0 for that
}

// verdict counts the outcomes of jobs.
type verdict struct{ submitted, onTime, late, refused, other int }

func (v verdict) credit() float64 {
	return (float64(v.onTime) + lateWorth*float64(v.late)) / float64(max(1, v.submitted))
}

// report is what happened in the time that counts.
type report struct {
	classes     map[string]*verdict
	connections int
	overdue     int
	refusedBy   map[string]int
	silent      int           // heartbeats that were sent too late
	busy        float64       // cores that a home used in the mean
	longest     time.Duration // delay of a tick
}

func (r *report) all() verdict {
	var all verdict
	for _, v := range r.classes {
		all.submitted += v.submitted
		all.onTime += v.onTime
		all.late += v.late
		all.refused += v.refused
		all.other += v.other
	}
	return all
}

// event happens at a time. Those of one time happen in the order in which they were scheduled.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet is the homes of a site and their backend servers on a simulated clock.
type fleet struct {
	conditions

	rng     *rand.Rand
	now     time.Time
	from    time.Time // since when jobs count
	queue   eventQueue
	seq     int
	homes   []*home
	servers map[string]*server
	jobs    map[string]*submission
	report  *report
}

// submission is a job that a caller waits for.
type submission struct {
	home      *home
	class     string
	sent      time.Time
	objective time.Duration
	runTimes  []time.Duration // by task
	admitted  bool            // counted by the controller of its home
	counts    bool
	done      bool
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{
		at:  f.now.Add(d),
		seq: f.seq,
		run: run,
	})
}

func (f *fleet) runUntil(end time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// play simulates a fleet and reports on it.
func play(c conditions) *report {
	f := &fleet{
		conditions: c,
		rng:        rand.New(rand.NewPCG(c.Seed, 1)),
		now:        time.Unix(1000, 0),
		servers:    map[string]*server{},
		jobs:       map[string]*submission{},
		report: &report{
			classes:   map[string]*verdict{},
			refusedBy: map[string]int{},
		},
	}
	for _, class := range classes() {
		f.report.classes[class.name] = &verdict{}
	}
	for d := range simulatedDomains {
		for range c.Homes {
			f.homes = append(f.homes, newHome(f, fmt.Sprint("domain-", d), len(f.homes)))
		}
	}
	for _, h := range f.homes {
		h.begin()
	}
	f.runUntil(f.now.Add(idleTime))
	f.from = f.now.Add(c.WarmUp)
	if c.SlowFor > 0 {
		f.after(c.SlowFor, func() {
			for _, h := range f.homes {
				h.processor.cores = hostCores
			}
		})
	}
	end := f.from.Add(counted)
	f.submitNext(0, end)
	f.runUntil(f.from)
	used := f.used()
	connections, overdue := f.report.connections, f.report.overdue
	f.runUntil(end)
	f.report.busy = (f.used() - used).Seconds() / counted.Seconds() / float64(len(f.homes))
	f.report.connections -= connections
	f.report.overdue -= overdue
	f.runUntil(end.Add(callerWait + time.Second))
	return f.report
}

func (f *fleet) used() time.Duration {
	sum := time.Duration(0)
	for _, h := range f.homes {
		sum += h.processor.used
	}
	return sum
}

// submitNext submits jobs until an end.
func (f *fleet) submitNext(n int, end time.Time) {
	rate := fleetRate * simulatedDomains / fleetDomains
	if f.Load > 0 {
		rate *= f.Load
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.Before(end) {
			f.submit(n)
			f.submitNext(n+1, end)
		}
	})
}

func (f *fleet) submit(n int) {
	all := classes()
	class, drawn := all[len(all)-1], f.rng.Float64()
	for _, c := range all {
		if drawn < c.share {
			class = c
			break
		}
		drawn -= c.share
	}
	s := &submission{
		home:   f.homes[f.rng.IntN(len(f.homes))],
		class:  class.name,
		sent:   f.now,
		counts: !f.now.Before(f.from),
	}
	for range class.tasks {
		s.runTimes = append(s.runTimes, time.Duration(float64(class.run)*math.Exp(runTimeDeviation*f.rng.NormFloat64())))
	}
	s.objective = time.Duration(stretch*float64(slices.Max(s.runTimes))) + slack
	id := fmt.Sprint("job-", n)
	f.jobs[id] = s
	if s.counts {
		f.report.classes[s.class].submitted++
	}
	job := work.Job{
		ID:    id,
		Route: class.name,
		Steps: []work.Step{{
			Count:    class.tasks,
			Size:     work.Size{CPU: taskCores},
			Estimate: class.run,
		}},
		MaxAttempts: 3,
		Stretch:     stretch,
		Slack:       slack,
		Arrived:     f.now,
		Received:    f.now,
		First:       true,
		Deadline:    f.now.Add(callerWait),
	}
	f.after(hop, func() {
		s.home.processor.do(submitCost, func() { s.home.submit(job) })
	})
	f.after(callerWait, func() {
		if s.done {
			return
		}
		s.done = true
		if s.counts {
			f.report.classes[s.class].other++
		}
		f.after(hop, func() {
			s.home.processor.do(frameCost, func() {
				s.home.ended(s)
				s.home.update(schedule.CallerGoneMsg{Caller: id})
			})
		})
	})
}

// answered handles the answer to a caller.
func (f *fleet) answered(id string, outcome work.Outcome) {
	s := f.jobs[id]
	if s.done {
		return
	}
	s.done = true
	if !s.counts {
		return
	}
	v, took := f.report.classes[s.class], f.now.Sub(s.sent)
	switch {
	case outcome.State == work.Refused:
		v.refused++
		f.report.refusedBy[string(outcome.Reason)]++
	case outcome.State == work.Completed && took <= s.objective:
		v.onTime++
	case outcome.State == work.Completed && took <= useful*s.objective:
		v.late++
	default:
		v.other++
	}
}

// processor does the work of a host, in the order in which it comes.
type processor struct {
	fleet  *fleet
	cores  float64
	period time.Duration
	queue  []piece
	busy   bool
	used   time.Duration

	periodEnd time.Time
	left      time.Duration // of the processor time in this period; negative if it was exceeded
}

type piece struct {
	cost time.Duration
	run  func()
}

func (p *processor) do(cost time.Duration, run func()) {
	p.queue = append(p.queue, piece{
		cost: cost,
		run:  run,
	})
	p.next()
}

// doFirst does work before all that waits, as timers do.
func (p *processor) doFirst(cost time.Duration, run func()) {
	p.queue = slices.Insert(p.queue, 0, piece{
		cost: cost,
		run:  run,
	})
	p.next()
}

func (p *processor) next() {
	if p.busy || len(p.queue) == 0 {
		return
	}
	if p.period > 0 && !p.allotted() {
		p.busy = true
		p.fleet.after(p.periodEnd.Sub(p.fleet.now), func() {
			p.busy = false
			p.next()
		})
		return
	}
	w := p.queue[0]
	p.queue = p.queue[1:]
	p.busy = true
	took := time.Duration(float64(w.cost) / p.cores)
	if p.period > 0 {
		took = w.cost
	}
	p.fleet.after(took, func() {
		p.busy = false
		p.used += w.cost
		p.left -= w.cost
		w.run()
		p.next()
	})
}

// allotted reports whether there is processor time left in the current period.
func (p *processor) allotted() bool {
	for !p.fleet.now.Before(p.periodEnd) {
		if p.periodEnd.IsZero() || p.fleet.now.Sub(p.periodEnd) > time.Second {
			p.periodEnd, p.left = p.fleet.now, 0
		}
		p.periodEnd = p.periodEnd.Add(p.period)
		p.left = min(0, p.left) + time.Duration(p.cores*float64(p.period))
	}
	return p.left > 0
}

// measurement is the delay of a tick.
type measurement struct {
	at    time.Time
	delay time.Duration
}

// home is a host that coordinates jobs and owns backend servers.
type home struct {
	fleet      *fleet
	name       string
	domain     string
	processor  *processor
	pool       *pool.Model
	jobs       *schedule.Model
	controller overload.Controller
	delays     []measurement
	due        time.Time      // of the next tick
	idle       map[string]int // connections without a call, by server
	announces  []string       // new jobs that are not announced yet
	flushedAt  time.Time
	waitingAt  time.Time // when callers were last known to wait

	confirmedAt, announcedAt time.Time // when that was last done
}

func newHome(f *fleet, domain string, n int) *home {
	h := &home{
		fleet:  f,
		name:   fmt.Sprint("home-", n),
		domain: domain,
		processor: &processor{
			fleet:  f,
			cores:  hostCores / f.Slowness,
			period: f.Period,
		},
		pool:       pool.New(domain, f.poolLimits()),
		controller: overload.New(f.Target),
		idle:       map[string]int{},
	}
	h.jobs = schedule.New(h.name, f.jobLimits())
	return h
}

// begin takes the servers over and starts all that repeats itself.
func (h *home) begin() {
	f := h.fleet
	var entries []listing.Server
	for i := range domainServers / f.Homes {
		id := fmt.Sprintf("%s-server-%02d", h.name, i)
		f.servers[id] = &server{
			fleet: f,
			id:    id,
			born:  f.now.Add(-time.Minute),
			runs:  map[string]int{},
			last:  map[string]int{},
		}
		if len(f.Speeds) > 0 {
			f.servers[id].speed = f.Speeds[i%len(f.Speeds)]
		}
		entries = append(entries, listing.Server{
			ID:              id,
			Address:         id,
			Domain:          h.domain,
			Capacity:        work.Size{CPU: serverCores},
			StartedAtMillis: f.now.Add(-time.Minute).UnixMilli(),
		})
	}
	h.update(h.homesMsg(), pool.AssignMsg{
		Servers: entries,
		Token:   f.now.UnixMilli(),
	})
	// Homes don't tick at the same time.
	f.after(time.Duration(f.rng.Int64N(int64(tickPeriod))), h.awaitTick)
	f.after(time.Duration(f.rng.Int64N(int64(heartbeatPeriod))), h.beat)
	f.after(time.Duration(f.rng.Int64N(int64(confirmPeriod))), h.confirm)
	if f.Pauses > 0 {
		h.pauseLater()
	}
}

// pauseLater pauses the host from time to time.
func (h *home) pauseLater() {
	f := h.fleet
	f.after(time.Duration(f.rng.ExpFloat64()*float64(f.Pauses)), func() {
		pause := time.Duration(f.rng.ExpFloat64() * float64(meanPause))
		h.processor.doFirst(time.Duration(h.processor.cores*float64(pause)), func() {})
		h.pauseLater()
	})
}

func (h *home) others() []*home {
	return slices.DeleteFunc(slices.Clone(h.fleet.homes), func(o *home) bool { return o == h })
}

func (h *home) homesMsg() schedule.HomesMsg {
	msg := schedule.HomesMsg{
		Domains: map[string]string{},
		Domain:  h.domain,
		Member:  true,
		Votes:   domainVotes,
		Needed:  simulatedDomains*domainVotes/2 + 1,
		All:     simulatedDomains * domainVotes,
	}
	for _, o := range h.others() {
		msg.Hosts = append(msg.Hosts, o.name)
		msg.Domains[o.name] = o.domain
	}
	return msg
}

func (h *home) beat() {
	sent := h.fleet.now
	h.processor.do(heartbeatCost, func() {
		if h.fleet.now.Sub(sent) >= silentAfter {
			h.fleet.report.silent++
		}
	})
	h.fleet.after(heartbeatPeriod, h.beat)
}

func (h *home) confirm() {
	at := h.fleet.now
	h.processor.do(confirmCost, func() { h.waitingAt = at })
	h.fleet.after(confirmPeriod, h.confirm)
}

func (h *home) awaitTick() {
	h.due = h.fleet.now.Add(tickPeriod)
	h.fleet.after(tickPeriod, func() { h.processor.do(tickCost, h.tick) })
}

func (h *home) tick() {
	f := h.fleet
	late := f.now.Sub(h.due)
	h.controller = h.controller.WithDelay(f.now, late)
	h.delays = append(slices.DeleteFunc(h.delays, func(m measurement) bool { return f.now.Sub(m.at) >= delayWindow }), measurement{
		at:    f.now,
		delay: late,
	})
	if !f.from.IsZero() {
		f.report.longest = max(f.report.longest, late)
	}
	if f.now.Sub(h.confirmedAt) >= confirmPeriod {
		h.confirmedAt = f.now
		h.update(h.homesMsg(), h.confirmMsg())
	}
	delay := time.Duration(0)
	if f.Extend {
		delay = h.controller.Delay()
	}
	h.update(pool.TickMsg{Delay: delay}, schedule.TickMsg{})
	if f.now.Sub(h.announcedAt) >= announcePeriod {
		h.announcedAt = f.now
		h.announce(h.jobs.Announceable(f.now))
	}
	h.awaitTick()
}

func (h *home) confirmMsg() schedule.ConfirmMsg {
	var msg schedule.ConfirmMsg
	for _, id := range h.jobs.Unfinished() {
		if !h.fleet.jobs[id].done {
			msg.Callers = append(msg.Callers, schedule.Confirmation{
				Caller: id,
				At:     h.waitingAt,
			})
		}
	}
	return msg
}

// delaySince returns the longest delay of a tick that came since a time, or is still awaited.
func (h *home) delaySince(since time.Time) time.Duration {
	longest := max(0, h.fleet.now.Sub(h.due))
	for _, m := range h.delays {
		if m.at.After(since) {
			longest = max(longest, m.delay)
		}
	}
	return longest
}

func (h *home) submit(job work.Job) {
	next, refused := h.controller.WithJob()
	h.controller = next
	h.fleet.jobs[job.ID].admitted = !refused
	h.update(schedule.SubmitMsg{
		Job:         job,
		Caller:      job.ID,
		Remote:      true,
		Overloaded:  refused,
		ConfirmedAt: job.Received,
	})
}

// ended lets the controller count a job no longer.
func (h *home) ended(s *submission) {
	if s.admitted {
		s.admitted = false
		h.controller = h.controller.WithoutJob()
	}
}

// update processes messages and all that follow from them.
func (h *home) update(msgs ...any) {
	now, changed := h.fleet.now, false
	for len(msgs) > 0 || changed {
		if len(msgs) == 0 {
			changed = false
			msgs = append(msgs, schedule.CapacityMsg{
				Host:     h.name,
				Capacity: h.pool.Capacity(now),
			})
		}
		msg := msgs[0]
		msgs = msgs[1:]
		switch msg := msg.(type) {
		case pool.Msg:
			for _, cmd := range h.pool.Update(now, msg) {
				switch cmd := cmd.(type) {
				case pool.EndCmd:
					msgs = append(msgs, schedule.EndMsg{
						Host:   h.name,
						Task:   cmd.Task,
						End:    cmd.End,
						Server: cmd.Server,
						Speed:  cmd.Speed,
						Took:   cmd.Took,
						Reason: cmd.Reason,
						Loss:   cmd.Loss,
						Fate:   cmd.Fate,
					})
				case pool.CapacityChangedCmd:
					changed = true
				case pool.StartCmd, pool.StopCmd, pool.PollCmd:
					h.order(cmd)
				case pool.LossCmd, pool.LogCmd:
				}
			}
		case schedule.Msg:
			for _, cmd := range h.jobs.Update(now, msg) {
				msgs = append(msgs, h.execute(cmd)...)
			}
		}
	}
}

// execute carries out a command about jobs, and returns the messages that follow.
func (h *home) execute(cmd schedule.Cmd) []any {
	switch cmd := cmd.(type) {
	case schedule.RunCmd:
		return []any{pool.RunMsg{Task: cmd.Task}}
	case schedule.HaltCmd:
		return []any{pool.StopMsg{Name: cmd.Name}}
	case schedule.ConfirmCmd:
		return []any{pool.ConfirmMsg{
			Job: cmd.Job,
			At:  cmd.At,
		}}
	case schedule.AnswerCmd:
		h.ended(h.fleet.jobs[cmd.ID])
		h.processor.do(outcomeCost, func() {
			h.fleet.after(hop, func() { h.fleet.answered(cmd.ID, cmd.Outcome) })
		})
	case schedule.AskCmd:
		return []any{schedule.AnnouncedMsg{
			Host:     cmd.Host,
			Complete: true,
			Age:      time.Hour,
		}}
	case schedule.AnnounceCmd:
		h.announces = append(h.announces, cmd.Job)
		if len(h.announces) == 1 {
			h.fleet.after(max(0, announceGap-h.fleet.now.Sub(h.flushedAt)), func() { h.processor.doFirst(timerCost, h.flush) })
		}
	case schedule.AcknowledgeCmd, schedule.LogCmd:
	}
	return nil
}

func (h *home) flush() {
	jobs := h.announces
	h.announces, h.flushedAt = nil, h.fleet.now
	h.announce(jobs)
}

// announce announces jobs to the other homes, at the price of doing so to those of all failure
// domains.
func (h *home) announce(jobs []string) {
	if len(jobs) == 0 {
		return
	}
	f, others, sent := h.fleet, h.others(), h.fleet.now
	factor := float64(fleetDomains*f.Homes-1) / float64(len(others))
	frame, reply := time.Duration(factor*float64(frameCost)), time.Duration(factor*float64(frameReplyCost))
	for _, o := range others {
		h.processor.do(frame, func() {
			f.after(hop, func() {
				o.processor.do(frame, func() {
					ack := o.acknowledge(h, jobs, sent)
					o.processor.do(reply, func() {
						f.after(hop, func() {
							h.processor.do(reply, func() { h.update(ack) })
						})
					})
				})
			})
		})
	}
}

func (h *home) acknowledge(from *home, jobs []string, sent time.Time) schedule.AcknowledgedMsg {
	ack := schedule.AcknowledgedMsg{
		Host:   h.name,
		SentAt: sent,
		Age:    time.Hour,
	}
	for _, cmd := range h.jobs.Update(h.fleet.now, schedule.AnnouncedMsg{
		Host: from.name,
		Jobs: jobs,
		Age:  time.Hour,
	}) {
		if cmd, ok := cmd.(schedule.AcknowledgeCmd); ok {
			ack.Jobs, ack.Refused = cmd.Jobs, cmd.Refused
			continue
		}
		h.execute(cmd)
	}
	ack.Votes, ack.HomeFor = h.jobs.Votes(h.fleet.now)
	return ack
}

// call is an order to a backend server that awaits its answer.
type call struct {
	home       *home
	server     string
	unanswered pool.Msg
	handling   time.Duration // processor time of the answer
	set, due   time.Time
	extensions int
	ended      bool
}

// order sends an order to a backend server once there is time for it.
func (h *home) order(cmd pool.Cmd) {
	c := &call{
		home:     h,
		handling: startedCost,
	}
	cost, wait := startCost, time.Duration(0)
	switch cmd := cmd.(type) {
	case pool.StartCmd:
		c.server = cmd.Server
		c.unanswered = pool.StartedMsg{
			Server: cmd.Server,
			Name:   cmd.Task.Name(),
			Run:    cmd.Task.Run,
			Sent:   cmd.Sent,
			Result: pool.Unanswered,
		}
	case pool.StopCmd:
		c.server = cmd.Server
		c.unanswered = pool.StoppedMsg{
			Server: cmd.Server,
			Name:   cmd.Name,
			Run:    cmd.Run,
			Sent:   cmd.Sent,
			Result: pool.Unanswered,
		}
	case pool.PollCmd:
		c.server, c.handling = cmd.Server, listsCost
		cost, wait = pollCost, cmd.Wait
		c.unanswered = pool.PollResultMsg{
			Server: cmd.Server,
			Serial: cmd.Serial,
			Sent:   h.fleet.now,
			Result: pool.Unanswered,
		}
	}
	h.processor.do(cost, func() { h.send(c, cmd, wait) })
}

func (h *home) send(c *call, cmd pool.Cmd, wait time.Duration) {
	f := h.fleet
	timeout := h.answerTimeout()
	c.due = f.now.Add(timeout + wait)
	c.set = c.due.Add(-timeout)
	f.after(timeout+wait, func() { h.processor.doFirst(timerCost, c.expire) })
	leave := func() {
		if c.ended {
			return
		}
		f.after(hop, func() {
			f.servers[c.server].handle(cmd, func(answer pool.Msg) {
				f.after(hop, func() { h.processor.do(readCost, func() { c.read(answer) }) })
			})
		})
	}
	if h.idle[c.server] > 0 {
		h.idle[c.server]--
		leave()
		return
	}
	f.report.connections++
	h.processor.do(connectCost, leave)
}

func (h *home) answerTimeout() time.Duration { return poolLimits().AnswerTimeout }

func (c *call) read(answer pool.Msg) {
	if c.ended {
		return
	}
	c.ended = true
	h := c.home
	h.idle[c.server]++
	h.processor.do(c.handling, func() { h.update(answer) })
}

// expire ends a call whose answer is overdue, with its connection and those that are idle.
func (c *call) expire() {
	if c.ended {
		return
	}
	h, f := c.home, c.home.fleet
	delay := f.now.Sub(c.due)
	if f.Extend {
		delay = max(delay, h.delaySince(c.set))
	}
	if delay > maxTimerDelay && c.extensions < maxExtensions {
		c.extensions++
		extension := min(delay, h.answerTimeout())
		c.set, c.due = f.now, f.now.Add(extension)
		f.after(extension, func() { h.processor.doFirst(timerCost, c.expire) })
		return
	}
	c.ended = true
	h.idle[c.server] = 0
	f.report.overdue++
	h.processor.do(timerCost, func() { h.update(c.unanswered) })
}
