package home

import (
	"strings"

	"rosemarywalk/core/member"
)

// Scope is the group of hosts that share a home: Host, Domain, Region or Fleet.
type Scope interface{ scope() }

// Host makes every host its own home: jobs are queued where they arrive.
type Host struct{}

// Domain selects one home per service in each failure domain.
type Domain struct{}

// Region selects one home per service in each region. The region is the part of
// the failure domain's name before the slash.
type Region struct{}

// Fleet selects one home per service among all hosts.
type Fleet struct{}

func (Host) scope()   {}
func (Domain) scope() {}
func (Region) scope() {}
func (Fleet) scope()  {}

// group returns the key of the group of hosts that share a home with the given
// host.
func group(s Scope, h member.Host) string {
	switch s.(type) {
	case Host:
		return h.Address
	case Domain:
		return h.Domain
	case Region:
		region, _, ok := strings.Cut(h.Domain, "/")
		if ok {
			return region
		}
	case Fleet:
	}
	return ""
}
