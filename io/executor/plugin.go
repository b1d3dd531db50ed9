package executor

import (
	"time"

	"go.uber.org/fx"

	"rosemarywalk/io/local"
	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "executor"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 10,
		Settings: settings.Section{
			Name: section,
			Help: "Connections to backend servers.",
			Keys: []settings.Key{
				{
					Name:    "connections",
					Default: "64",
					Help:    "Total connections that a backend server accepts from all hosts.",
					Kind: settings.Integer{
						Min: 1,
						Max: 65535,
					},
				},
				{
					Name:    "dial",
					Default: "1s",
					Help:    "Timeout for establishing a connection.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "answer",
					Default: "8388608",
					Help:    "Maximum size of a task's answer, in bytes.",
					Kind: settings.Integer{
						Min: 1024,
						Max: 1 << 30,
					},
				},
			},
		},
		Module: fx.Provide(newClient),
	})
}

func newClient(lc fx.Lifecycle, s settings.Settings) *Client {
	// The dispatcher limits sends to this host's share of the connections. The share
	// never exceeds this limit, so the transport itself queues nothing.
	c := New(Limits{
		Connections: s.Integer(section, "connections"),
		Answer:      s.Integer(section, "answer"),
	}, local.Dialer(s, s.Duration(section, "dial")))
	lc.Append(fx.StopHook(c.Close))
	return c
}
