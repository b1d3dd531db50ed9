// Package seed makes property tests draw the same values on every run.
package seed

import "flag"

// Fix sets the seed of rapid's checks; test packages call it from init.
func Fix() { _ = flag.Set("rapid.seed", "20261204") }
