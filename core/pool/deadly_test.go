package pool_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

const (
	downtime    = 3 * time.Second
	deadlyWaits = 25 * time.Second // how long the caller of a deadly job waits at last
	crashBudget = 3                // starts after three crashes that break the rule
)

// newDeadlyCluster returns a cluster whose job crashes each server that starts it.
func newDeadlyCluster(seed uint64, f faults) *cluster {
	w := newCluster(seed, calm(f))
	w.Deadly, w.Downtime, w.waits = func(string) bool { return true }, downtime, deadlyWaits
	w.job.Steps[0].Count = 1
	return w
}

func (w *cluster) playDeadly() {
	w.play()
	w.RunUntil(w.Now.Add(deadlyWaits))
}

// TestDeadlyTaskCrashesServerAfterServer guards against a task that is started again and again
// although it crashes each server that runs it.
func TestDeadlyTaskCrashesServerAfterServer(t *testing.T) {
	tests := []struct {
		name    string
		faults  faults
		crashes int // most under a task; 0 for what the budget allows
	}{
		{
			name:    "none",
			crashes: 2,
		},
		{
			name:   "messages late",
			faults: faults{Delay: 300 * time.Millisecond},
		},
		{
			name:   "a home is killed",
			faults: faults{Killed: homeNames},
		},
		{
			name: "failure domains cut off from each other",
			faults: faults{
				Cuts:   2,
				MaxCut: 4 * time.Second,
			},
		},
		{
			name: "hosts pause",
			faults: faults{
				Pauses:   6,
				MaxPause: 3 * time.Second,
				Pausable: allNames,
			},
		},
		{
			name:   "orders late and lost",
			faults: faults{Orders: lossyServers},
		},
		{
			name:   "servers taken over",
			faults: faults{Handovers: 3},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			most, failed := 0, 0
			for seed := range *seeds {
				w := newDeadlyCluster(seed, test.faults)
				w.playDeadly()
				for name, crashes := range w.Deaths {
					most = max(most, crashes)
					if w.LateStarts[name] >= crashBudget || (test.crashes > 0 && crashes > test.crashes) {
						t.Errorf("seed %d: %d crashes under %s, %d starts after the third", seed, crashes, name, w.LateStarts[name])
					}
				}
				if w.outcome.State == work.Failed {
					failed++
				}
			}
			t.Logf("up to %d crashes under a task, %d of %d jobs answered failed", most, failed, *seeds)
		})
	}
}

// load is a stream of jobs at a cluster with one home and more servers.
type load struct {
	*cluster

	jobs, completed, failed int // of the jobs that are not deadly
}

const (
	loadServers  = 8
	loadJobs     = 60
	loadInterval = 80 * time.Millisecond
	loadWaits    = 8 * time.Second
	deadlyEvery  = 10 // one job in so many is deadly
)

func newLoad(seed uint64) *load {
	w := &load{cluster: newCluster(seed, calm(faults{}))}
	w.owners = map[string]string{}
	ids := make([]string, 0, loadServers)
	for i := range loadServers {
		ids = append(ids, fmt.Sprint("s", i))
		w.owners[ids[i]] = "A"
	}
	network := w.Network
	w.SimulatedServers = pool.NewSimulatedServers(seed, w.Rate, ids...)
	w.Network, w.AnswerTimeout, w.Downtime = network, answerTimeout, downtime
	w.OnEnd = func(*pool.SimulatedServer, string) {}
	w.RunTime = func(string) time.Duration { return 100*time.Millisecond + w.UpTo(400*time.Millisecond) }
	w.size = work.Size{CPU: 2000}
	for name := range strings.SplitSeq(allNames, "") {
		w.hosts[name].start()
	}
	return w
}

// playLoad submits jobs of two tasks each.
func (w *load) playLoad() {
	for i := range loadJobs {
		job, deadly := w.job, i%deadlyEvery == 0
		job.ID = fmt.Sprint("innocent", i)
		if deadly {
			job.ID = fmt.Sprint("deadly", i)
		}
		job.Steps = []work.Step{{
			Count:    2,
			Size:     work.Size{CPU: 1000},
			Estimate: 300 * time.Millisecond,
		}}
		w.After(time.Second+time.Duration(i)*loadInterval, func() { w.submitJob(job, deadly) })
	}
	w.RunUntil(w.Now.Add(time.Second + loadJobs*loadInterval + loadWaits))
}

func (w *load) submitJob(job work.Job, deadly bool) {
	if !deadly {
		w.jobs++
	}
	job.Arrived, job.Received, job.Deadline = w.Now, w.Now, w.Now.Add(loadWaits)
	w.hosts["a"].forward(w.hosts["A"], job, false, func() (time.Time, bool) { return w.Now, true }, func(o work.Outcome) {
		switch {
		case deadly:
		case o.State == work.Completed:
			w.completed++
		case o.State == work.Failed:
			w.failed++
		}
	})
}

// TestInnocentNeighbourFailed guards against jobs that fail because they shared servers with
// tasks that crash them.
func TestInnocentNeighbourFailed(t *testing.T) {
	var jobs, completed, failed int
	for seed := range *seeds {
		w := newLoad(seed)
		w.Deadly = func(name string) bool { return strings.HasPrefix(name, "deadly") && strings.HasSuffix(name, ".0") }
		w.playLoad()
		jobs, completed, failed = jobs+w.jobs, completed+w.completed, failed+w.failed
	}
	t.Logf("%d of %d innocent jobs completed, %d failed", completed, jobs, failed)
	assert.Assert(t, float64(completed) >= 0.98*float64(jobs))
	assert.Assert(t, float64(failed) <= 0.01*float64(jobs))
}

// shrink sets the capacity that counts at a server.
func (w *load) shrink(id string, to work.Size) {
	w.Servers[id].Capacity, w.Servers[id].Shrunk = to, true
}

// TestShrunkServerOverfilled guards against starts that exceed the capacity of a server which
// shrinks, or which has crashed and is back with less.
func TestShrunkServerOverfilled(t *testing.T) {
	const known = time.Second // by then all homes know a change
	tests := []struct {
		name    string
		crashes bool
	}{
		{
			name: "while it runs",
		},
		{
			name:    "after a crash",
			crashes: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			overfilled := 0
			for seed := range *seeds {
				w := newLoad(seed)
				w.sizes, w.born = map[string]work.Size{}, map[string]int64{}
				for _, id := range slices.Sorted(maps.Keys(w.owners)) {
					small := work.Size{CPU: 1000 * w.Random.IntN(2)}
					w.After(time.Second+w.UpTo(loadJobs*loadInterval), func() {
						s := w.Servers[id]
						if !test.crashes {
							w.sizes[id] = small
							w.After(known, func() { w.shrink(id, small) })
							w.After(2*known, func() { delete(w.sizes, id); w.Servers[id].Shrunk = false })
							return
						}
						born := s.Born.UnixMilli()
						if s.Crash(downtime) {
							w.born[id] = born
							w.After(downtime, func() { w.shrink(id, small) })
							w.After(downtime+assignInterval, func() { delete(w.born, id); w.sizes[id] = small })
						}
					})
				}
				w.playLoad()
				overfilled += len(w.Overfilled)
				if len(w.Overfilled) > 0 {
					t.Logf("seed %d: %d, first %s", seed, len(w.Overfilled), w.Overfilled[0])
				}
			}
			assert.Equal(t, overfilled, 0)
		})
	}
}
