package scheduler

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/core/health"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/route"
	"rosemarywalk/core/schedule"
	"rosemarywalk/io/local"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/kernel"
)

const (
	section     = "schedule"
	sectionPool = "pool"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:     sectionPool,
		Order:    50,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: sectionPool,
			Help: "Backend servers that this host holds.",
			Keys: []settings.Key{
				duration("lease", "900ms", "Length of the leases asked for; at most what backend servers grant.", 100*time.Millisecond, time.Minute),
				duration("answer", "80ms", "Wait for the answer to an order before it is sent again.", time.Millisecond, 10*time.Second),
				duration("hedge", "25ms", "Wait for the answer to a start before it is sent once more beside the first.", time.Millisecond, 10*time.Second),
				duration("wait", "150ms", "Wait of a look at a backend server for the end of a run.", 0, 2*time.Second),
				duration("quick", "30ms", "The same while an end is overdue or answers get lost.", 0, 2*time.Second),
				duration("confirm", "400ms", "Silence of a backend server's failure domain, after the server was reached, before it is taken over from outside.", 0, time.Minute),
				duration("retake", "1s", "Pause before a backend server that another host took is taken back.", 0, time.Minute),
				duration("give", "500ms", "Time after which a start without an answer is given up.", 0, time.Minute),
				duration("probe", "200ms", "Pause between looks at a backend server that doesn't answer.", time.Millisecond, time.Minute),
				duration("margin", "60ms", "Added to a predicted run time before a run counts as slow.", 0, time.Minute),
				duration("backoff", "1s", "First time that a failing backend server gets no work; it doubles.", 0, time.Minute),
				duration("backoffmax", "4s", "Longest such time.", 0, time.Hour),
				number("slow", "3", "Run time, by its prediction, from which a run is moved to another backend server.", 1, 1000),
				number("learn", "0.3", "Part of a new run time in a backend server's average.", 0.01, 1),
				number("last", "1.8", "Average run time, by its prediction, from which a backend server is used last.", 1, 1000),
				{
					Name:    "failures",
					Default: "2",
					Help:    "Failures in a row after which a backend server gets no work for a while.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1000,
					},
				},
			},
		},
		Module: fx.Options(),
	})
	kernel.Register(kernel.Plugin{
		Name:     section,
		Order:    60,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: section,
			Help: "Jobs that this host coordinates.",
			Keys: []settings.Key{
				duration("settle", "60ms", "Time after the start in which hosts find each other before backend servers are taken over.", 0, time.Minute),
				duration("complete", "300ms", "The same while a host of the failure domain that the store shows alive isn't heard.", 0, time.Minute),
				duration("reattach", "300ms", "Time that work for a host whose link broke goes on, so that the host can attach to it again.", 0, time.Second),
				duration("stall", "500ms", "Time without any decision after which jobs that other hosts took are given up, as they may run elsewhere.", 100*time.Millisecond, time.Minute),
				duration("tick", "10ms", "Time between checks for what is overdue.", time.Millisecond, time.Second),
				duration("tell", "25ms", "Least time between messages about free room to a home that has little itself.", time.Millisecond, time.Second),
				duration("telllater", "200ms", "The same to any other home.", time.Millisecond, time.Minute),
				duration("tellagain", "500ms", "Time after which a home is told of free room again though nothing changed.", time.Millisecond, time.Minute),
				duration("stale", "2s", "Age from which another host's free room is forgotten; 0 keeps it.", 0, time.Hour),
				duration("bounce", "5ms", "Pause before a task that found no room is tried again.", 0, time.Second),
				duration("remember", "5s", "Time that outcomes are kept for submissions that come again.", 0, time.Hour),
				number("admit", "1.5", "Expected wait of a job that arrives, as part of its slack, up to which it is admitted at once.", 0, 100),
				number("hopeless", "8", "Expected wait of a job that arrives, as part of its slack, from which it is refused at once.", 0, 100),
				number("overdue", "1", "Expected start of an admitted job that has not begun, as part of its slack, from which it waits behind those that can be in time.", 0, 100),
				number("useful", "3", "Latency, in objectives, up to which a late answer is of use to callers.", 1, 1000),
				number("hope", "0.7", "Part of the time left for a late answer that the expected wait may take before the job is refused.", 0, 100),
				number("spare", "0.1", "Part of all room that must be free before a late job begins.", 0, 1),
				duration("patience", "10ms", "Time that a job which can't start in time gets to find room for all of its tasks after all.", 0, time.Minute),
				{
					Name:    "jobs",
					Default: "5000",
					Help:    "Most jobs of one service at once.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1_000_000,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newScheduler, newHandlers, newDetector),
			fx.Invoke(run),
		),
	})
}

func duration(name, value, help string, least, most time.Duration) settings.Key {
	return settings.Key{
		Name:    name,
		Default: value,
		Help:    help,
		Kind: settings.Duration{
			Min: least,
			Max: most,
		},
	}
}

func number(name, value, help string, least, most float64) settings.Key {
	return settings.Key{
		Name:    name,
		Default: value,
		Help:    help,
		Kind: settings.Number{
			Min: least,
			Max: most,
		},
	}
}

