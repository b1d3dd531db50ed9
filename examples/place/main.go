// Command place drives one decision part by hand: no network, no clock.
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
		Health:     health.Limits{Failures: 3},
	}
	m := place.New(place.Window{
		Factor: 1,
		Least:  1,
	}, limits, rand.New(rand.NewPCG(1, 1)))
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

	// A message changes the state; commands say what to do about it.
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
	fmt.Println(m.Waiting(), "tasks wait")
}

func server(id string) place.Server {
	return place.Server{
		ID:          id,
		Address:     "127.0.0.1:8000",
		Slots:       2,
		Connections: 64,
	}
}
