package memory

import (
	"runtime/debug"

	"go.uber.org/fx"
	"golang.org/x/sys/unix"

	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "memory"

// mebibyte is the unit of the host setting.
const mebibyte = 1 << 20

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 0,
		Editions: []kernel.Edition{
			kernel.Standalone,
			kernel.Platform,
		},
		Settings: settings.Section{
			Name: section,
			Help: "Garbage collection and memory limit of the process.",
			Keys: []settings.Key{
				{
					Name:    "growth",
					Default: "400",
					Help:    "Heap growth between garbage collections, in percent of the live heap, if the memory is set; higher values use more memory and less processor time.",
					Kind: settings.Integer{
						Min: 10,
						Max: 10000,
					},
				},
				{
					Name:    "host",
					Default: "0",
					Help:    "Memory available to the process, in megabytes; garbage collection aims to keep the process below half of it. 0 is the memory of the machine, without a limit for garbage collection.",
					Kind: settings.Integer{
						Min: 0,
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
	host := s.Integer(section, "host")
	if host == 0 {
		return
	}
	debug.SetGCPercent(s.Integer(section, "growth"))
	debug.SetMemoryLimit(int64(host) * mebibyte / half)
}

// Available returns the memory available to the process, in bytes; 0 if it isn't known.
func Available(s settings.Settings) int64 {
	if host := s.Integer(section, "host"); host > 0 {
		return int64(host) * mebibyte
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
