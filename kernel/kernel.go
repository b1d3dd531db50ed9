package kernel

import (
	"cmp"
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"rosemarywalk/io/settings"
)

// Plugin is a component of the process.
type Plugin struct {
	Name     string
	Order    int       // start order, lowest first; plug-ins stop in reverse order
	Editions []Edition // editions that include the plug-in; standalone only if empty
	Settings settings.Section
	Module   fx.Option
}

// registry holds the registered plug-ins.
type registry struct {
	mu      sync.Mutex
	plugins []Plugin
}

var plugins registry

// Register adds a plug-in. Packages call it from their init function.
func Register(p Plugin) {
	plugins.mu.Lock()
	defer plugins.mu.Unlock()
	plugins.plugins = append(plugins.plugins, p)
}

// Plugins returns the registered plug-ins of an edition in start order.
func Plugins(e Edition) []Plugin {
	plugins.mu.Lock()
	defer plugins.mu.Unlock()
	sorted := slices.DeleteFunc(slices.Clone(plugins.plugins), func(p Plugin) bool { return !p.includedIn(e) })
	slices.SortStableFunc(sorted, func(a, b Plugin) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// Schema returns the settings sections of an edition's plug-ins.
func Schema(e Edition) []settings.Section {
	var schema []settings.Section
	for _, p := range Plugins(e) {
		if p.Settings.Name != "" {
			schema = append(schema, p.Settings)
		}
	}
	return schema
}

// stopMargin is the time added to the drain limit to stop the other plug-ins.
const stopMargin = 30 * time.Second

// New returns an application that consists of an edition's plug-ins and any additional
// options.
func New(e Edition, s settings.Settings, extra ...fx.Option) *fx.App {
	options := []fx.Option{
		fx.Supply(s),
		fx.StopTimeout(s.Duration("drain", "limit") + stopMargin),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	}
	for _, p := range Plugins(e) {
		options = append(options, fx.Module(p.Name, p.Module))
	}
	return fx.New(append(options, extra...)...)
}

// Run loads a settings file and runs the process until a signal stops it.
func Run(e Edition, file string) error {
	reloads := catchReloads()
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	s, err := settings.Parse(file, raw, Schema(e))
	if err != nil {
		return err
	}
	return serve(New(e, s, fx.Invoke(watchReload(e, file, reloads))))
}

func serve(app *fx.App) error {
	if err := app.Err(); err != nil {
		return errors.Annotate(err, "build host")
	}
	// Signals must be caught before the start: an uncaught one would kill a process that
	// has already accepted requests.
	stopped := app.Wait()
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return errors.Annotate(err, "start host")
	}
	<-stopped
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return errors.Annotate(app.Stop(stop), "stop host")
}
