package ticket

import "sync/atomic"

// Issuer issues the tickets of one incarnation. It is safe for concurrent use.
type Issuer struct {
	incarnation Incarnation
	address     string
	domain      string
	next        atomic.Uint64
}

// NewIssuer returns an issuer for the process at a peer address in a failure domain.
func NewIssuer(incarnation Incarnation, address, domain string) *Issuer {
	return &Issuer{
		incarnation: incarnation,
		address:     address,
		domain:      domain,
	}
}

// Incarnation returns the incarnation that every ticket of this issuer contains.
func (i *Issuer) Incarnation() Incarnation { return i.incarnation }

// Issue returns a new ticket with the next sequence number, starting at 1.
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
