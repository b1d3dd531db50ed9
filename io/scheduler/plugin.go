package scheduler

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"rosemarywalk/core/confirm"
	"rosemarywalk/core/health"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/route"
	"rosemarywalk/core/schedule"
	"rosemarywalk/io/late"
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

	// Values of the setting former.
	formerAsked   = "ask"
	formerAwaited = "wait"
	coldLast      = "last"
	coldEqual     = "equal"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:     sectionPool,
		Order:    50,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: sectionPool,
			Help: "Backend servers that this host owns.",
			Keys: []settings.Key{
				duration("lease", "900ms", "Requested lease duration; at most what backend servers grant.", 100*time.Millisecond, time.Minute),
				duration("granted", "1s", "Longest lease that backend servers grant. An earlier owner's lease may last that long.", 0, time.Hour),
				duration("answer", "80ms", "Timeout of a command to a backend server, after which it is sent again.", time.Millisecond, 10*time.Second),
				duration("hedge", "25ms", "Wait for the answer to a start command before a hedged second one is sent.", time.Millisecond, 10*time.Second),
				duration("wait", "150ms", "Long-poll wait at a backend server for the end of a run.", 0, 2*time.Second),
				duration("quick", "30ms", "Long-poll wait while the end of a run is overdue or answers get lost.", 0, 2*time.Second),
				duration("confirm", "400ms", "Time without contact from a backend server's failure domain, once the server was reached, before a host outside of the domain takes it over.", 0, time.Minute),
				duration("retake", "1s", "Delay before a backend server that another host took over is reclaimed.", 0, time.Minute),
				duration("give", "500ms", "Time after which an unanswered start command is abandoned.", 0, time.Minute),
				duration("stop", "50ms", "Longest time that backend servers take to stop a run.", 0, time.Minute),
				duration("probe", "200ms", "Interval between probes of an unresponsive backend server.", time.Millisecond, time.Minute),
				duration("margin", "60ms", "Tolerance added to a predicted run time before a run counts as slow.", 0, time.Minute),
				duration("backoff", "1s", "Initial time for which a failing backend server gets no tasks; doubles with each further failure.", 0, time.Minute),
				duration("backoffmax", "4s", "Upper bound of the backoff of a failing backend server.", 0, time.Hour),
				number("slow", "3", "Ratio of actual to predicted run time from which a run is moved to another backend server.", 1, 1000),
				number("learn", "0.3", "Weight of a new run time in a backend server's moving average.", 0.01, 1),
				number("speed", "0", "Weight of a new run time in the estimated speed of a backend server, such as 0.04; 0 takes all for equally fast.", 0, 1),
				number("last", "1.8", "Ratio of average to predicted run time from which a backend server is used only as a last resort.", 1, 1000),
				{
					Name:    "failures",
					Default: "2",
					Help:    "Consecutive failures after which a backend server is backed off.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1000,
					},
				},
				{
					Name:    "cold",
					Default: coldLast,
					Help:    "Use of a backend server whose entry says that it is warming up: after the others, or as any other.",
					Kind:    settings.Choice{Of: []string{coldLast, coldEqual}},
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
				duration("settle", "60ms", "Time after startup for host discovery before backend servers are taken over.", 0, time.Minute),
				duration("complete", "300ms", "Time after startup before backend servers are taken over although a host of the failure domain that is alive according to the store sends no heartbeats.", 0, time.Minute),
				duration("reattach", "300ms", "Time for which work continues for a host whose link broke, so that the host can reattach.", 0, time.Second),
				duration("resubmit", "1300ms", "Shortest time after which a caller whose attempt ended without an answer submits the job again, at any host. No run of the first attempt lasts longer; 0 sets no limit.", 0, time.Minute),
				duration("stall", "500ms", "Length of a process pause after which jobs accepted by other hosts are abandoned, as they may run elsewhere.", 100*time.Millisecond, time.Minute),
				duration("late", "10ms", "Delay of this host's own work from which it limits the jobs that it has at the same time and refuses others, as it has no processor time for them; 0 refuses none.", 0, time.Minute),
				duration("tick", "10ms", "Interval between checks of deadlines and timeouts.", time.Millisecond, time.Second),
				duration("tell", "25ms", "Minimum interval between reports of free capacity to a home that is short of it.", time.Millisecond, time.Second),
				duration("telllater", "200ms", "Minimum interval between reports of free capacity to any other home.", time.Millisecond, time.Minute),
				duration("tellagain", "500ms", "Interval at which unchanged free capacity is reported again.", time.Millisecond, time.Minute),
				duration("stale", "2s", "Age at which another host's reported free capacity is discarded; 0 keeps it.", 0, time.Hour),
				duration("bounce", "5ms", "Delay before a task that found no capacity is retried.", 0, time.Second),
				duration("remember", "5s", "Retention of outcomes for repeated submissions.", 0, time.Hour),
				duration("canceled", "1m", "Retention of requests to cancel jobs, for submissions and hosts that come later.", 0, time.Hour),
				duration("announce", "100ms", "Interval between announcements of older unfinished jobs to all other homes, which join such a job instead of starting it when its caller sends it again.", time.Millisecond, time.Minute),
				number("admit", "1.5", "Expected wait of a new job, as a multiple of its slack, up to which it is admitted immediately.", 0, 100),
				number("hopeless", "8", "Expected wait of a new job, as a multiple of its slack, from which it is refused immediately.", 0, 100),
				number("overdue", "1", "Expected start of an admitted job that has not begun, as a multiple of its slack, from which it queues behind jobs that can still finish in time.", 0, 100),
				number("useful", "3", "Latency, as a multiple of the objective, up to which a late answer is useful to callers.", 1, 1000),
				number("hope", "3", "Expected wait of a late job, as a multiple of the time left in which its answer is of use, from which it is refused.", 0, 100),
				number("excess", "0", "Work that new jobs bring, as a multiple of what this home's backend servers can do, above which a late job is refused at once instead of waiting for free capacity, unless there is some at any home. 0 lets it wait.", 0, 100),
				number("spare", "0.1", "Share of the total capacity that must be free before a late job starts.", 0, 1),
				number("haste", "0", "Speed that a backend server must have for a task, as a multiple of that at which the task ends in time; 0 takes any.", 0, 10),
				{
					Name:    "keep",
					Default: "0",
					Help:    "Number of jobs at the head of the queue for which room is kept: on the backend servers where their waiting tasks can start soonest, other tasks start only if they don't delay that. 0 keeps none.",
					Kind: settings.Integer{
						Min: 0,
						Max: 100,
					},
				},
				duration("patience", "10ms", "Grace period in which a job that can't start in time may still find capacity for all of its tasks.", 0, time.Minute),
				{
					Name:    "former",
					Default: formerAwaited,
					Help:    "Whether jobs that may run elsewhere are announced to the homes of before, too, and start once these have answered (ask), or wait until new homes know what was announced before (wait).",
					Kind:    settings.Choice{Of: []string{formerAsked, formerAwaited}},
				},
				{
					Name:    "jobs",
					Default: "5000",
					Help:    "Maximum number of concurrent jobs per service.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1_000_000,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newScheduler, newHandlers, newStallDetector, late.NewOfProcess),
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

// params are the dependencies of the plug-in.
type params struct {
	fx.In

	Settings settings.Settings
	Servers  Servers
	Links    *peer.Links
	Roster   *roster.Roster
	Stalls   *stall.Detector
	Meter    *late.Meter
	Counters *telemetry.Counters
	Log      logr.Logger
}

func newStallDetector(s settings.Settings) *stall.Detector {
	return stall.New(s.Duration(section, "stall"))
}

func newScheduler(n params) *Scheduler {
	s := n.Settings
	return New(Config{
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
		Meter:    n.Meter,
		Tell: schedule.ReportIntervals{
			LowCapacity: s.Duration(section, "tell"),
			Normal:      s.Duration(section, "telllater"),
			Unchanged:   s.Duration(section, "tellagain"),
		},
		Announce: s.Duration(section, "announce"),
		Canceled: s.Duration(section, "canceled"),
		Late:     s.Duration(section, "late"),
		Counters: n.Counters,
		Log:      n.Log,
	})
}

func confirmBounds(s settings.Settings) confirm.Bounds {
	return confirm.NewBounds(s.Duration(section, "resubmit"), s.Duration(sectionPool, "lease"))
}

func poolLimits(s settings.Settings) pool.Limits {
	bounds := confirmBounds(s)
	return pool.Limits{
		Lease:         bounds.Lease,
		MaxLease:      s.Duration(sectionPool, "granted"),
		AnswerTimeout: s.Duration(sectionPool, "answer"),
		HedgeDelay:    s.Duration(sectionPool, "hedge"),
		PollWait:      s.Duration(sectionPool, "wait"),
		ShortPollWait: s.Duration(sectionPool, "quick"),
		TakeoverDelay: s.Duration(sectionPool, "confirm"),
		RetakeDelay:   s.Duration(sectionPool, "retake"),
		StartTimeout:  s.Duration(sectionPool, "give"),
		StopTimeout:   s.Duration(sectionPool, "stop"),
		ProbeInterval: s.Duration(sectionPool, "probe"),
		SlowMargin:    s.Duration(sectionPool, "margin"),
		SlowFactor:    s.Number(sectionPool, "slow"),
		Health: health.Limits{
			FailureThreshold: s.Integer(sectionPool, "failures"),
			InitialBackoff:   s.Duration(sectionPool, "backoff"),
			MaxBackoff:       s.Duration(sectionPool, "backoffmax"),
		},
		MaxUnconfirmed:  bounds.MaxUnconfirmed,
		StopUnconfirmed: bounds.StopUnconfirmed,
		SlowdownWeight:  s.Number(sectionPool, "learn"),
		MaxSlowdown:     s.Number(sectionPool, "last"),
		SpeedWeight:     s.Number(sectionPool, "speed"),
		MaxEnds:         maxEnds(s),
		ColdLast:        s.Text(sectionPool, "cold") == coldLast,
	}
}

// maxEnds returns how many ends of runs are predicted for each backend server: none unless room is
// kept.
func maxEnds(s settings.Settings) int {
	const limit = 16
	if s.Integer(section, "keep") == 0 {
		return 0
	}
	return limit
}

func jobLimits(s settings.Settings) schedule.Limits {
	bounds := confirmBounds(s)
	return schedule.Limits{
		AdmitWaitFactor:     s.Number(section, "admit"),
		RefuseWaitFactor:    s.Number(section, "hopeless"),
		DemoteStartFactor:   s.Number(section, "overdue"),
		UsefulLatencyFactor: s.Number(section, "useful"),
		DemotedWaitFactor:   s.Number(section, "hope"),
		DemotedFreeFraction: s.Number(section, "spare"),
		ProvisionalTimeout:  s.Duration(section, "patience"),
		PlacementRetryDelay: s.Duration(section, "bounce"),
		CapacityTTL:         s.Duration(section, "stale"),
		OutcomeRetention:    s.Duration(section, "remember"),
		MaxConfirmAge:       bounds.MaxAge,
		MaxUnconfirmed:      bounds.MaxUnconfirmed,
		MaxJobs:             s.Integer(section, "jobs"),
		KeptJobs:            s.Integer(section, "keep"),
		MaxOfferedWork:      s.Number(section, "excess"),
		AnnounceAge:         bounds.AnnounceAge,
		ShortJob:            bounds.ShortJob,
		AnnouncementTTL:     bounds.AnnouncementTTL,
		MajorityWait:        s.Duration("roster", "dead"),
		MaxLease:            s.Duration(sectionPool, "granted"),
		StopTimeout:         s.Duration(sectionPool, "stop"),
		AskFormer:           s.Text(section, "former") == formerAsked,
		SpeedFactor:         s.Number(section, "haste"),
	}
}

// results are the handlers that the plug-in registers on peer links.
type results struct {
	fx.Out

	Submit  peer.Handler `group:"handlers"`
	Lend    peer.Handler `group:"handlers"`
	Halt    peer.Handler `group:"handlers"`
	Room    peer.Handler `group:"handlers"`
	Open    peer.Handler `group:"handlers"`
	Unknown peer.Handler `group:"handlers"`
	Crash   peer.Handler `group:"handlers"`
	Find    peer.Handler `group:"handlers"`
}

func newHandlers(s *Scheduler) results {
	return results{
		Submit: peer.Handler{
			Kind:  peer.KindSubmit,
			Serve: s.ServeSubmit,
		},
		Lend: peer.Handler{
			Kind:  peer.KindLend,
			Serve: s.ServeLend,
		},
		Halt: peer.Handler{
			Kind:  peer.KindHalt,
			Serve: s.ServeHalt,
		},
		Room: peer.Handler{
			Kind:    peer.KindRoom,
			Serve:   s.ServeRoom,
			InOrder: true,
		},
		Open: peer.Handler{
			Kind:  peer.KindOpen,
			Serve: s.ServeOpen,
		},
		Unknown: peer.Handler{
			Kind:  peer.KindUnknown,
			Serve: s.ServeUnknown,
		},
		Crash: peer.Handler{
			Kind:  peer.KindCrash,
			Serve: s.ServeCrash,
		},
		Find: peer.Handler{
			Kind:  peer.KindFind,
			Serve: s.ServeFind,
		},
	}
}

func run(lc fx.Lifecycle, set settings.Settings, s *Scheduler, r *roster.Roster, w *watch.Watcher, registry *prometheus.Registry) {
	registerSpeeds(registry, s)
	w.OnServers(s.SetServers)
	w.OnConfig(s.setConfig)
	r.OnChange(s.hostsChanged)
	r.SetHeartbeatPayload(func() roster.HeartbeatPayload { return s.heartbeatPayload(w.Config()) })
	loop.Append(lc, func(ctx context.Context) {
		s.runTicks(ctx, set.Duration(section, "tick"), set.Duration(section, "tell"))
	})
}

// setConfig creates the shards of the services in a configuration.
func (s *Scheduler) setConfig(c route.Config) {
	for _, service := range c.Services {
		s.Shard(service)
	}
}

func (s *Scheduler) heartbeatPayload(c route.Config) roster.HeartbeatPayload {
	routes := make([]string, 0, len(c.Routes))
	for _, r := range c.Routes {
		routes = append(routes, r.Name)
	}
	payload := s.payloadFor(routes)
	payload.Version = c.Version
	return payload
}
