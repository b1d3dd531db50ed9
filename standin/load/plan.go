package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Profile describes the jobs of a load run.
type Profile struct {
	Rate     float64       // jobs per second
	Duration time.Duration // period in which jobs arrive
	Jobs     int           // maximum number of jobs; 0 for no limit
	Seed     uint64
	TasksMin int
	TasksMax int
	RunMean  time.Duration // mean run time of a task
	RunMin   time.Duration
	RunMax   time.Duration
	Deadline time.Duration // of each job; 0 for the hosts' default
	Keyed    bool          // jobs carry idempotency keys instead of tickets
}

// runTimeSigma is the standard deviation of the logarithm of the run times.
const runTimeSigma = 0.8

// plannedJob is a job with its arrival time and the host that receives it.
type plannedJob struct {
	arrival  time.Duration
	host     int
	runTimes []time.Duration
}

// idealTime returns the job's response time without queueing or overhead: the run
// time of its longest task.
func (p plannedJob) idealTime() time.Duration {
	var longest time.Duration
	for _, r := range p.runTimes {
		longest = max(longest, r)
	}
	return longest
}

// drawJobs draws all jobs before the run, so that a seed always gives the same
// jobs. Arrivals form a Poisson process.
func (p Profile) drawJobs(hosts int) []plannedJob {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var jobs []plannedJob
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration || (p.Jobs > 0 && len(jobs) == p.Jobs) {
			return jobs
		}
		jobs = append(jobs, plannedJob{
			arrival:  at,
			host:     rng.IntN(hosts),
			runTimes: p.drawRunTimes(rng),
		})
	}
}

func (p Profile) drawRunTimes(rng *rand.Rand) []time.Duration {
	n := p.drawTaskCount(rng)
	runs := make([]time.Duration, 0, n)
	for range n {
		runs = append(runs, p.drawRunTime(rng))
	}
	return runs
}

// drawRunTime draws a lognormal run time, clamped to the profile's limits.
func (p Profile) drawRunTime(rng *rand.Rand) time.Duration {
	mu := math.Log(p.RunMean.Seconds()) - runTimeSigma*runTimeSigma/2
	run := time.Duration(math.Exp(mu+runTimeSigma*rng.NormFloat64()) * float64(time.Second))
	return min(p.RunMax, max(p.RunMin, run)).Round(time.Millisecond)
}

// MeanRun estimates the mean of the clamped run times from a fixed random sample.
func (p Profile) MeanRun() time.Duration {
	const draws = 200000
	rng := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range draws {
		sum += p.drawRunTime(rng)
	}
	return sum / draws
}

// drawTaskCount draws a job's number of tasks from a log-uniform distribution:
// many small jobs, few large ones.
func (p Profile) drawTaskCount(rng *rand.Rand) int {
	low, high := math.Log(float64(p.TasksMin)), math.Log(float64(p.TasksMax)+1)
	return min(p.TasksMax, int(math.Exp(low+(high-low)*rng.Float64())))
}

// MeanTasks returns the mean number of tasks of a job.
func (p Profile) MeanTasks() float64 {
	low, high := math.Log(float64(p.TasksMin)), math.Log(float64(p.TasksMax)+1)
	sum := 0.0
	for n := p.TasksMin; n <= p.TasksMax; n++ {
		share := (math.Log(float64(n)+1) - math.Log(float64(n))) / (high - low)
		sum += share * float64(n)
	}
	return sum
}
