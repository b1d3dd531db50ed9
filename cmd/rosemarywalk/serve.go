package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"

	// Each of these registers itself with the kernel.
	_ "rosemarywalk/io/plugins"
)

// serveCmd runs a host.
type serveCmd struct {
	Settings string `help:"Settings file, in INI." required:"" type:"existingfile"`
}

// Run serves until a signal, then stops as planned.
func (c *serveCmd) Run() error {
	raw, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	s, err := settings.Parse(c.Settings, raw, kernel.Schema())
	if err != nil {
		return err
	}
	return serve(kernel.New(s))
}

func serve(app *fx.App) error {
	if err := app.Err(); err != nil {
		return errors.Annotate(err, "build host")
	}
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return errors.Annotate(err, "start host")
	}
	<-app.Wait()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return errors.Annotate(app.Stop(stop), "stop host")
}

// settingsCmd prints the defaults.
type settingsCmd struct{}

// Run prints every key with its default.
func (c *settingsCmd) Run() error {
	fmt.Print(settings.Annotated(kernel.Schema()))
	return nil
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the module's version and the Go version it was built with.
func (c *versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this binary has no build information")
	}
	fmt.Println("rosemarywalk", info.Main.Version, info.GoVersion)
	return nil
}
