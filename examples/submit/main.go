// Command submit sends one job to a host and prints its answers.
//
//	go run ./examples/submit http://127.0.0.1:7000
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"rosemarywalk/io/client"
)

func main() {
	base := "http://127.0.0.1:7000"
	if len(os.Args) > 1 {
		base = os.Args[1]
	}
	ctx := context.Background()
	host := client.New(base, nil).WithService("valuation")

	// Fetch a ticket first: submissions with the same ticket can be repeated safely.
	ticket, err := host.Ticket(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	job := client.Job{
		Service: "valuation",
		Tasks: []client.Task{
			{Body: json.RawMessage(`{"run": 50}`)},
			{Body: json.RawMessage(`{"run": 80}`)},
		},
	}
	outcome, err := host.Submit(ctx, ticket, job)
	if err != nil {
		// The outcome is unknown. Submitting again with the same ticket is safe at any host.
		fmt.Fprintln(os.Stderr, err, ticket)
		os.Exit(1)
	}
	fmt.Println(outcome.State, outcome.Reason)
	for _, answer := range outcome.Answers {
		fmt.Println(string(answer))
	}
}
