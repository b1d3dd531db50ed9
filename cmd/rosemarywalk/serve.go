package main

import (
	"fmt"
	"runtime/debug"

	"github.com/juju/errors"

	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"

	// Registers all plugins with the kernel.
	_ "rosemarywalk/io/plugins"
)

// serveCmd runs a host.
type serveCmd struct {
	Settings string         `help:"Settings file, in INI." required:"" type:"existingfile" env:"ROSEMARYWALK_SETTINGS"`
	Edition  kernel.Edition `help:"Which program to run: ${enum}." enum:"standalone,platform" default:"standalone"`
}

// Run serves until SIGTERM or an interrupt, then shuts down gracefully.
func (c *serveCmd) Run() error { return kernel.Run(c.Edition, c.Settings) }

// settingsCmd prints an annotated settings file with the defaults.
type settingsCmd struct {
	Edition kernel.Edition `help:"Whose settings to print: ${enum}." enum:"standalone,platform" default:"standalone"`
}

// Run prints every key with its description and default.
func (c *settingsCmd) Run() error {
	fmt.Print(settings.AnnotatedDefaults(kernel.Schema(c.Edition)))
	return nil
}

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
