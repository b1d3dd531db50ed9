package member

import (
	"maps"
	"slices"

	"rosemarywalk/core/quota"
	"rosemarywalk/io/wire"
)

// withQuota returns the demand of the teams that have a quota.
func withQuota(quotas, demand map[string]int) map[string]int {
	limited := map[string]int{}
	for team, n := range demand {
		if _, ok := quotas[team]; ok {
			limited[team] = n
		}
	}
	return limited
}

func encodeDemand(demand map[string]int) []wire.Demand {
	list := make([]wire.Demand, 0, len(demand))
	for _, team := range slices.Sorted(maps.Keys(demand)) {
		list = append(list, wire.Demand{
			Team:  team,
			Tasks: demand[team],
		})
	}
	return list
}

func decodeDemand(list []wire.Demand) map[string]int {
	demand := make(map[string]int, len(list))
	for _, d := range list {
		demand[d.Team] = d.Tasks
	}
	return demand
}

// pruneDemands drops the demand of hosts that are gone. The lock must be held.
func (f *Fleet) pruneDemands() {
	kept := map[string]map[string]int{}
	for _, h := range f.model.Holders() {
		if demand, ok := f.demands[h.Address]; ok {
			kept[h.Address] = demand
		}
	}
	f.demands = kept
}

// quotaShares returns this host's share of each quota. The lock must be held.
func (f *Fleet) quotaShares(quotas map[string]int) map[string]int {
	self := f.model.Self().Address
	holderHosts := f.model.Holders()
	shares := make(map[string]int, len(quotas))
	for team, n := range quotas {
		holders := make([]quota.HostDemand, 0, len(holderHosts))
		for _, h := range holderHosts {
			holders = append(holders, quota.HostDemand{
				Address: h.Address,
				Demand:  f.demands[h.Address][team],
			})
		}
		shares[team] = quota.Divide(n, holders)[self]
	}
	return shares
}

// applyQuotas applies new quotas immediately, because a configuration change must not be in
// force before its quotas are.
func (f *Fleet) applyQuotas(quotas map[string]int) {
	f.mu.Lock()
	shares := f.quotaShares(quotas)
	f.mu.Unlock()
	f.dispatcher.SetQuotas(shares)
}
