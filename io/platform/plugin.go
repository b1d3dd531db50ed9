package platform

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/local"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/redial"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/kernel"
)

const section = "platform"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 40,
		Settings: settings.Section{
			Name: section,
			Help: "The platform's table, object store and host list.",
			Keys: []settings.Key{
				{
					Name:     "url",
					Default:  "http://127.0.0.1:7900",
					Help:     "Base URL of the platform.",
					Required: true,
					Kind:     settings.URL{},
				},
				{
					Name:    "timeout",
					Default: "2s",
					Help:    "Timeout for a request.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "poll",
					Default: "1s",
					Help:    "Time between reads of the host list.",
					Kind: settings.Duration{
						Min: 50 * time.Millisecond,
						Max: 2 * time.Second,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(
				newClient,
				func(d *dispatch.Dispatcher, c *telemetry.Counters) *Directory { return NewDirectory(d, c.Evacuated) },
			),
			fx.Invoke(startPolling),
		),
	})
}

// connections is the pool of connections to the platform's service that limits new ones.
const connections = 8

func newClient(s settings.Settings, counters *telemetry.Counters) *Client {
	timeout := s.Duration(section, "timeout")
	dial := redial.ForPool(connections).Dial(local.Dialer(s, timeout).DialContext, counters.StoreConnected)
	return New(s.Text(section, "url"), timeout, dial, counters.StoreCalled)
}

// poller reads the host list periodically.
type poller struct {
	client    *Client
	directory *Directory
	interval  time.Duration
	counters  *telemetry.Counters
	log       logr.Logger
	failing   bool
}

func startPolling(lc fx.Lifecycle, s settings.Settings, c *Client, d *Directory, counters *telemetry.Counters, log logr.Logger) {
	p := &poller{
		client:    c,
		directory: d,
		interval:  s.Duration(section, "poll"),
		counters:  counters,
		log:       log.WithName(section),
	}
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, p.interval, p.poll)
	})
}

func (p *poller) poll(ctx context.Context) {
	p.counters.Messages("listpoll", 1)
	listing, changed, err := p.client.Hosts(ctx, p.directory.Revision())
	if ctx.Err() != nil {
		return
	}
	if failing := err != nil; failing != p.failing {
		p.failing = failing
		p.log.Info("host list availability changed", "reachable", !failing)
	}
	if changed && p.directory.Update(listing) {
		p.log.Info("host list changed", "revision", listing.Revision, "hosts", len(listing.Hosts), "evacuated", listing.Evacuated)
	}
}
