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
			Help: "The operators' HTTP interface, with /metrics.",
			Keys: []settings.Key{{
				Name:     "listen",
				Default:  "127.0.0.1:7200",
				Help:     "Where operators reach this host.",
				Required: true,
				Kind:     settings.Address{},
			}},
		},
		Module: fx.Options(
			fx.Provide(newHandler, newHandlers),
			fx.Invoke(listen, registerLoad),
		),
	})
}

// needs is what the plug-in takes from others.
type needs struct {
	fx.In

	Settings    settings.Settings
	Incarnation ticket.Incarnation
	Registry    *prometheus.Registry
	Flag        *ready.Flag
	Fleet       *member.Fleet
	Links       *peer.Links
	Dispatcher  *dispatch.Dispatcher
	Directory   *platform.Directory
	Store       *config.Store
	Booker      *config.Booker
}

func newHandler(n needs) *Handler {
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
		store:      n.Store,
		booker:     n.Booker,
	}
}

// served is what the plug-in serves on peer links.
type served struct {
	fx.Out

	Ask peer.Handler `group:"handlers"`
}

func newHandlers(h *Handler) served {
	return served{Ask: peer.Handler{
		Kind:  peer.PartAsk,
		Serve: h.ServeAsk,
	}}
}

func listen(lc fx.Lifecycle, s settings.Settings, h *Handler, log logr.Logger) {
	router := mux.NewRouter()
	h.Routes(router)
	web := server.New(section, s.Text(section, "listen"), router, log)
	lc.Append(fx.StartStopHook(web.Start, web.Close))
}

// registerLoad adds gauges that are read when metrics are.
func registerLoad(r *prometheus.Registry, d *dispatch.Dispatcher, f *member.Fleet) {
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "rosemarywalk",
			Name:      name,
			Help:      help,
		}, value))
	}
	gauge("waiting", "Tasks that wait in queues.", func() float64 { return float64(d.Load().Waiting) })
	gauge("outstanding", "Tasks sent and not answered.", func() float64 { return float64(d.Load().Outstanding) })
	gauge("running", "Jobs that aren't finished.", func() float64 { return float64(d.Load().Running) })
	gauge("usable", "Backend servers that take work.", func() float64 { return float64(d.Load().Usable) })
	gauge("held_bytes", "Bytes of answers held.", func() float64 { return float64(d.Load().HeldBytes) })
	gauge("hosts", "Hosts that count as alive.", func() float64 { return float64(len(f.Live())) })
}
