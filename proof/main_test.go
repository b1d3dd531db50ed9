package proof

import (
	"cmp"
	"fmt"
	"os"
	"testing"

	"rosemarywalk/kernel"

	// Registers the plugins, because the test binary also runs as the host process.
	_ "rosemarywalk/io/plugins"
)

// Environment variables that make the test binary run as a host: the path of its
// settings file, and its edition, standalone by default.
const (
	settingsEnv = "ROSEMARYWALK_PROOF_SETTINGS"
	editionEnv  = "ROSEMARYWALK_PROOF_EDITION"
)

func TestMain(m *testing.M) {
	file := os.Getenv(settingsEnv)
	if file == "" {
		os.Exit(m.Run())
	}
	edition := kernel.Edition(cmp.Or(os.Getenv(editionEnv), string(kernel.Standalone)))
	if err := kernel.Run(edition, file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
