package host

import (
	"crypto/rand"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"rosemarywalk/core/ticket"
	"rosemarywalk/io/local"
	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const (
	section      = "host"
	sectionFleet = "fleet"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 1,
		Settings: settings.Section{
			Name: section,
			Help: "This host.",
			Keys: []settings.Key{
				{
					Name:     "domain",
					Default:  "makati",
					Help:     "The failure domain that this host stands in.",
					Required: true,
					Kind:     settings.Text{Min: 1},
				},
				{
					Name:     "secret",
					Default:  "change-this-secret-on-all-hosts",
					Help:     "Signs tickets; the same on all hosts, at least 16 bytes.",
					Required: true,
					Kind:     settings.Text{Min: ticket.MinKeyBytes},
				},
			},
		},
		Module: fx.Provide(newIncarnation, newKey, newIssuer),
	})
	kernel.Register(kernel.Plugin{
		Name:  sectionFleet,
		Order: 1,
		Settings: settings.Section{
			Name: sectionFleet,
			Help: "All hosts together.",
			Keys: []settings.Key{
				{
					Name:    "hosts",
					Default: "9",
					Help:    "The most hosts that run at once; connections to backend servers are divided by it.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1000,
					},
				},
				{
					Name:    "home",
					Default: "fleet",
					Help:    "How many hosts share one queue for a service: its home. A region is the part of a domain's name before a slash.",
					Kind:    settings.Choice{Of: []string{"host", "domain", "region", "fleet"}},
				},
			},
		},
		Module: fx.Options(),
	})
}

// newIncarnation draws this process's name from the system's random source.
func newIncarnation() (ticket.Incarnation, error) {
	var inc ticket.Incarnation
	_, err := rand.Read(inc[:])
	return inc, errors.Annotate(err, "draw incarnation")
}

func newKey(s settings.Settings) (ticket.Key, error) {
	return ticket.NewKey([]byte(s.Text(section, "secret")))
}

func newIssuer(inc ticket.Incarnation, s settings.Settings) *ticket.Issuer {
	return ticket.NewIssuer(inc, local.PeerAddress(s), s.Text(section, "domain"))
}
