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

// Flag says whether the host wants new callers.
type Flag struct{ stopping atomic.Bool }

// New returns a flag that says yes.
func New() *Flag { return &Flag{} }

// Stop turns the flag for good.
func (f *Flag) Stop() { f.stopping.Store(true) }

// Stopping reports whether a stop began.
func (f *Flag) Stopping() bool { return f.stopping.Load() }

// Readyz answers 200 until a stop begins, then 503.
func (f *Flag) Readyz(w http.ResponseWriter, _ *http.Request) {
	if f.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Livez answers 200 while the process can answer at all.
func (f *Flag) Livez(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n"))
}
