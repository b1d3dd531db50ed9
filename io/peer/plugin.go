package peer

import (
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

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
					Help:     "Where this host takes links. Its outgoing connections come from the same IP number.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:    "advertise",
					Default: "",
					Help:    "Address that other hosts dial, when it isn't the one above.",
					Kind:    settings.Addresses{},
				},
				{
					Name:    "seeds",
					Default: "",
					Help:    "Peer addresses of other hosts, to find the fleet; separated by commas.",
					Kind:    settings.Addresses{},
				},
				{
					Name:    "dial",
					Default: "1s",
					Help:    "Longest wait for a link.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "silence",
					Default: "3s",
					Help:    "A link that answers nothing for this long, with a call pending, is closed.",
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

func newLinks(lc fx.Lifecycle, s settings.Settings, counters *telemetry.Counters, log logr.Logger) *Links {
	l := New(local.Dialer(s, s.Duration(section, "dial")), s.Duration(section, "silence"), counters, log)
	lc.Append(fx.StopHook(l.Close))
	return l
}

// handlers collects what the plug-ins serve on links.
type handlers struct {
	fx.In

	Handlers []Handler       `group:"handlers"`
	Stalls   *stall.Detector `optional:"true"`
}

func newServer(h handlers, s settings.Settings, counters *telemetry.Counters, log logr.Logger) *Server {
	if h.Stalls == nil {
		h.Stalls = stall.New(0)
	}
	return NewServer(h.Handlers, s.Duration(section, "silence"), h.Stalls, counters, log)
}

func listen(lc fx.Lifecycle, s settings.Settings, handler *Server, log logr.Logger) {
	web := server.New("peer", s.Text(section, "listen"), handler, log)
	lc.Append(fx.StartStopHook(web.Start, func() {
		handler.Close()
		web.Close()
	}))
}
