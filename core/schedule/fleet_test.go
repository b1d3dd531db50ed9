package schedule

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// fleetLoad is the load of the genealogy organisations at all homes together.
func fleetLoad() []class {
	return []class{
		{
			name:  "quick",
			rate:  34.4,
			tasks: 8,
			cpu:   14000,
			run:   60 * time.Millisecond,
		},
		{
			name:  "lineage",
			rate:  6.24,
			tasks: 4,
			cpu:   14000,
			run:   900 * time.Millisecond,
		},
		{
			name:  "spelling",
			rate:  99.9,
			tasks: 2,
			cpu:   14000,
			run:   200 * time.Millisecond,
		},
	}
}

// Dimensions of the simulated fleet.
const (
	fleetHomes       = 4
	serversPerHome   = 12 // backend servers
	serverMillicores = 32000
	hopLatency       = time.Millisecond // one way between hosts
	tailFactor       = 7
)

// fleetJob is a job of a fleet replay.
type fleetJob struct {
	replayJob

	coreSeconds float64 // of all its tasks
	taskSize    work.Size
	number      int
}

// fleetHome is a home of a fleet replay with its backend servers.
type fleetHome struct {
	name     string
	model    *Model
	reporter *Reporter
	free     []int
	changes  int
	kept     map[string]bool // servers on which room is kept
	running  map[string]fleetRun
}

type fleetRun struct {
	task      work.Task
	server    int
	owner     *fleetHome
	startedAt time.Time
}

// fleetReport is the result of a fleet replay.
type fleetReport struct {
	verdicts          map[string]*classResult
	ages              []time.Duration // of refused jobs
	usefulCoreSeconds float64         // of jobs answered in time
	busyCoreSeconds   float64         // of all runs
	answers           []fleetAnswer
	serverFree        int     // jobs refused while a server had capacity for any one of their tasks
	rejectedLends     int     // tasks for other homes that did not fit
	packingLimit      float64 // share of all cores that tasks of the submitted sizes can occupy
}

// fleetAnswer is the answer to one job.
type fleetAnswer struct {
	cpu    int           // of each of its tasks
	wait   time.Duration // beyond its mean run time, if it was done
	onTime bool
	done   bool
}

func (r *fleetReport) credit() float64 {
	sum := 0.0
	for _, v := range r.verdicts {
		sum += v.credit()
	}
	return sum / float64(len(r.verdicts))
}

// refusedWithin returns the given quantile of the age of refused jobs.
func (r *fleetReport) refusedWithin(part float64) time.Duration {
	if len(r.ages) == 0 {
		return 0
	}
	slices.Sort(r.ages)
	return r.ages[int(part*float64(len(r.ages)-1))]
}

// fleetReplay simulates several homes that lend capacity to each other under load.
type fleetReplay struct {
	rng    *rand.Rand
	queue  events
	homes  []*fleetHome
	jobs   map[string]fleetJob
	report *fleetReport
	window [2]time.Duration // jobs submitted in this interval count
	sizes  []int            // millicores of all tasks submitted
	tail   float64          // share of the tasks that take tailFactor times as long
}

func newFleetReplay(seed uint64, l Limits) *fleetReplay {
	r := &fleetReplay{
		rng:  rand.New(rand.NewPCG(seed, 2)),
		jobs: map[string]fleetJob{},
		report: &fleetReport{
			verdicts: map[string]*classResult{},
		},
	}
	for i := range fleetHomes {
		h := &fleetHome{
			name:    fmt.Sprint("home-", i),
			running: map[string]fleetRun{},
			reporter: NewReporter(ReportIntervals{
				LowCapacity: 25 * time.Millisecond,
				Normal:      200 * time.Millisecond,
				Unchanged:   500 * time.Millisecond,
			}),
		}
		h.model = New(h.name, l)
		for range serversPerHome {
			h.free = append(h.free, serverMillicores)
		}
		r.homes = append(r.homes, h)
	}
	return r
}

