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
			Help: "The callers' HTTP interface.",
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
			Help:     "Where callers reach this host.",
			Required: true,
			Kind:     settings.Address{},
		},
		{
			Name:    "body",
			Default: "16777216",
			Help:    "Largest submission, in bytes.",
			Kind: settings.Integer{
				Min: 1024,
				Max: 1 << 28,
			},
		},
		{
			Name:    "tasks",
			Default: "890",
			Help:    "Most tasks of a job.",
			Kind: settings.Integer{
				Min: 1,
				Max: 100000,
			},
		},
		{
			Name:    "deadline",
			Default: "60s",
			Help:    "Deadline of a submission that names none.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: time.Hour,
			},
		},
		{
			Name:    "longest",
			Default: "10m",
			Help:    "Longest deadline that a submission may name.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: 24 * time.Hour,
			},
		},
	}
}

// needs is what the plug-in takes from others.
type needs struct {
	fx.In

	Settings   settings.Settings
	Key        ticket.Key
	Dispatcher *dispatch.Dispatcher
	Links      *peer.Links
	Fleet      *member.Fleet
	Store      *config.Store
	Counters   *telemetry.Counters
}

func newService(n needs) *Service {
	s := n.Settings
	return NewService(n.Key, n.Dispatcher, n.Links, n.Fleet, n.Store, n.Counters, Limits{
		Body:     s.Integer(section, "body"),
		Tasks:    s.Integer(section, "tasks"),
		Deadline: s.Duration(section, "deadline"),
		Longest:  s.Duration(section, "longest"),
	})
}

// served is what the plug-in serves on peer links.
type served struct {
	fx.Out

	Call peer.Handler `group:"handlers"`
}

func newHandlers(s *Service) served {
	return served{Call: peer.Handler{
		Kind:  peer.PartCall,
		Serve: s.Serve,
	}}
}

// Server is the callers' listener; a planned stop shuts it down.
type Server struct{ *server.Server }

func newServer(s settings.Settings, service *Service, claims *claim.Claimer, flag *ready.Flag, log logr.Logger) Server {
	router := mux.NewRouter()
	NewHandler(service, claims).Routes(router)
	router.HandleFunc("/readyz", flag.Readyz).Methods(http.MethodGet)
	router.HandleFunc("/livez", flag.Livez).Methods(http.MethodGet)
	return Server{Server: server.New(section, s.Text(section, "listen"), router, log)}
}

func listen(lc fx.Lifecycle, s Server) {
	lc.Append(fx.StartStopHook(s.Start, func(context.Context) { s.Close() }))
}
