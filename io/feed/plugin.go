package feed

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	coremember "rosemarywalk/core/member"
	"rosemarywalk/io/config"
	"rosemarywalk/io/local"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/member"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/kernel"
)

const section = "feed"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 60,
		Settings: settings.Section{
			Name: section,
			Help: "Polling of configuration changes from the table.",
			Keys: []settings.Key{
				{
					Name:    "pause",
					Default: "2s",
					Help:    "Interval between polls.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: 5 * time.Second,
					},
				},
				{
					Name:    "wait",
					Default: "10s",
					Help:    "Maximum time that the table delays an empty response (long polling); 0s selects short polling.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
			},
		},
		Module: fx.Invoke(run),
	})
}

// Fleet provides the live hosts.
type Fleet interface {
	Live() []coremember.Host
}

// reader polls the feed while this host is the reader of its failure domain.
type reader struct {
	table    config.Table
	store    *config.Store
	fleet    Fleet
	address  string
	domain   string
	pause    time.Duration
	wait     time.Duration
	counters *telemetry.Counters
	log      logr.Logger
}

func run(lc fx.Lifecycle, s settings.Settings, c *platform.Client, store *config.Store, fleet *member.Fleet, counters *telemetry.Counters, log logr.Logger) {
	r := &reader{
		table:    c,
		store:    store,
		fleet:    fleet,
		address:  local.PeerAddress(s),
		domain:   s.Text("host", "domain"),
		pause:    s.Duration(section, "pause"),
		wait:     s.Duration(section, "wait"),
		counters: counters,
		log:      log.WithName(section),
	}
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, r.pause, r.poll)
	})
}

// isReader reports whether this host has the lowest address of the live hosts in its
// failure domain. Hosts with different views may poll at the same time, which costs
// only additional messages.
func (r *reader) isReader() bool {
	for _, h := range r.fleet.Live() {
		if h.Domain == r.domain && h.Address < r.address {
			return false
		}
	}
	return true
}

// poll polls the feed if this host is the reader.
func (r *reader) poll(ctx context.Context) {
	if !r.isReader() {
		return
	}
	r.counters.Messages("feedpoll", 1)
	feed, err := r.table.Changes(ctx, config.Prefix, r.store.Revision(), r.wait)
	if err != nil {
		r.log.V(1).Info("configuration feed request failed", "error", err.Error())
		return
	}
	r.store.MergeFeed(feed)
}
