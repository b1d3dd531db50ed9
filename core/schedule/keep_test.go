package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
	"rosemarywalk/internal/pick"
)

// pairLoad is the load of tasks that fit into a server in pairs or alone: 16 cores on average, on
// servers of 32.
func pairLoad() []class {
	classes := fleetLoad()
	for i := range classes {
		classes[i].cpu = 16000
	}
	return classes
}

// shareOnTime returns the share of answers in time, and the mean wait of the jobs that were done,
// of the part of the jobs between two quantiles of the task size.
func (r *fleetReport) shareOnTime(from, to float64) (share float64, wait time.Duration) {
	slices.SortStableFunc(r.answers, func(a, b fleetAnswer) int { return cmp.Compare(a.cpu, b.cpu) })
	n := float64(len(r.answers))
	part := r.answers[int(from*n):int(to*n)]
	onTime, done := 0, 0
	for _, a := range part {
		if a.onTime {
			onTime++
		}
		if a.done {
			done++
			wait += a.wait
		}
	}
	return float64(onTime) / float64(len(part)), wait / time.Duration(max(1, done))
}

// TestLargeTasksAreServed replays a load that exceeds the capacity somewhat, with and without room
// kept. The jobs with the largest tasks must be in time more often with it, and the others may lose
// no more than that gains.
func TestLargeTasksAreServed(t *testing.T) {
	const (
		loadFactor = 1.2
		seeds      = 6
		maxLoss    = 0.03 // of the mean credit
		tail       = 0.03
	)
	var credit, largest [2]float64
	for kept := range 2 {
		l := defaultLimits
		l.KeptJobs = kept
		for seed := range uint64(seeds) {
			r := newFleetReplay(seed, l)
			r.tail = tail
			report := r.play(pairLoad(), loadFactor, replayLength)
			credit[kept] += report.credit() / seeds
			for _, part := range [][2]float64{{0.9, 1}, {0.7, 0.9}, {0, 0.7}} {
				share, wait := report.shareOnTime(part[0], part[1])
				t.Logf("room for %d, seed %d, by size %v: in time %.3f, wait %s", kept, seed, part, share, wait)
				if part[1] == 1 {
					largest[kept] += share / seeds
				}
			}
		}
	}
	t.Logf("largest tenth in time %.3f, with room kept %.3f; credit %.3f, %.3f", largest[0], largest[1], credit[0], credit[1])
	assert.Assert(t, largest[1] > largest[0])
	assert.Assert(t, credit[1] >= credit[0]-maxLoss)
}

// fullServer returns the capacity of one server of 32 cores on which tasks of 16 cores end at the
// given times.
func fullServer(ends ...time.Duration) pool.Capacity {
	slot := pool.Slot{
		Server: "a",
		Free: work.Size{
			CPU:    32000 - 16000*len(ends),
			Memory: 1000,
		},
	}
	for _, in := range ends {
		slot.Ends = append(slot.Ends, pool.End{
			In:   in,
			Size: work.Size{CPU: 16000},
		})
	}
	capacity := pool.Capacity{
		TotalCPU:    32000,
		ReleaseRate: 320_000,
		Largest: work.Size{
			CPU:    32000,
			Memory: 1000,
		},
	}
	if slot.Free.CPU > 0 {
		capacity.Slots = []pool.Slot{slot}
	} else {
		capacity.Full = []pool.Slot{slot}
	}
	return capacity
}

