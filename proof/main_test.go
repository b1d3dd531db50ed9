package proof

import (
	"cmp"
	"fmt"
	"os"
	"testing"

	"rosemarywalk/kernel"

	// The test binary is also the host process.
	_ "rosemarywalk/io/plugins"
)

// These make the test binary run as a host, of the standalone edition unless
// another one is named.
const (
	settingsVariable = "ROSEMARYWALK_PROOF_SETTINGS"
	editionVariable  = "ROSEMARYWALK_PROOF_EDITION"
)

func TestMain(m *testing.M) {
	file := os.Getenv(settingsVariable)
	if file == "" {
		os.Exit(m.Run())
	}
	edition := kernel.Edition(cmp.Or(os.Getenv(editionVariable), string(kernel.Standalone)))
	if err := kernel.Run(edition, file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
