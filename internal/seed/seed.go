// Package seed makes property tests deterministic.
package seed

import "flag"

// Fix sets a fixed seed for the checks of rapid. Test packages call it from their init
// function.
func Fix() { _ = flag.Set("rapid.seed", "20261204") }
