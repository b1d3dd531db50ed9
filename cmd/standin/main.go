// Command standin runs simulated external systems, a load generator and experiments.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli defines the subcommands.
type cli struct {
	Platform platformCmd `cmd:"" help:"Run a platform: table, object store and host list."`
	Server   serverCmd   `cmd:"" help:"Run backend servers of a service."`
	Load     loadCmd     `cmd:"" help:"Send open-loop jobs to hosts and print response time over the ideal."`

	Experiment experimentCmd `cmd:"" help:"Run hosts against stand-ins for each variant of a file, and print a table."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c,
		kong.Name("standin"),
		kong.Description("Simulated external systems for rosemarywalk, and a load generator."),
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}

// waitForSignal blocks until SIGINT or SIGTERM.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}
