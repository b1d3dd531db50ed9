package home

import (
	"strings"

	"rosemarywalk/core/member"
)

// Scope is how many hosts share a home: Host, Domain, Region or Fleet.
type Scope interface{ scope() }

// Host makes every host its own home: jobs are queued where they arrive.
type Host struct{}

// Domain has one home for a service in each failure domain.
type Domain struct{}

// Region has one home for a service in each region. A failure domain's region
// is the part of its name before the slash.
type Region struct{}

// Fleet has one home for a service.
type Fleet struct{}

func (Host) scope()   {}
func (Domain) scope() {}
func (Region) scope() {}
func (Fleet) scope()  {}

// group names the hosts that share a home with the given one.
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
