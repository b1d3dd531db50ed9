package member

import (
	"maps"
	"slices"

	"rosemarywalk/core/quota"
	"rosemarywalk/io/wire"
)

// limitedTo keeps the demand of teams that have a quota.
func limitedTo(quotas, demand map[string]int) map[string]int {
	limited := map[string]int{}
	for team, n := range demand {
		if _, ok := quotas[team]; ok {
			limited[team] = n
		}
	}
	return limited
}

func demandOf(demand map[string]int) []wire.Demand {
	list := make([]wire.Demand, 0, len(demand))
	for _, team := range slices.Sorted(maps.Keys(demand)) {
		list = append(list, wire.Demand{
			Team:  team,
			Tasks: demand[team],
		})
	}
	return list
}

func demandBy(list []wire.Demand) map[string]int {
	demand := make(map[string]int, len(list))
	for _, d := range list {
		demand[d.Team] = d.Tasks
	}
	return demand
}

// forgetDemands drops the demand of hosts that are gone; it runs under the lock.
func (f *Fleet) forgetDemands() {
	kept := map[string]map[string]int{}
	for _, h := range f.model.Holders() {
		if demand, ok := f.demands[h.Address]; ok {
			kept[h.Address] = demand
		}
	}
	f.demands = kept
}

// shares returns this host's share of each quota; it runs under the lock.
func (f *Fleet) shares(quotas map[string]int) map[string]int {
	self := f.model.Self().Address
	holding := f.model.Holders()
	shares := make(map[string]int, len(quotas))
	for team, n := range quotas {
		holders := make([]quota.HostDemand, 0, len(holding))
		for _, h := range holding {
			holders = append(holders, quota.HostDemand{
				Address: h.Address,
				Demand:  f.demands[h.Address][team],
			})
		}
		shares[team] = quota.Divide(n, holders)[self]
	}
	return shares
}

// reshare applies new quotas at once: a change isn't in force before its
// quotas are.
func (f *Fleet) reshare(quotas map[string]int) {
	f.mu.Lock()
	shares := f.shares(quotas)
	f.mu.Unlock()
	f.sizer.SetQuotas(shares)
}
