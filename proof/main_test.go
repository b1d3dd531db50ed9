package proof

import (
	"fmt"
	"os"
	"testing"

	"rosemarywalk/kernel"

	// The test binary is also the host process.
	_ "rosemarywalk/io/plugins"
)

// settingsVariable makes the test binary run as a host.
const settingsVariable = "ROSEMARYWALK_PROOF_SETTINGS"

func TestMain(m *testing.M) {
	file := os.Getenv(settingsVariable)
	if file == "" {
		os.Exit(m.Run())
	}
	if err := kernel.Run(kernel.Standalone, file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
