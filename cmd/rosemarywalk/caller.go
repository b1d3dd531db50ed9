package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"rosemarywalk/io/client"
)

// callerFlags are common to the callers' commands.
type callerFlags struct {
	Host string `help:"Callers' URL of any host." default:"http://127.0.0.1:7000"`
}

func (f callerFlags) client() *client.Client { return client.New(f.Host, nil) }

// submitCmd submits a job.
type submitCmd struct {
	callerFlags
	File   string `arg:"" help:"JSON file of the job, or - for standard input."`
	Ticket string `help:"Ticket to submit under; a fresh one is fetched when empty."`
}

// Run submits and prints the answer; an unknown outcome prints the ticket to try again.
func (c *submitCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	host := c.client()
	ticket := c.Ticket
	if ticket == "" {
		if ticket, err = host.Ticket(context.Background()); err != nil {
			return errors.Annotate(err, "nothing was submitted")
		}
	}
	fmt.Fprintln(os.Stderr, "ticket", ticket)
	outcome, err := host.SubmitRaw(context.Background(), ticket, raw)
	if err != nil {
		return err
	}
	return report(outcome)
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(os.Stdin)
		return raw, errors.Annotate(err, "read standard input")
	}
	raw, err := os.ReadFile(name)
	return raw, errors.Annotate(err, "read file")
}

// report prints an outcome; one that isn't complete is an error.
func report(o client.Outcome) error {
	raw, err := json.MarshalIndent(o, "", "  ")
	if err != nil {
		return errors.Annotate(err, "print outcome")
	}
	fmt.Println(string(raw))
	if !o.Complete() {
		return errors.Errorf("job is %s: ran %q, reason %q", o.State, o.Ran, o.Reason)
	}
	return nil
}

// lookCmd looks at a job.
type lookCmd struct {
	callerFlags
	Ticket  string `arg:"" help:"Ticket of the job."`
	Timeout int    `help:"Longest wait for the outcome, in milliseconds." default:"0"`
}

// Run prints the outcome.
func (c *lookCmd) Run() error {
	outcome, err := c.client().Look(context.Background(), c.Ticket, c.Timeout)
	if err != nil {
		return err
	}
	return report(outcome)
}

// cancelCmd cancels a job.
type cancelCmd struct {
	callerFlags
	Ticket string `arg:"" help:"Ticket of the job."`
}

// Run cancels and prints what the job came to.
func (c *cancelCmd) Run() error {
	outcome, err := c.client().Cancel(context.Background(), c.Ticket)
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(outcome, "", "  ")
	if err != nil {
		return errors.Annotate(err, "print outcome")
	}
	fmt.Println(string(raw))
	return nil
}

// explainCmd explains a job.
type explainCmd struct {
	callerFlags
	Ticket string `arg:"" help:"Ticket of the job."`
}

// explained is the record of a job.
type explained struct {
	State   string         `json:"state"`
	Dropped int            `json:"dropped"`
	Events  []explainEvent `json:"events"`
}

type explainEvent struct {
	At     string `json:"at"`
	Step   string `json:"step"`
	Task   int    `json:"task"`
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// Run prints one event a line.
func (c *explainCmd) Run() error {
	raw, err := c.client().Explain(context.Background(), c.Ticket)
	if err != nil {
		return err
	}
	var record explained
	if err := json.Unmarshal(raw, &record); err != nil {
		return errors.Annotate(err, "read record")
	}
	if record.State != "" {
		return errors.Errorf("no record of this ticket: %s", record.State)
	}
	for _, e := range record.Events {
		task := "job"
		if e.Task >= 0 {
			task = fmt.Sprintf("task %d", e.Task)
		}
		fmt.Printf("%-35s %-9s %-10s %-21s %s\n", e.At, task, e.Step, e.Server, e.Reason)
	}
	if record.Dropped > 0 {
		fmt.Println(record.Dropped, "events are beyond the record's bound")
	}
	return nil
}
