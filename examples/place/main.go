// Command place drives the placement model directly, without network or clock.
//
//	go run ./examples/place
package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarywalk/core/health"
	"rosemarywalk/core/place"
	"rosemarywalk/core/queue"
	"rosemarywalk/core/ticket"
)

func main() {
	limits := place.Limits{
		MaxWaiting: 100,
		Health:     health.Limits{FailureThreshold: 3},
	}
	m := place.New(place.Window{
		Factor:         1,
		MinOutstanding: 1,
	}, limits, rand.New(rand.NewPCG(1, 1)))
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

	// Update applies a message to the model and returns the commands to execute.
	m.Update(now, place.ServersMsg{Servers: []place.Server{
		server("makati-1"),
		server("quezon-1"),
	}})
	cmds := m.Update(now, place.EnqueueMsg{
		Job: queue.Job{
			ID:      ticket.ID{Sequence: 1},
			Team:    "guild",
			Tasks:   6,
			Arrived: now,
		},
		Deadline: now.Add(time.Minute),
	})
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case place.AcceptCmd:
			fmt.Println("accepted")
		case place.StartCmd:
			fmt.Println("start task", cmd.Ref.Index, "at", cmd.Server)
		}
	}
	fmt.Println(m.Waiting(), "tasks waiting")
}

func server(id string) place.Server {
	return place.Server{
		ID:          id,
		Address:     "127.0.0.1:8000",
		Slots:       2,
		Connections: 64,
	}
}
