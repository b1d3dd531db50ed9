// Command rosemarywalk runs a host of the dispatcher, and provides the command line
// for callers and operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// errInput marks errors of the files that a command was given to read or write.
const errInput = errors.ConstError("unusable file")

// cli defines the subcommands.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run an entry host until it is told to stop (SIGTERM)."`
	Demo     demoCmd     `cmd:"" help:"Run a job on hosts and stand-ins inside this process, and print what happened."`
	Submit   submitCmd   `cmd:"" help:"Submit a job from a JSON file and print its answer."`
	Look     lookCmd     `cmd:"" help:"Print the outcome of a ticket's job."`
	Cancel   cancelCmd   `cmd:"" help:"Cancel a ticket's job."`
	Explain  explainCmd  `cmd:"" help:"Print what became of a ticket's job, task by task."`
	Hosts    hostsCmd    `cmd:"" help:"List the hosts that are alive, with their load."`
	Evacuate evacuateCmd `cmd:"" help:"Request that nothing new be sent to the backend servers of a failure domain, or take the request back."`
	Report   reportCmd   `cmd:"" help:"Print what callers got, by cause, kind of job, failure domain and time, from the logs of hosts."`
	Runs     runsCmd     `cmd:"" help:"Find tasks that may have run twice at once in the logs of hosts, and print the timelines of their jobs. Exits with 1 if there are any."`
	Config   configCmd   `cmd:"" help:"Check, book and read back the configuration document."`
	Settings settingsCmd `cmd:"" help:"Print a settings file with every key, its meaning and its default."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

func main() { os.Exit(run(os.Args[1:])) }

// run parses and executes a command line, and returns the exit code.
func run(args []string) int {
	var c cli
	parser, err := kong.New(&c,
		kong.Name("rosemarywalk"),
		kong.Description("A dispatcher for sub-second tasks. Exit codes: 0 success, 1 failure, 2 usage error."),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rosemarywalk:", err)
		fmt.Fprintln(os.Stderr, "Run rosemarywalk --help for the commands.")
		return exitUsage
	}
	err = ctx.Run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return exitCode(err)
}

// exitCode returns the exit code of a command that returned an error, or nil.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errInput):
		return exitUsage
	}
	return exitFailure
}
