package experiment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/server"
)

// injectFaults applies the plan's faults at their times, in the background. The
// returned function stops it and waits until it has ended.
func (f *fleet) injectFaults(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		begin := time.Now()
		for _, fault := range f.plan.Faults {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(begin.Add(fault.At))):
				f.applyFault(fault.Action)
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// applyFault applies one of "servers A-B MODE", "servers A-B slow FACTOR",
// "platform down", "platform up" and "host N kill". It ignores anything else.
func (f *fleet) applyFault(what string) {
	var first, last, n int
	var mode string
	var slow float64
	switch {
	case scan(what, "servers %d-%d slow %g", &first, &last, &slow):
		f.setBehavior(first, last, server.Behavior{
			Mode: server.ModeOK,
			Slow: slow,
		})
	case scan(what, "servers %d-%d %s", &first, &last, &mode):
		f.setBehavior(first, last, server.Behavior{Mode: mode})
	case scan(what, "host %d kill", &n):
		_ = f.processes[n].Process.Signal(syscall.SIGKILL)
	case what == "platform down":
		f.platform.SetFaults(platform.Faults{Down: true})
	case what == "platform up":
		f.platform.SetFaults(platform.Faults{})
	}
}

func scan(what, format string, into ...any) bool {
	n, err := fmt.Sscanf(what, format, into...)
	return err == nil && n == len(into)
}

func (f *fleet) setBehavior(first, last int, b server.Behavior) {
	for i := first; i <= last && i < len(f.servers); i++ {
		f.servers[i].SetBehavior(b)
	}
}