func (r *fleetReplay) findHome(name string) *fleetHome {
	for _, h := range r.homes {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (r *fleetReplay) at(at time.Duration, do func(now time.Time)) {
	heap.Push(&r.queue, event{
		at: at,
		do: do,
	})
}

func (r *fleetReplay) after(now time.Time, d time.Duration, do func(now time.Time)) {
	r.at(now.Sub(epoch)+d, do)
}

func (h *fleetHome) capacity(now time.Time) pool.Capacity {
	capacity := pool.Capacity{
		TotalCPU: serverMillicores * len(h.free),
		Largest: work.Size{
			CPU:    serverMillicores,
			Memory: 1000,
		},
	}
	ends := h.ends(now)
	for i, free := range h.free {
		slot := pool.Slot{
			Server: fmt.Sprint(i),
			Free: work.Size{
				CPU:    free,
				Memory: 1000,
			},
			Kept: h.kept[fmt.Sprint(i)],
			Ends: ends[i],
		}
		if free > 0 {
			capacity.Slots = append(capacity.Slots, slot)
		} else if len(slot.Ends) > 0 {
			capacity.Full = append(capacity.Full, slot)
		}
	}
	for _, run := range h.running {
		if run.task.PredictedTime > 0 && now.Sub(run.startedAt) < 3*run.task.PredictedTime {
			capacity.ReleaseRate += int(float64(run.task.Size.CPU) / run.task.PredictedTime.Seconds())
		}
	}
	return capacity
}

// ends returns the predicted ends of the runs on each server as a pool reports them.
func (h *fleetHome) ends(now time.Time) [][]pool.End {
	ends := make([][]pool.End, len(h.free))
	if h.model.limits.KeptJobs == 0 {
		return ends
	}
	for _, name := range slices.Sorted(maps.Keys(h.running)) {
		run := h.running[name]
		predicted, elapsed := run.task.PredictedTime, now.Sub(run.startedAt)
		ends[run.server] = append(ends[run.server], pool.End{
			In:   max(predicted-elapsed, predicted/10, elapsed-predicted),
			Size: run.task.Size,
		})
	}
	for _, e := range ends {
		slices.SortStableFunc(e, func(a, b pool.End) int { return cmp.Compare(a.In, b.In) })
	}
	return ends
}

// update passes a message to a home and executes the commands that it returns.
func (r *fleetReplay) update(now time.Time, h *fleetHome, msg Msg) {
	pending := []Msg{msg}
	for len(pending) > 0 {
		cmds := h.model.Update(now, pending[0])
		pending = pending[1:]
		changed := false
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case RunCmd:
				if cmd.Host != h.name {
					r.after(now, hopLatency, func(now time.Time) { r.lend(now, h, r.findHome(cmd.Host), cmd.Task) })
					continue
				}
				changed = true
				if !r.start(now, h, h, cmd.Task) {
					pending = append(pending, EndMsg{
						Host: h.name,
						Task: cmd.Task,
						End:  work.EndNotStarted,
					})
				}
			case HaltCmd:
				lender := r.findHome(cmd.Host)
				r.after(now, hopLatency, func(now time.Time) { r.halt(now, lender, cmd.Name) })
			case AnswerCmd:
				r.answer(now, cmd)
			case KeepCmd:
				h.kept = map[string]bool{}
				for _, server := range cmd.Servers {
					h.kept[server] = true
				}
				h.changes++
			case LogCmd:
			}
		}
		if changed {
			pending = append(pending, r.ownCapacityMsg(now, h))
		}
	}
}

func (r *fleetReplay) ownCapacityMsg(now time.Time, h *fleetHome) Msg {
	h.changes++
	return CapacityMsg{
		Host:     h.name,
		Capacity: h.capacity(now),
	}
}

// lend runs a task on a home's servers on behalf of another home.
func (r *fleetReplay) lend(now time.Time, owner, lender *fleetHome, t work.Task) {
	if r.start(now, lender, owner, t) {
		r.update(now, lender, r.ownCapacityMsg(now, lender))
		return
	}
	r.report.rejectedLends++
	r.after(now, hopLatency, func(now time.Time) {
		r.update(now, owner, EndMsg{
			Host: lender.name,
			Task: t,
			End:  work.EndNotStarted,
		})
	})
}

