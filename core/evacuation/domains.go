package evacuation

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Domains is the set of evacuated failure domains at a position of the store. The zero value
// is an empty set about which nothing was learned yet.
type Domains struct {
	position int64    // of the store, at which the set was last read or changed
	names    []string // sorted
	ever     bool     // there was an evacuated domain, as far as this set's history is known
}

// Limits of a set from a peer.
const (
	maxDomains   = 1000
	maxNameBytes = 256
)

// ErrInvalid means that a set of failure domains can't be used.
const ErrInvalid = errors.ConstError("invalid evacuated failure domains")

// New returns the set of the given failure domains at a position of the store.
func New(position int64, names []string) Domains {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	return Domains{
		position: position,
		names:    sorted,
		ever:     len(sorted) > 0,
	}
}

// Check returns an error if the set, received from another host, can't come from the store.
func (d Domains) Check() error {
	switch {
	case d.position <= 0:
		return errors.Annotatef(ErrInvalid, "position %d", d.position)
	case len(d.names) > maxDomains:
		return errors.Annotatef(ErrInvalid, "%d domains", len(d.names))
	}
	for _, name := range d.names {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// CheckName returns an error if a text can't be the name of a failure domain.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Annotatef(ErrInvalid, "name of %d bytes", len(name))
	}
	return nil
}

// Position returns the position of the store at which the set was last read or changed.
func (d Domains) Position() int64 { return d.position }

// Names returns the sorted names of the evacuated failure domains.
func (d Domains) Names() []string { return slices.Clone(d.names) }

// Has reports whether a failure domain is evacuated.
func (d Domains) Has(name string) bool {
	_, found := slices.BinarySearch(d.names, name)
	return found
}

// Same reports whether the same failure domains are evacuated in both sets.
func (d Domains) Same(o Domains) bool { return slices.Equal(d.names, o.names) }

// Relevant reports whether hosts have to send each other the set: an empty one only if a
// domain was evacuated before, as another host may not have learned that this is over.
func (d Domains) Relevant() bool { return d.ever }

// WithNewer returns the later one of two sets. News arrives from the store and from several
// hosts in any order; the later position of the store decides.
func (d Domains) WithNewer(o Domains) Domains {
	newer := d
	if o.position > d.position {
		newer = o
	}
	newer.ever = d.ever || o.ever
	return newer
}

// Change is a request to evacuate a failure domain, or the end of one.
type Change struct {
	Domain    string
	Position  int64 // of the store
	Evacuated bool
}

// WithChanges returns the set with the changes that are later than it, up to which no others
// are missing.
func (d Domains) WithChanges(changes []Change) Domains {
	names := map[string]bool{}
	for _, name := range d.names {
		names[name] = true
	}
	position, ever := d.position, d.ever
	for _, c := range changes {
		if c.Position <= d.position {
			continue
		}
		position, ever = max(position, c.Position), ever || c.Evacuated
		if c.Evacuated {
			names[c.Domain] = true
		} else {
			delete(names, c.Domain)
		}
	}
	return Domains{
		position: position,
		names:    slices.Sorted(maps.Keys(names)),
		ever:     ever,
	}
}
