package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Profile describes the jobs of a run.
type Profile struct {
	Rate     float64       // jobs per second
	Duration time.Duration // of arrivals
	Jobs     int           // most jobs; 0 for no bound
	Seed     uint64
	TasksMin int
	TasksMax int
	RunMean  time.Duration // of one task
	RunMin   time.Duration
	RunMax   time.Duration
	Deadline time.Duration // of every job; 0 for the hosts' default
	Keyed    bool          // jobs carry idempotency keys instead of tickets
}

// sigma is the spread of the lognormal run times.
const sigma = 0.8

// planned is one job and when it arrives.
type planned struct {
	at   time.Duration
	host int
	runs []time.Duration
}

// ideal is the time that the job takes with no waiting and no overhead.
func (p planned) ideal() time.Duration {
	var longest time.Duration
	for _, r := range p.runs {
		longest = max(longest, r)
	}
	return longest
}

// plan draws all jobs ahead of time, so that a seed always gives the same.
func (p Profile) plan(hosts int) []planned {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var jobs []planned
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration || (p.Jobs > 0 && len(jobs) == p.Jobs) {
			return jobs
		}
		jobs = append(jobs, planned{
			at:   at,
			host: rng.IntN(hosts),
			runs: p.runs(rng),
		})
	}
}

func (p Profile) runs(rng *rand.Rand) []time.Duration {
	n := p.tasks(rng)
	runs := make([]time.Duration, 0, n)
	for range n {
		runs = append(runs, p.run(rng))
	}
	return runs
}

// run draws one lognormal run time.
func (p Profile) run(rng *rand.Rand) time.Duration {
	mu := math.Log(p.RunMean.Seconds()) - sigma*sigma/2
	run := time.Duration(math.Exp(mu+sigma*rng.NormFloat64()) * float64(time.Second))
	return min(p.RunMax, max(p.RunMin, run)).Round(time.Millisecond)
}

// MeanRun returns the mean run time after cutting off at both ends, by drawing.
func (p Profile) MeanRun() time.Duration {
	const draws = 200000
	rng := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range draws {
		sum += p.run(rng)
	}
	return sum / draws
}

// tasks draws a job's size, even on a logarithmic scale: many small, few large.
func (p Profile) tasks(rng *rand.Rand) int {
	low, high := math.Log(float64(p.TasksMin)), math.Log(float64(p.TasksMax)+1)
	return min(p.TasksMax, int(math.Exp(low+(high-low)*rng.Float64())))
}

// MeanTasks returns the mean size of a job.
func (p Profile) MeanTasks() float64 {
	low, high := math.Log(float64(p.TasksMin)), math.Log(float64(p.TasksMax)+1)
	sum := 0.0
	for n := p.TasksMin; n <= p.TasksMax; n++ {
		share := (math.Log(float64(n)+1) - math.Log(float64(n))) / (high - low)
		sum += share * float64(n)
	}
	return sum
}
