package kernel

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/io/loop"
	"rosemarywalk/io/settings"
)

// catchReloads returns a channel that receives SIGHUP. The signal is caught until the
// process ends, as an uncaught one would kill it in the middle of a planned stop.
func catchReloads() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}

// watchReload validates the settings file on each SIGHUP and logs the findings. The file
// is not applied, as the settings of a running process never change.
func watchReload(e Edition, file string, reloads <-chan os.Signal) func(lc fx.Lifecycle, log logr.Logger) {
	return func(lc fx.Lifecycle, log logr.Logger) {
		loop.Append(lc, func(ctx context.Context) {
			for {
				select {
				case <-ctx.Done():
					return
				case <-reloads:
					checkFile(e, file, log)
				}
			}
		})
	}
}

func checkFile(e Edition, file string, log logr.Logger) {
	raw, err := os.ReadFile(file)
	if err == nil {
		_, err = settings.Parse(file, raw, Schema(e))
	}
	if err != nil {
		log.Error(err, "reload: settings file is invalid; running settings unchanged")
		return
	}
	log.Info("reload: settings file is valid; it takes effect at the next start")
}