// needs is what the plug-in takes from others.
type needs struct {
	fx.In

	Settings settings.Settings
	Servers  Servers
	Links    *peer.Links
	Roster   *roster.Roster
	Stalls   *stall.Detector
	Counters *telemetry.Counters
	Log      logr.Logger
}

func newDetector(s settings.Settings) *stall.Detector {
	return stall.New(s.Duration(section, "stall"))
}

func newScheduler(n needs) *Scheduler {
	s := n.Settings
	return New(Parts{
		Self:     local.PeerAddress(s),
		Servers:  n.Servers,
		Peers:    n.Links,
		Roster:   n.Roster,
		Pool:     poolLimits(s),
		Jobs:     jobLimits(s),
		Answer:   s.Duration(sectionPool, "answer"),
		Settle:   s.Duration(section, "settle"),
		Complete: s.Duration(section, "complete"),
		Reattach: s.Duration(section, "reattach"),
		Stall:    s.Duration(section, "stall"),
		Stalls:   n.Stalls,
		Tell: schedule.TellLimits{
			Soon:  s.Duration(section, "tell"),
			Later: s.Duration(section, "telllater"),
			Again: s.Duration(section, "tellagain"),
		},
		Counters: n.Counters,
		Log:      n.Log,
	})
}

func poolLimits(s settings.Settings) pool.Limits {
	return pool.Limits{
		Lease:         s.Duration(sectionPool, "lease"),
		AnswerTimeout: s.Duration(sectionPool, "answer"),
		Hedge:         s.Duration(sectionPool, "hedge"),
		PollWait:      s.Duration(sectionPool, "wait"),
		Quick:         s.Duration(sectionPool, "quick"),
		Confirm:       s.Duration(sectionPool, "confirm"),
		Retake:        s.Duration(sectionPool, "retake"),
		Give:          s.Duration(sectionPool, "give"),
		Probe:         s.Duration(sectionPool, "probe"),
		Margin:        s.Duration(sectionPool, "margin"),
		Slow:          s.Number(sectionPool, "slow"),
		Health: health.Limits{
			Failures: s.Integer(sectionPool, "failures"),
			Backoff:  s.Duration(sectionPool, "backoff"),
			Most:     s.Duration(sectionPool, "backoffmax"),
		},
		Pace:    s.Number(sectionPool, "learn"),
		PaceMax: s.Number(sectionPool, "last"),
	}
}

func jobLimits(s settings.Settings) schedule.Limits {
	return schedule.Limits{
		Admit:    s.Number(section, "admit"),
		Hopeless: s.Number(section, "hopeless"),
		Overdue:  s.Number(section, "overdue"),
		Useful:   s.Number(section, "useful"),
		Hope:     s.Number(section, "hope"),
		Spare:    s.Number(section, "spare"),
		Patience: s.Duration(section, "patience"),
		Bounce:   s.Duration(section, "bounce"),
		Stale:    s.Duration(section, "stale"),
		Remember: s.Duration(section, "remember"),
		MaxJobs:  s.Integer(section, "jobs"),
	}
}

// served is what the plug-in serves on peer links.
type served struct {
	fx.Out

	Submit peer.Handler `group:"handlers"`
	Lend   peer.Handler `group:"handlers"`
	Halt   peer.Handler `group:"handlers"`
	Room   peer.Handler `group:"handlers"`
	Find   peer.Handler `group:"handlers"`
}

func newHandlers(s *Scheduler) served {
	return served{
		Submit: peer.Handler{
			Part:  peer.PartSubmit,
			Serve: s.ServeSubmit,
		},
		Lend: peer.Handler{
			Part:  peer.PartLend,
			Serve: s.ServeLend,
		},
		Halt: peer.Handler{
			Part:  peer.PartHalt,
			Serve: s.ServeHalt,
		},
		Room: peer.Handler{
			Part:    peer.PartRoom,
			Serve:   s.ServeRoom,
			InOrder: true,
		},
		Find: peer.Handler{
			Part:  peer.PartFind,
			Serve: s.ServeFind,
		},
	}
}

func run(lc fx.Lifecycle, set settings.Settings, s *Scheduler, r *roster.Roster, w *watch.Watcher) {
	w.OnServers(s.SetServers)
	w.OnConfig(s.setConfig)
	r.OnChange(s.hostsChanged)
	r.SetNews(func() roster.News { return s.newsOf(w.Config()) })
	loop.Append(lc, func(ctx context.Context) {
		s.pulse(ctx, set.Duration(section, "tick"), set.Duration(section, "tell"))
	})
}

// setConfig makes the shards of a configuration's services.
func (s *Scheduler) setConfig(c route.Config) {
	for _, service := range c.Services {
		s.Shard(service)
	}
}

func (s *Scheduler) newsOf(c route.Config) roster.News {
	routes := make([]string, 0, len(c.Routes))
	for _, r := range c.Routes {
		routes = append(routes, r.Name)
	}
	news := s.news(routes)
	news.Version = c.Version
	return news
}
