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

// callerFlags are the flags of all commands that call the caller interface.
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

// Run submits the job and prints the outcome. It prints the ticket first, so that the
// submission can be repeated if the outcome is unknown.
func (c *submitCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	host := c.client()
	ticket := c.Ticket
	if ticket == "" {
		if ticket, err = host.Ticket(context.Background()); err != nil {
			return errors.Annotate(err, "fetch ticket, job not submitted")
		}
	}
	fmt.Fprintln(os.Stderr, "ticket", ticket)
	outcome, err := host.SubmitRaw(context.Background(), ticket, raw)
	if err != nil {
		return err
	}
	return printOutcome(outcome)
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(os.Stdin)
		return raw, errors.Annotate(err, "read standard input")
	}
	raw, err := os.ReadFile(name)
	return raw, errors.Annotate(err, "read file")
}

// printOutcome prints an outcome, and returns an error if the job didn't complete.
func printOutcome(o client.Outcome) error {
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

// lookCmd prints the outcome of a job.
type lookCmd struct {
	callerFlags
	Ticket  string `arg:"" help:"Ticket of the job."`
	Timeout int    `help:"Longest wait for the outcome, in milliseconds." default:"0"`
}

// Run waits up to the timeout for the outcome and prints it.
func (c *lookCmd) Run() error {
	outcome, err := c.client().Lookup(context.Background(), c.Ticket, c.Timeout)
	if err != nil {
		return err
	}
	return printOutcome(outcome)
}

// cancelCmd cancels a job.
type cancelCmd struct {
	callerFlags
	Ticket string `arg:"" help:"Ticket of the job."`
}

// Run cancels the job and prints its outcome.
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

// explainCmd prints the recorded events of a job.
type explainCmd struct {
	callerFlags
	Ticket string `arg:"" help:"Ticket of the job."`
}

// jobRecord is the record of a job's events.
type jobRecord struct {
	State   string     `json:"state"`
	Dropped int        `json:"dropped"`
	Events  []jobEvent `json:"events"`
}

type jobEvent struct {
	At     string `json:"at"`
	Step   string `json:"step"`
	Task   int    `json:"task"`
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// Run prints one event per line.
func (c *explainCmd) Run() error {
	raw, err := c.client().Explain(context.Background(), c.Ticket)
	if err != nil {
		return err
	}
	var record jobRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return errors.Annotate(err, "decode job record")
	}
	if record.State != "" {
		return errors.Errorf("no record for this ticket: state %s", record.State)
	}
	for _, e := range record.Events {
		task := "job"
		if e.Task >= 0 {
			task = fmt.Sprintf("task %d", e.Task)
		}
		fmt.Printf("%-35s %-9s %-10s %-21s %s\n", e.At, task, e.Step, e.Server, e.Reason)
	}
	if record.Dropped > 0 {
		fmt.Println(record.Dropped, "events were dropped because the record is full")
	}
	return nil
}
