package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// surnames is the genealogy houses' load at all homes together.
func surnames() []class {
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

// The shape of the replayed site.
const (
	fleetHomes   = 4
	fleetServers = 12 // of each home
	fleetSize    = 32000
	fleetHop     = time.Millisecond // one way between hosts
)

// fleetJob is a job of a fleet replay.
type fleetJob struct {
	submitted

	cost   float64 // core-seconds
	widest work.Size
	number int
}

// fleetHome is one home of a fleet replay, with its backend servers.
type fleetHome struct {
	name    string
	model   *Model
	teller  *Teller
	free    []int
	changes int
	running map[string]fleetRun
}

type fleetRun struct {
	task   work.Task
	server int
	owner  *fleetHome
	began  time.Time
}

// fleetReport is how the jobs of a fleet replay fared.
type fleetReport struct {
	verdicts map[string]*verdict
	ages     []time.Duration // of refused jobs
	useful   float64         // core-seconds of jobs answered in time
	busy     float64         // core-seconds of runs
	idle     int             // jobs refused while a server could have taken each of their tasks
	bounced  int             // lent tasks that found no room
}

func (r *fleetReport) credit() float64 {
	sum := 0.0
	for _, v := range r.verdicts {
		sum += v.credit()
	}
	return sum / float64(len(r.verdicts))
}

// refusedWithin returns the age by which a part of the refusals were given.
func (r *fleetReport) refusedWithin(part float64) time.Duration {
	if len(r.ages) == 0 {
		return 0
	}
	slices.Sort(r.ages)
	return r.ages[int(part*float64(len(r.ages)-1))]
}

// fleetReplay drives several homes that lend to each other with a load.
type fleetReplay struct {
	rng    *rand.Rand
	queue  events
	homes  []*fleetHome
	jobs   map[string]fleetJob
	report *fleetReport
	window [2]time.Duration // in which jobs count
}

func newFleetReplay(seed uint64, l Limits) *fleetReplay {
	r := &fleetReplay{
		rng:  rand.New(rand.NewPCG(seed, 2)),
		jobs: map[string]fleetJob{},
		report: &fleetReport{
			verdicts: map[string]*verdict{},
		},
	}
	for i := range fleetHomes {
		h := &fleetHome{
			name:    fmt.Sprint("home-", i),
			running: map[string]fleetRun{},
			teller: NewTeller(TellLimits{
				Soon:  25 * time.Millisecond,
				Later: 200 * time.Millisecond,
				Again: 500 * time.Millisecond,
			}),
		}
		h.model = New(h.name, l)
		for range fleetServers {
			h.free = append(h.free, fleetSize)
		}
		r.homes = append(r.homes, h)
	}
	return r
}

func (r *fleetReplay) home(name string) *fleetHome {
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

func (h *fleetHome) room(now time.Time) pool.Capacity {
	room := pool.Capacity{
		Total: fleetSize * len(h.free),
		Largest: work.Size{
			CPU:    fleetSize,
			Memory: 1000,
		},
	}
	for _, free := range h.free {
		if free > 0 {
			room.Slots = append(room.Slots, pool.Slot{Free: work.Size{
				CPU:    free,
				Memory: 1000,
			}})
		}
	}
	for _, run := range h.running {
		if run.task.Expect > 0 && now.Sub(run.began) < 3*run.task.Expect {
			room.Flow += int(float64(run.task.Size.CPU) / run.task.Expect.Seconds())
		}
	}
	return room
}

// update passes a message to a home and carries out what it decides.
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
					r.after(now, fleetHop, func(now time.Time) { r.lend(now, h, r.home(cmd.Host), cmd.Task) })
					continue
				}
				changed = true
				if !r.start(now, h, h, cmd.Task) {
					pending = append(pending, EndMsg{
						Host: h.name,
						Task: cmd.Task,
						End:  work.EndNever,
					})
				}
			case HaltCmd:
				lender := r.home(cmd.Host)
				r.after(now, fleetHop, func(now time.Time) { r.halt(now, lender, cmd.Name) })
			case AnswerCmd:
				r.answer(now, cmd)
			case NoteCmd:
			}
		}
		if changed {
			pending = append(pending, r.ownRoom(now, h))
		}
	}
}

func (r *fleetReplay) ownRoom(now time.Time, h *fleetHome) Msg {
	h.changes++
	return RoomMsg{
		Host: h.name,
		Room: h.room(now),
	}
}

// lend starts a task for another home.
func (r *fleetReplay) lend(now time.Time, owner, lender *fleetHome, t work.Task) {
	if r.start(now, lender, owner, t) {
		r.update(now, lender, r.ownRoom(now, lender))
		return
	}
	r.report.bounced++
	r.after(now, fleetHop, func(now time.Time) {
		r.update(now, owner, EndMsg{
			Host: lender.name,
			Task: t,
			End:  work.EndNever,
		})
	})
}

