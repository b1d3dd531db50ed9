package ready

import (
	"net/http"
	"sync/atomic"

	"go.uber.org/fx"

	"rosemarywalk/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{
		Editions: []kernel.Edition{
			kernel.Standalone,
			kernel.Platform,
		},
		Name:   "ready",
		Order:  2,
		Module: fx.Provide(New),
	})
}

// Flag records whether the host accepts new callers.
type Flag struct{ stopping atomic.Bool }

// New returns a flag for a host that accepts new callers.
func New() *Flag { return &Flag{} }

// Stop marks the host as stopping; this can't be undone.
func (f *Flag) Stop() { f.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (f *Flag) Stopping() bool { return f.stopping.Load() }

// Readyz is the readiness probe: it answers 200 until a stop begins, then 503.
func (f *Flag) Readyz(w http.ResponseWriter, _ *http.Request) {
	if f.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Livez is the liveness probe: it answers 200 whenever the process can respond.
func (f *Flag) Livez(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n"))
}