// TestSmallTasksAheadOfLarge replays small tasks that arrive while a large one waits: without room
// kept, each gap goes to one of them, and the large one never starts.
func TestSmallTasksAheadOfLarge(t *testing.T) {
	sized := func(id string, cpu int, run, slack time.Duration) SubmitMsg {
		job := jobOf(id, 1)
		job.Steps[0].Size.CPU, job.Steps[0].Estimate = cpu, run
		job.Stretch, job.Slack = 1, slack
		job.Arrived, job.Deadline = epoch, epoch.Add(10*time.Second)
		return SubmitMsg{
			Job:    job,
			Caller: id,
		}
	}
	tests := []struct {
		name  string
		kept  int
		after []string // jobs started once one run has ended
		last  []string // and once the other one has ended, too
	}{
		{
			name:  "no room kept",
			after: []string{"long"},
			last:  []string{"short"},
		},
		{
			name:  "room kept",
			kept:  1,
			after: []string{"short"},
			last:  []string{"large"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := limits
			l.KeptJobs = test.kept
			m := New(self, l)
			update := func(at time.Duration, msg Msg) []Cmd { return m.Update(epoch.Add(at), msg) }
			report := func(at time.Duration, ends ...time.Duration) []Cmd {
				return update(at, CapacityMsg{
					Host:     self,
					Capacity: fullServer(ends...),
				})
			}
			report(0, 20*time.Millisecond, 70*time.Millisecond)
			update(0, sized("large", 20000, 100*time.Millisecond, 300*time.Millisecond))
			update(0, sized("long", 16000, 100*time.Millisecond, 400*time.Millisecond))
			update(0, sized("short", 16000, 20*time.Millisecond, 500*time.Millisecond))

			started := pick.OfType[RunCmd](report(20*time.Millisecond, 50*time.Millisecond))
			assert.DeepEqual(t, jobsOf(started), test.after)
			if test.kept > 0 {
				assert.Equal(t, started[0].Task.Server, "a")
				assert.DeepEqual(t, m.kept, []string{"a"})
			}
			ends := []time.Duration{}
			if test.kept == 0 {
				ends = append(ends, 50*time.Millisecond)
			}
			cmds := report(70*time.Millisecond, ends...)
			assert.DeepEqual(t, jobsOf(pick.OfType[RunCmd](cmds)), test.last)
		})
	}
}

func jobsOf(runs []RunCmd) []string {
	var jobs []string
	for _, r := range runs {
		jobs = append(jobs, r.Task.Job)
	}
	return jobs
}

// TestKeptRoomIsReleased checks that no server stays kept once the job has left, also in a host
// that has no other work.
func TestKeptRoomIsReleased(t *testing.T) {
	l := limits
	l.KeptJobs = 1
	m := New(self, l)
	m.Update(epoch, CapacityMsg{
		Host:     self,
		Capacity: fullServer(20*time.Millisecond, 70*time.Millisecond),
	})
	job := jobOf("large", 1)
	job.Steps[0].Size.CPU = 20000
	job.Arrived, job.Slack, job.Deadline = epoch, time.Second, epoch.Add(2*time.Second)
	cmds := m.Update(epoch, SubmitMsg{
		Job:    job,
		Caller: "c",
	})
	assert.DeepEqual(t, pick.OfType[KeepCmd](cmds), []KeepCmd{{
		Servers: []string{"a"},
		Added:   1,
	}})
	m.Update(epoch, CallerGoneMsg{Caller: "c"})
	assert.Assert(t, !m.Idle())
	cmds = m.Update(epoch, TickMsg{})
	assert.DeepEqual(t, pick.OfType[KeepCmd](cmds), []KeepCmd{{}})
	assert.Assert(t, m.Idle())
}

// BenchmarkDispatch measures a report of capacity at a home whose servers are full, or have a gap,
// while 100 jobs wait.
func BenchmarkDispatch(b *testing.B) {
	for _, servers := range []int{50, 350, 1122} {
		for _, kept := range []int{0, 1} {
			b.Run(fmt.Sprintf("%d servers, room for %d jobs", servers, kept), func(b *testing.B) {
				l := limits
				l.KeptJobs, l.AdmitWaitFactor, l.MaxJobs = kept, 100, 1000
				m := New(self, l)
				report := CapacityMsg{
					Host:     self,
					Capacity: fullPool(servers),
				}
				if kept == 0 {
					for i := range report.Capacity.Slots {
						report.Capacity.Slots[i].Ends = nil
					}
				}
				m.Update(epoch, report)
				const jobs = 100
				for n := range jobs {
					job := jobOf(fmt.Sprint(n), 4)
					job.Steps[0].Size.CPU = 18000
					job.Arrived, job.Slack, job.Deadline = epoch, time.Hour, epoch.Add(time.Hour)
					m.Update(epoch, SubmitMsg{
						Job:    job,
						Caller: job.ID,
					})
				}
				assert.Equal(b, m.Queued(), jobs)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					m.Update(epoch, report)
				}
			})
		}
	}
}

// fullPool returns the capacity of servers with 8 of 32 cores free and two runs.
func fullPool(servers int) pool.Capacity {
	capacity := poolWith(servers)
	for i := range capacity.Slots {
		s := &capacity.Slots[i]
		s.Server, s.Free.CPU = fmt.Sprintf("i-%04d", i), 8000
		for _, in := range []int{40 + i%50, 100 + i%500} {
			s.Ends = append(s.Ends, pool.End{
				In:   time.Duration(in) * time.Millisecond,
				Size: work.Size{CPU: 12000},
			})
		}
	}
	capacity.Largest.CPU = 32000
	return capacity
}
