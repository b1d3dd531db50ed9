package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"rosemarywalk/core/ticket"
	"rosemarywalk/io/claim"
	"rosemarywalk/io/config"
	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/intake"
	"rosemarywalk/io/member"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/server"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/kernel"
)

const section = "caller"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 80,
		Settings: settings.Section{
			Name: section,
			Help: "HTTP interface for callers.",
			Keys: keys(),
		},
		Module: fx.Options(
			fx.Provide(newService, newHandlers, newServer),
			fx.Invoke(listen),
		),
	})
}

func keys() []settings.Key {
	return []settings.Key{
		{
			Name:     "listen",
			Default:  "127.0.0.1:7000",
			Help:     "Address that accepts callers' requests.",
			Required: true,
			Kind:     settings.Address{},
		},
		{
			Name:    "body",
			Default: "16777216",
			Help:    "Maximum size of a submission, in bytes.",
			Kind: settings.Integer{
				Min: 1024,
				Max: 1 << 28,
			},
		},
		{
			Name:    "tasks",
			Default: "890",
			Help:    "Maximum number of tasks in a job.",
			Kind: settings.Integer{
				Min: 1,
				Max: 100000,
			},
		},
		{
			Name:    "deadline",
			Default: "60s",
			Help:    "Deadline of a submission that specifies none.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: time.Hour,
			},
		},
		{
			Name:    "longest",
			Default: "10m",
			Help:    "Longest deadline that a submission may specify.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: 24 * time.Hour,
			},
		},
	}
}

// params are the dependencies of the plug-in.
type params struct {
	fx.In

	Settings   settings.Settings
	Key        ticket.Key
	Dispatcher *dispatch.Dispatcher
	Links      *peer.Links
	Fleet      *member.Fleet
	Store      *config.Store
	Counters   *telemetry.Counters
}

func newService(p params) *Service {
	s := p.Settings
	return NewService(p.Key, p.Dispatcher, p.Links, p.Fleet, p.Store, p.Counters, Limits{
		MaxBodyBytes:    s.Integer(section, "body"),
		MaxTasks:        s.Integer(section, "tasks"),
		DefaultDeadline: s.Duration(section, "deadline"),
		MaxDeadline:     s.Duration(section, "longest"),
	})
}

// results are the handlers that the plug-in provides for peer links.
type results struct {
	fx.Out

	Call peer.Handler `group:"handlers"`
}

func newHandlers(s *Service) results {
	return results{Call: peer.Handler{
		Kind:  peer.KindCall,
		Serve: s.Serve,
	}}
}

// Server is the HTTP server for callers. The plug-in drain shuts it down.
type Server struct{ *server.Server }

func newServer(s settings.Settings, service *Service, claims *claim.Claimer, flag *ready.Flag, limits *intake.Intake, log logr.Logger) Server {
	router := mux.NewRouter()
	NewHandler(service, claims).Routes(router)
	router.HandleFunc("/readyz", flag.Readyz).Methods(http.MethodGet)
	router.HandleFunc("/livez", flag.Livez).Methods(http.MethodGet)
	return Server{Server: server.New(section, s.Text(section, "listen"), router, limits.Callers(), log)}
}

func listen(lc fx.Lifecycle, s Server) {
	lc.Append(fx.StartStopHook(s.Start, func(context.Context) { s.Close() }))
}
