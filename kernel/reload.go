package kernel

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/io/settings"
)

// watchReload checks the settings file on each SIGHUP. No setting changes in a
// running process, so the file is only checked, and the findings are logged.
func watchReload(e Edition, file string) func(lc fx.Lifecycle, log logr.Logger) {
	return func(lc fx.Lifecycle, log logr.Logger) {
		signals := make(chan os.Signal, 1)
		done := make(chan struct{})
		lc.Append(fx.StartStopHook(func() {
			signal.Notify(signals, syscall.SIGHUP)
			go func() {
				for {
					select {
					case <-done:
						return
					case <-signals:
						checkFile(e, file, log)
					}
				}
			}()
		}, func(context.Context) {
			signal.Stop(signals)
			close(done)
		}))
	}
}

func checkFile(e Edition, file string, log logr.Logger) {
	raw, err := os.ReadFile(file)
	if err == nil {
		_, err = settings.Parse(file, raw, Schema(e))
	}
	if err != nil {
		log.Error(err, "reload: settings file is wrong, the running settings stay")
		return
	}
	log.Info("reload: settings file is right; it holds from the next start on")
}
