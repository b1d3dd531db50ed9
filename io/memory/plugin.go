package memory

import (
	"runtime/debug"

	"go.uber.org/fx"

	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "memory"

// mebibyte is the unit of the host setting.
const mebibyte = 1 << 20

func init() {
	kernel.Register(kernel.Plugin{
		Name:     section,
		Order:    0,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: section,
			Help: "Garbage collection and memory limit of the process.",
			Keys: []settings.Key{
				{
					Name:    "growth",
					Default: "400",
					Help:    "Heap growth between garbage collections, in percent of the live heap; higher values use more memory and less processor time.",
					Kind: settings.Integer{
						Min: 10,
						Max: 10000,
					},
				},
				{
					Name:    "host",
					Default: "284",
					Help:    "Memory available to the process, in megabytes; garbage collection aims to keep the process below half of it.",
					Kind: settings.Integer{
						Min: 16,
						Max: 1_000_000,
					},
				},
			},
		},
		Module: fx.Invoke(setLimits),
	})
}

// setLimits sets the garbage collector's limits. Half of the memory is left to the
// operating system's kernel for buffers that it holds on behalf of the process.
func setLimits(s settings.Settings) {
	const half = 2
	debug.SetGCPercent(s.Integer(section, "growth"))
	debug.SetMemoryLimit(int64(s.Integer(section, "host")) * mebibyte / half)
}
