package platform

import (
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"rosemarywalk/core/place"
)

// Services takes the backend servers of every service.
type Services interface {
	SetServers(services map[string][]place.Server)
}

// Directory holds the newest host list that this host has seen, from the
// platform or from a peer.
type Directory struct {
	services Services

	mu      sync.Mutex
	listing Listing
}

// NewDirectory returns a directory without a list.
func NewDirectory(services Services) *Directory { return &Directory{services: services} }

// Revision returns the revision of the list, 0 for none.
func (d *Directory) Revision() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listing.Revision
}

// Listing returns the list.
func (d *Directory) Listing() Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listing
}

// Offer takes a list if it is newer than the one held.
func (d *Directory) Offer(listing Listing) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listing.Revision <= d.listing.Revision {
		return false
	}
	d.listing = listing
	// Under the lock, or else two lists could be applied in the wrong order.
	d.services.SetServers(serversOf(listing))
	return true
}

// OfferRaw takes a list as a peer sent it.
func (d *Directory) OfferRaw(raw []byte) error {
	var listing Listing
	if err := json.Unmarshal(raw, &listing); err != nil {
		return errors.Annotate(err, "read host list")
	}
	d.Offer(listing)
	return nil
}

// Newer returns the list for a peer whose revision is older, or nil.
func (d *Directory) Newer(revision int) []byte {
	listing := d.Listing()
	if listing.Revision <= revision {
		return nil
	}
	raw, err := json.Marshal(listing)
	if err != nil {
		return nil
	}
	return raw
}

func serversOf(listing Listing) map[string][]place.Server {
	services := map[string][]place.Server{}
	for _, h := range listing.Hosts {
		for _, service := range h.Services {
			services[service] = append(services[service], serverOf(h))
		}
	}
	return services
}

func serverOf(h ListedHost) place.Server {
	return place.Server{
		ID:          h.ID,
		Address:     h.Address,
		Domain:      h.Domain,
		Slots:       h.Slots,
		Connections: h.Connections,
		Leaving:     h.State == StateLeaving,
		Size: place.Size{
			Cores:        h.Cores,
			Memory:       h.Memory,
			Accelerators: h.Accelerators,
		},
	}
}
