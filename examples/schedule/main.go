// Command schedule shows how a burst of jobs meets two backend servers: what
// starts at once, what waits, and what is refused.
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
		Admit:    1.5,
		Hopeless: 8,
		Overdue:  1,
		Useful:   3,
		Hope:     0.7,
		Spare:    0.1,
		Jobs:     100,
	})
	now := time.Unix(0, 0)
	m.Update(now, schedule.RoomMsg{
		Host: "here",
		Room: room(),
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
				fmt.Printf(" %s, come back in %s;", cmd.Outcome.State, cmd.Outcome.RetryAfter)
			}
		}
		fmt.Println()
	}
}

// room is servers that each hold two of the jobs' tasks, and give them back
// within a third of a second.
func room() pool.Capacity {
	size := work.Size{
		CPU:    16000,
		Memory: 1000,
	}
	r := pool.Capacity{
		Total:   servers * size.CPU,
		Flow:    servers * size.CPU * 3,
		Largest: size,
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
		Attempts: 2,
		Stretch:  1.6,
		Slack:    60 * time.Millisecond,
		Arrived:  now,
		Deadline: now.Add(2 * time.Second),
	}
}