func (r *fleetReplay) start(now time.Time, h, owner *fleetHome, t work.Task) bool {
	best := -1
	for i, free := range h.free {
		if free >= t.Size.CPU && (best < 0 || free < h.free[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	h.free[best] -= t.Size.CPU
	h.running[t.Name()] = fleetRun{
		task:   t,
		server: best,
		owner:  owner,
		began:  now,
	}
	const uneven = 0.15
	took := time.Duration(around(r.rng, float64(r.jobs[t.Job].run), uneven))
	r.after(now, took, func(now time.Time) {
		if run, ok := h.running[t.Name()]; !ok || run.began != now.Add(-took) {
			return
		}
		r.stop(now, h, t.Name())
		back := fleetHop
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
		r.update(now, h, r.ownRoom(now, h))
	})
	return true
}

func (r *fleetReplay) stop(now time.Time, h *fleetHome, name string) {
	run := h.running[name]
	delete(h.running, name)
	h.free[run.server] += run.task.Size.CPU
	r.report.busy += float64(run.task.Size.CPU) / 1000 * now.Sub(run.began).Seconds()
}

func (r *fleetReplay) halt(now time.Time, h *fleetHome, name string) {
	if _, ok := h.running[name]; ok {
		r.stop(now, h, name)
		r.update(now, h, r.ownRoom(now, h))
	}
}

// idle reports whether a server of some home could take the widest task of a job.
func (r *fleetReplay) idle(j fleetJob) bool {
	for _, h := range r.homes {
		for _, free := range h.free {
			if free >= j.widest.CPU {
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
	switch {
	case cmd.Outcome.State == work.Refused:
		v.refused++
		r.report.ages = append(r.report.ages, took)
		if r.idle(j) {
			r.report.idle++
		}
	case cmd.Outcome.State == work.Completed && took <= j.objective:
		v.inAim++
		r.report.useful += j.cost
	case cmd.Outcome.State == work.Completed && took <= 3*j.objective:
		v.late++
	default:
		v.other++
	}
}

func (r *fleetReplay) submit(now time.Time, c class, n int) {
	id := fmt.Sprintf("%s-%d", c.name, n)
	const (
		spread   = 0.4
		estimate = 0.4
		sizes    = 0.2
	)
	run := time.Duration(around(r.rng, float64(c.run), spread))
	count := max(1, int(around(r.rng, float64(c.tasks), spread)+0.5))
	size := work.Size{CPU: int(min(1.5*float64(c.cpu), around(r.rng, float64(c.cpu), sizes)))}
	slack := 60 * time.Millisecond
	r.jobs[id] = fleetJob{
		submitted: submitted{
			class:     c.name,
			run:       run,
			objective: time.Duration(1.6*float64(run)) + slack,
			sent:      now,
		},
		cost:   float64(count*size.CPU) / 1000 * run.Seconds(),
		widest: size,
	}
	if sent := now.Sub(epoch); sent >= r.window[0] && sent < r.window[1] {
		r.report.verdicts[c.name].asked++
	}
	r.update(now, r.homes[r.rng.IntN(len(r.homes))], SubmitMsg{
		Caller: id,
		Job: work.Job{
			ID:    id,
			Route: c.name,
			Steps: []work.Step{{
				Count:    count,
				Size:     size,
				Estimate: time.Duration(around(r.rng, float64(run), estimate)),
			}},
			Attempts: 2,
			Stretch:  1.6,
			Slack:    slack,
			Arrived:  now,
			Deadline: now.Add(max(1500*time.Millisecond, 5*run)),
		},
	})
}

// tell passes the homes' room on to each other.
func (r *fleetReplay) tell(now time.Time) {
	for _, h := range r.homes {
		room := h.room(now)
		free := 0
		for _, s := range room.Slots {
			free += s.Free.CPU
		}
		need := free < room.Total/5 || h.model.Queued() > 0
		var partners []string
		for _, o := range r.homes {
			if o != h {
				partners = append(partners, o.name)
			}
		}
		for _, name := range h.teller.Due(now, partners, h.changes, need) {
			other, told := r.home(name), room
			told.Slots = slices.Clone(room.Slots)
			r.after(now, fleetHop, func(now time.Time) {
				other.teller.Need(now, h.name, need)
				r.update(now, other, RoomMsg{
					Host: h.name,
					Room: told,
				})
			})
		}
	}
}

// play runs a second at the usual load and then some at a multiple of it, and
// reports on the jobs of the latter.
func (r *fleetReplay) play(classes []class, times float64, length time.Duration) *fleetReport {
	const (
		tick  = 10 * time.Millisecond
		told  = 25 * time.Millisecond
		after = 3 * time.Second
	)
	r.window = [2]time.Duration{time.Second, time.Second + length}
	for _, h := range r.homes {
		r.update(epoch, h, r.ownRoom(epoch, h))
	}
	n := 0
	for _, c := range classes {
		r.report.verdicts[c.name] = &verdict{}
		for at := time.Duration(0); at < r.window[1]; {
			rate := c.rate
			if at >= r.window[0] {
				rate *= times
			}
			at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
			number := n
			n++
			r.at(at, func(now time.Time) { r.submit(now, c, number) })
		}
	}
	for at := time.Duration(0); at < r.window[1]+after; at += tick {
		r.at(at, func(now time.Time) {
			for _, h := range r.homes {
				r.update(now, h, TickMsg{})
			}
		})
	}
	for at := time.Duration(0); at < r.window[1]+after; at += told {
		r.at(at, r.tell)
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		e.do(epoch.Add(e.at))
	}
	return r.report
}
