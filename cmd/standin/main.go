// Command standin holds the stand-ins for outside systems and the load tool.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli is the command line.
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
		kong.Description("Stand-ins for the systems that rosemarywalk talks to, and a load tool."),
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}

// untilSignal waits for an interrupt or a termination signal.
func untilSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}
