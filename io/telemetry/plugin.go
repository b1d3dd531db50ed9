package telemetry

import (
	"go.uber.org/fx"

	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "log"

func init() {
	kernel.Register(kernel.Plugin{
		Editions: []kernel.Edition{
			kernel.Standalone,
			kernel.Platform,
		},
		Name:  "telemetry",
		Order: 0,
		Settings: settings.Section{
			Name: section,
			Help: "Logs.",
			Keys: []settings.Key{
				{
					Name:    "format",
					Default: "json",
					Help:    "Format of log lines.",
					Kind:    settings.Choice{Of: []string{"json", "console"}},
				},
				{
					Name:    "output",
					Default: "stderr",
					Help:    "Destination of log lines.",
					Kind:    settings.Choice{Of: []string{"stdout", "stderr"}},
				},
				{
					Name:    "level",
					Default: "info",
					Help:    "Minimum level of the lines that are written.",
					Kind:    settings.Choice{Of: []string{"debug", "info", "error"}},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(NewLogger, NewRegistry, NewCounters, NewLatency),
		),
	})
}
