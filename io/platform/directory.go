package platform

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/juju/errors"

	"rosemarywalk/core/place"
)

// Services receives the backend servers of every service.
type Services interface {
	SetServers(services map[string][]place.Server)
}

// Directory holds the newest host list that this host has received, from the platform or
// from a peer.
type Directory struct {
	services Services

	onEvacuated func(domains int)

	mu      sync.Mutex
	listing Listing
}

// NewDirectory returns a directory without a list. It passes the number of evacuated failure
// domains in each list to onEvacuated.
func NewDirectory(services Services, onEvacuated func(domains int)) *Directory {
	return &Directory{
		services:    services,
		onEvacuated: onEvacuated,
	}
}

// Revision returns the revision of the list, or 0 if there is none.
func (d *Directory) Revision() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listing.Revision
}

// Listing returns the current list.
func (d *Directory) Listing() Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listing
}

// Update replaces the list with a newer one, and reports whether the given one was newer.
func (d *Directory) Update(listing Listing) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listing.Revision <= d.listing.Revision {
		return false
	}
	d.listing = listing
	d.onEvacuated(len(listing.Evacuated))
	// The lock is held, so that two lists can't be applied in the wrong order.
	d.services.SetServers(serversByService(listing))
	return true
}

// UpdateJSON is Update for a JSON list, as received from a peer.
func (d *Directory) UpdateJSON(raw []byte) error {
	var listing Listing
	if err := json.Unmarshal(raw, &listing); err != nil {
		return errors.Annotate(err, "decode host list")
	}
	d.Update(listing)
	return nil
}

// NewerJSON returns the list as JSON if it is newer than a peer's revision, or nil.
func (d *Directory) NewerJSON(revision int) []byte {
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

func serversByService(listing Listing) map[string][]place.Server {
	services := map[string][]place.Server{}
	for _, h := range listing.Hosts {
		for _, service := range h.Services {
			server := newServer(h)
			server.Evacuated = slices.Contains(listing.Evacuated, h.Domain)
			services[service] = append(services[service], server)
		}
	}
	return services
}

func newServer(h ListedHost) place.Server {
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