func (r *fleetReplay) start(now time.Time, h, owner *fleetHome, t work.Task) bool {
	best := -1
	for i, free := range h.free {
		server := fmt.Sprint(i)
		if free < t.Size.CPU || (h.kept[server] && t.Server != server) {
			continue
		}
		if best < 0 || t.Server == server || (t.Server != fmt.Sprint(best) && free < h.free[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	h.free[best] -= t.Size.CPU
	h.running[t.Name()] = fleetRun{
		task:      t,
		server:    best,
		owner:     owner,
		startedAt: now,
	}
	const runTimeSpread = 0.15
	took := time.Duration(lognormal(r.rng, float64(r.jobs[t.Job].run), runTimeSpread))
	if r.tail > 0 && r.rng.Float64() < r.tail {
		took *= tailFactor
	}
	r.after(now, took, func(now time.Time) {
		if run, ok := h.running[t.Name()]; !ok || run.startedAt != now.Add(-took) {
			return
		}
		r.stop(now, h, t.Name())
		back := hopLatency
		if h == owner {
			back = 0
		}
		r.after(now, back, func(now time.Time) {
			r.update(now, owner, EndMsg{
				Host: h.name,
				Task: t,
				End:  work.EndDone,
				Took: took,
			})
		})
		r.update(now, h, r.ownCapacityMsg(now, h))
	})
	return true
}

func (r *fleetReplay) stop(now time.Time, h *fleetHome, name string) {
	run := h.running[name]
	delete(h.running, name)
	h.free[run.server] += run.task.Size.CPU
	r.report.busyCoreSeconds += float64(run.task.Size.CPU) / 1000 * now.Sub(run.startedAt).Seconds()
}

func (r *fleetReplay) halt(now time.Time, h *fleetHome, name string) {
	if _, ok := h.running[name]; ok {
		r.stop(now, h, name)
		r.update(now, h, r.ownCapacityMsg(now, h))
	}
}

// serverFree reports whether a server of any home has capacity for a task of the job.
func (r *fleetReplay) serverFree(j fleetJob) bool {
	for _, h := range r.homes {
		for _, free := range h.free {
			if free >= j.taskSize.CPU {
				return true
			}
		}
	}
	return false
}

func (r *fleetReplay) answer(now time.Time, cmd AnswerCmd) {
	j := r.jobs[cmd.ID]
	if sent := j.sent.Sub(epoch); sent < r.window[0] || sent >= r.window[1] {
		return
	}
	v, took := r.report.verdicts[j.class], now.Sub(j.sent)
	r.report.answers = append(r.report.answers, fleetAnswer{
		cpu:    j.taskSize.CPU,
		wait:   max(0, took-j.run),
		onTime: cmd.Outcome.State == work.Completed && took <= j.objective,
		done:   cmd.Outcome.State == work.Completed,
	})
	switch {
	case cmd.Outcome.State == work.Refused:
		v.refused++
		r.report.ages = append(r.report.ages, took)
		if r.serverFree(j) {
			r.report.serverFree++
		}
	case cmd.Outcome.State == work.Completed && took <= j.objective:
		v.onTime++
		r.report.usefulCoreSeconds += j.coreSeconds
	case cmd.Outcome.State == work.Completed && took <= 3*j.objective:
		v.late++
	default:
		v.other++
	}
}

func (r *fleetReplay) submit(now time.Time, c class, n int) { r.resubmit(now, c, n, now) }

// resubmit submits a job that its caller first sent at an earlier time.
func (r *fleetReplay) resubmit(now time.Time, c class, n int, sent time.Time) {
	id := fmt.Sprintf("%s-%d", c.name, n)
	const (
		spread         = 0.4
		estimateSpread = 0.4
		sizeSpread     = 0.2
	)
	run := time.Duration(lognormal(r.rng, float64(c.run), spread))
	count := max(1, int(lognormal(r.rng, float64(c.tasks), spread)+0.5))
	size := work.Size{CPU: int(min(1.5*float64(c.cpu), lognormal(r.rng, float64(c.cpu), sizeSpread)))}
	for range count {
		r.sizes = append(r.sizes, size.CPU)
	}
	slack := 60 * time.Millisecond
	r.jobs[id] = fleetJob{
		replayJob: replayJob{
			class:     c.name,
			run:       run,
			objective: time.Duration(1.6*float64(run)) + slack,
			sent:      sent,
		},
		coreSeconds: float64(count*size.CPU) / 1000 * run.Seconds(),
		taskSize:    size,
	}
	if sent := sent.Sub(epoch); sent >= r.window[0] && sent < r.window[1] {
		r.report.verdicts[c.name].submitted++
	}
	r.update(now, r.homes[r.rng.IntN(len(r.homes))], SubmitMsg{
		Caller: id,
		Job: work.Job{
			ID:    id,
			Route: c.name,
			Steps: []work.Step{{
				Count:    count,
				Size:     size,
				Estimate: time.Duration(lognormal(r.rng, float64(run), estimateSpread)),
			}},
			MaxAttempts: 2,
			Stretch:     1.6,
			Slack:       slack,
			Arrived:     sent,
			Deadline:    sent.Add(max(1500*time.Millisecond, 5*run)),
		},
	})
}

// exchangeCapacity sends the homes' free capacity to each other.
func (r *fleetReplay) exchangeCapacity(now time.Time) {
	for _, h := range r.homes {
		capacity := h.capacity(now)
		capacity.Slots = slices.DeleteFunc(capacity.Slots, func(s pool.Slot) bool { return s.Kept })
		free := 0
		for _, s := range capacity.Slots {
			free += s.Free.CPU
		}
		need := free < capacity.TotalCPU/5 || h.model.LacksCapacity(now)
		var partners []string
		for _, o := range r.homes {
			if o != h {
				partners = append(partners, o.name)
			}
		}
		for _, name := range h.reporter.Due(now, partners, h.changes, need) {
			other, reported, backlog := r.findHome(name), capacity, h.model.Backlog()
			reported.Slots = slices.Clone(capacity.Slots)
			r.after(now, hopLatency, func(now time.Time) {
				other.reporter.SetLow(now, h.name, need)
				r.update(now, other, CapacityMsg{
					Host:     h.name,
					Capacity: reported,
					Backlog:  backlog,
				})
			})
		}
	}
}

// play simulates one second of normal load and then a period at a multiple of it, and
// reports on the jobs submitted in that period.
func (r *fleetReplay) play(classes []class, loadFactor float64, length time.Duration) *fleetReport {
	r.window = [2]time.Duration{time.Second, time.Second + length}
	n := 0
	for _, c := range classes {
		r.report.verdicts[c.name] = &classResult{}
		for at := time.Duration(0); at < r.window[1]; {
			rate := c.rate
			if at >= r.window[0] {
				rate *= loadFactor
			}
			at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
			number := n
			n++
			r.at(at, func(now time.Time) { r.submit(now, c, number) })
		}
	}
	return r.run(r.window[1])
}

// playRestart simulates all homes coming back after a second: what callers sent in that
// second arrives a second late, beside what they send then. It reports on the jobs first
// sent in the given interval, all of them within length.
func (r *fleetReplay) playRestart(classes []class, window [2]time.Duration, length time.Duration) *fleetReport {
	const (
		down  = time.Second
		delay = time.Second // of a connection's second opening packet
	)
	r.window = window
	n := 0
	for _, c := range classes {
		r.report.verdicts[c.name] = &classResult{}
		for at := time.Duration(0); at < length; {
			at += time.Duration(r.rng.ExpFloat64() / c.rate * float64(time.Second))
			arrives := at
			if at < down {
				arrives += delay
			}
			sent, number := epoch.Add(at), n
			n++
			r.at(arrives, func(now time.Time) { r.resubmit(now, c, number, sent) })
		}
	}
	return r.run(length)
}

// run simulates all events, with ticks and capacity reports until the jobs that are
// submitted up to the given time have ended.
func (r *fleetReplay) run(until time.Duration) *fleetReport {
	const (
		tick           = 10 * time.Millisecond
		reportInterval = 25 * time.Millisecond
		drainTime      = 3 * time.Second
	)
	for _, h := range r.homes {
		r.update(epoch, h, r.ownCapacityMsg(epoch, h))
	}
	for at := time.Duration(0); at < until+drainTime; at += tick {
		r.at(at, func(now time.Time) {
			for _, h := range r.homes {
				r.update(now, h, TickMsg{})
			}
		})
	}
	for at := time.Duration(0); at < until+drainTime; at += reportInterval {
		r.at(at, r.exchangeCapacity)
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		e.do(epoch.Add(e.at))
	}
	r.report.packingLimit = r.packingLimit()
	return r.report
}

// packingLimit returns the share of all cores that tasks of the submitted sizes can
// occupy: the largest first, each on the first server with room for it.
func (r *fleetReplay) packingLimit() float64 {
	slices.SortFunc(r.sizes, func(a, b int) int { return b - a })
	var free []int
	sum := 0
	for _, size := range r.sizes {
		sum += size
		i := slices.IndexFunc(free, func(f int) bool { return f >= size })
		if i < 0 {
			free, i = append(free, serverMillicores), len(free)
		}
		free[i] -= size
	}
	return float64(sum) / float64(len(free)*serverMillicores)
}
