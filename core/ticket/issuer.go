package ticket

import "sync/atomic"

// Issuer gives out the tickets of one incarnation, each once.
type Issuer struct {
	incarnation Incarnation
	address     string
	domain      string
	next        atomic.Uint64
}

// NewIssuer returns an issuer for a process at the given peer address.
func NewIssuer(incarnation Incarnation, address, domain string) *Issuer {
	return &Issuer{
		incarnation: incarnation,
		address:     address,
		domain:      domain,
	}
}

// Incarnation returns the name that every ticket of this issuer carries.
func (i *Issuer) Incarnation() Incarnation { return i.incarnation }

// Issue returns a ticket that was never given out before.
func (i *Issuer) Issue() Ticket {
	return Ticket{
		ID: ID{
			Incarnation: i.incarnation,
			Sequence:    i.next.Add(1),
		},
		Address: i.address,
		Domain:  i.domain,
	}
}
