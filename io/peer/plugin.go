package peer

import (
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/io/intake"
	"rosemarywalk/io/late"
	"rosemarywalk/io/local"
	"rosemarywalk/io/server"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/kernel"
)

const section = "peer"

func init() {
	kernel.Register(kernel.Plugin{
		Editions: []kernel.Edition{
			kernel.Standalone,
			kernel.Platform,
		},
		Name:  section,
		Order: 20,
		Settings: settings.Section{
			Name: section,
			Help: "Links between hosts.",
			Keys: []settings.Key{
				{
					Name:     "listen",
					Default:  "127.0.0.1:7100",
					Help:     "Address that accepts links from other hosts. Outgoing connections use the same IP address.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:    "advertise",
					Default: "",
					Help:    "Address that other hosts dial, if it differs from the one above.",
					Kind:    settings.Addresses{},
				},
				{
					Name:    "seeds",
					Default: "",
					Help:    "Comma-separated peer addresses of other hosts, used to discover the fleet.",
					Kind:    settings.Addresses{},
				},
				{
					Name:    "dial",
					Default: "1s",
					Help:    "Timeout for dialing another host.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "silence",
					Default: "3s",
					Help:    "A link that answers no ping for this long while a call is pending is closed.",
					Kind: settings.Duration{
						Min: 100 * time.Millisecond,
						Max: time.Minute,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newLinks, newServer),
			fx.Invoke(listen),
		),
	})
}

// linksParams are the dependencies of the links.
type linksParams struct {
	fx.In

	Meter *late.Meter `optional:"true"`
}

func newLinks(lc fx.Lifecycle, p linksParams, s settings.Settings, counters *telemetry.Counters, log logr.Logger) *Links {
	l := New(local.Dialer(s, s.Duration(section, "dial")), s.Duration(section, "silence"), orUnmeasured(p.Meter), counters, log)
	lc.Append(fx.StopHook(l.Close))
	return l
}

// orUnmeasured returns the meter, or in editions that have none one that measures no delay.
func orUnmeasured(m *late.Meter) *late.Meter {
	if m == nil {
		return late.New()
	}
	return m
}

// serverParams are the dependencies of the server.
type serverParams struct {
	fx.In

	Handlers []Handler       `group:"handlers"`
	Stalls   *stall.Detector `optional:"true"`
	Meter    *late.Meter     `optional:"true"`
}

func newServer(p serverParams, s settings.Settings, counters *telemetry.Counters, log logr.Logger) *Server {
	if p.Stalls == nil {
		p.Stalls = stall.New(0)
	}
	return NewServer(p.Handlers, s.Duration(section, "silence"), p.Stalls, orUnmeasured(p.Meter), counters, log)
}

func listen(lc fx.Lifecycle, s settings.Settings, handler *Server, limits *intake.Intake, log logr.Logger) {
	httpServer := server.New("peer", s.Text(section, "listen"), handler, limits.Peers(), log)
	lc.Append(fx.StartStopHook(httpServer.Start, func() {
		handler.Close()
		httpServer.Close()
	}))
}
