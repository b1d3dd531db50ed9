package memory

import (
	"runtime/debug"

	"go.uber.org/fx"

	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "memory"

// mebibyte is the unit of the limit.
const mebibyte = 1 << 20

func init() {
	kernel.Register(kernel.Plugin{
		Name:     section,
		Order:    0,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: section,
			Help: "Memory of the process.",
			Keys: []settings.Key{
				{
					Name:    "growth",
					Default: "400",
					Help:    "How far the heap grows between collections, in percent of what is in use; more costs memory and saves processor time.",
					Kind: settings.Integer{
						Min: 10,
						Max: 10000,
					},
				},
				{
					Name:    "host",
					Default: "284",
					Help:    "Megabytes that the host gives a process; collections keep the process below its half.",
					Kind: settings.Integer{
						Min: 16,
						Max: 1_000_000,
					},
				},
			},
		},
		Module: fx.Invoke(bound),
	})
}

// bound sets the limits; half of the host's memory is left for what the
// kernel holds for the process.
func bound(s settings.Settings) {
	const half = 2
	debug.SetGCPercent(s.Integer(section, "growth"))
	debug.SetMemoryLimit(int64(s.Integer(section, "host")) * mebibyte / half)
}
