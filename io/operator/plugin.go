package operator

import (
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	coremember "rosemarywalk/core/member"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/config"
	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/intake"
	"rosemarywalk/io/local"
	"rosemarywalk/io/member"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/server"
	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "operator"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 70,
		Settings: settings.Section{
			Name: section,
			Help: "The operators' HTTP API, including /metrics.",
			Keys: []settings.Key{{
				Name:     "listen",
				Default:  "127.0.0.1:7200",
				Help:     "Listen address of the operators' HTTP API.",
				Required: true,
				Kind:     settings.Address{},
			}},
		},
		Module: fx.Options(
			fx.Provide(newHandler, newHandlers),
			fx.Invoke(listen, registerGauges),
		),
	})
}

// params holds the dependencies that fx injects.
type params struct {
	fx.In

	Settings    settings.Settings
	Incarnation ticket.Incarnation
	Registry    *prometheus.Registry
	Flag        *ready.Flag
	Fleet       *member.Fleet
	Links       *peer.Links
	Dispatcher  *dispatch.Dispatcher
	Directory   *platform.Directory
	Client      *platform.Client
	Store       *config.Store
	Booker      *config.Booker
}

func newHandler(n params) *Handler {
	return &Handler{
		self: coremember.Host{
			Incarnation: n.Incarnation.String(),
			Address:     local.PeerAddress(n.Settings),
			Domain:      n.Settings.Text("host", "domain"),
		},
		registry:   n.Registry,
		flag:       n.Flag,
		fleet:      n.Fleet,
		peers:      n.Links,
		dispatcher: n.Dispatcher,
		directory:  n.Directory,
		client:     n.Client,
		store:      n.Store,
		booker:     n.Booker,
	}
}

// peerHandlers registers the handlers for requests on peer links.
type peerHandlers struct {
	fx.Out

	Ask peer.Handler `group:"handlers"`
}

func newHandlers(h *Handler) peerHandlers {
	return peerHandlers{Ask: peer.Handler{
		Kind:  peer.KindAsk,
		Serve: h.ServeAsk,
	}}
}

func listen(lc fx.Lifecycle, s settings.Settings, h *Handler, limits *intake.Intake, log logr.Logger) {
	router := mux.NewRouter()
	h.Routes(router)
	web := server.New(section, s.Text(section, "listen"), router, limits.Other(), log)
	lc.Append(fx.StartStopHook(web.Start, web.Close))
}

// registerGauges registers gauges whose values are read on each metrics scrape.
func registerGauges(r *prometheus.Registry, d *dispatch.Dispatcher, f *member.Fleet) {
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "rosemarywalk",
			Name:      name,
			Help:      help,
		}, value))
	}
	gauge("waiting", "Tasks waiting in queues.", func() float64 { return float64(d.Load().Waiting) })
	gauge("outstanding", "Tasks sent to backend servers and not yet answered.", func() float64 { return float64(d.Load().Outstanding) })
	gauge("running", "Unfinished jobs.", func() float64 { return float64(d.Load().Running) })
	gauge("usable", "Backend servers that accept work.", func() float64 { return float64(d.Load().Usable) })
	gauge("held_bytes", "Bytes of retained answers.", func() float64 { return float64(d.Load().HeldBytes) })
	gauge("hosts", "Hosts considered alive.", func() float64 { return float64(len(f.Live())) })
}
