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
			Help: "Identity of this host.",
			Keys: []settings.Key{
				{
					Name:     "domain",
					Default:  "makati",
					Help:     "Failure domain of this host.",
					Required: true,
					Kind:     settings.Text{Min: 1},
				},
				{
					Name:     "secret",
					Default:  "change-this-secret-on-all-hosts",
					Help:     "Key that signs tickets; must be the same on all hosts and at least 16 bytes long.",
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
			Help: "Settings that apply to all hosts together.",
			Keys: []settings.Key{
				{
					Name:    "hosts",
					Default: "9",
					Help:    "Maximum number of hosts that run at once; connections to backend servers are divided by this number.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1000,
					},
				},
				{
					Name:    "home",
					Default: "fleet",
					Help:    "Scope in which hosts share one queue for a service, kept at its home. A region is the part of a domain's name before a slash.",
					Kind:    settings.Choice{Of: []string{"host", "domain", "region", "fleet"}},
				},
			},
		},
		Module: fx.Options(),
	})
}

// newIncarnation generates the random identifier of this process.
func newIncarnation() (ticket.Incarnation, error) {
	var inc ticket.Incarnation
	_, err := rand.Read(inc[:])
	return inc, errors.Annotate(err, "generate incarnation")
}

func newKey(s settings.Settings) (ticket.Key, error) {
	return ticket.NewKey([]byte(s.Text(section, "secret")))
}

func newIssuer(inc ticket.Incarnation, s settings.Settings) *ticket.Issuer {
	return ticket.NewIssuer(inc, local.PeerAddress(s), s.Text(section, "domain"))
}
