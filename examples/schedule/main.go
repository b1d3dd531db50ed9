// Command schedule submits a burst of jobs to a scheduler with two backend servers, and
// prints which jobs start at once, wait or are refused.
//
//	go run ./examples/schedule
package main

import (
	"fmt"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
)

const servers = 2

func main() {
	m := schedule.New("here", schedule.Limits{
		AdmitWaitFactor:     1.5,
		RefuseWaitFactor:    8,
		DemoteStartFactor:   1,
		UsefulLatencyFactor: 3,
		DemotedWaitFactor:   3,
		DemotedFreeFraction: 0.1,
		MaxJobs:             100,
	})
	now := time.Unix(0, 0)
	m.Update(now, schedule.CapacityMsg{
		Host:     "here",
		Capacity: capacity(),
	})
	for n := range 12 {
		cmds := m.Update(now, schedule.SubmitMsg{
			Job:    job(n, now),
			Caller: fmt.Sprint(n),
		})
		fmt.Printf("job %d:", n)
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case schedule.RunCmd:
				fmt.Printf(" start %s;", cmd.Task.Name())
			case schedule.AnswerCmd:
				fmt.Printf(" %s, retry after %s;", cmd.Outcome.State, cmd.Outcome.RetryAfter)
			}
		}
		fmt.Println()
	}
}

// capacity returns the capacity of servers that can each run two of the jobs'
// tasks and become free within a third of a second.
func capacity() pool.Capacity {
	size := work.Size{
		CPU:    16000,
		Memory: 1000,
	}
	r := pool.Capacity{
		TotalCPU:    servers * size.CPU,
		ReleaseRate: servers * size.CPU * 3,
		Largest:     size,
	}
	for range servers {
		r.Slots = append(r.Slots, pool.Slot{Free: size})
	}
	return r
}

func job(n int, now time.Time) work.Job {
	return work.Job{
		ID: fmt.Sprintf("%016x", n),
		Steps: []work.Step{{
			Count:    2,
			Size:     work.Size{CPU: 7000},
			Estimate: 100 * time.Millisecond,
		}},
		MaxAttempts: 2,
		Stretch:     1.6,
		Slack:       60 * time.Millisecond,
		Arrived:     now,
		Deadline:    now.Add(2 * time.Second),
	}
}
