package quota

import (
	"cmp"
	"slices"
)

// HostDemand is the demand of one of the hosts among which a quota is divided.
type HostDemand struct {
	Address string // peer address
	Demand  int    // tasks that are waiting at the host, sent by it or refused for the quota
}

// evenFraction is the fraction of a quota that is divided evenly, whatever the demand.
const evenFraction = 0.1

// Divide returns each host's share, keyed by address. The shares add up to the quota:
// they are rounded by the largest remainder method. The result doesn't depend on the
// order of demands, so all hosts compute the same shares from the same demand.
func Divide(quota int, demands []HostDemand) map[string]int {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b HostDemand) int { return cmp.Compare(a.Address, b.Address) })
	exact := fractionalShares(quota, sorted)
	shares := make(map[string]int, len(sorted))
	unassigned := quota
	for i, h := range sorted {
		shares[h.Address] = int(exact[i])
		unassigned -= int(exact[i])
	}
	// The hosts with the largest remainders get what rounding down left over.
	order := make([]int, len(sorted))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder(exact[b]), remainder(exact[a])) })
	for _, i := range order[:min(unassigned, len(order))] {
		shares[sorted[i].Address]++
	}
	return shares
}

func remainder(x float64) float64 { return x - float64(int(x)) }

func fractionalShares(quota int, demands []HostDemand) []float64 {
	total := 0
	for _, h := range demands {
		total += h.Demand
	}
	exact := make([]float64, len(demands))
	n := float64(len(demands))
	for i, h := range demands {
		if total == 0 {
			exact[i] = float64(quota) / n
			continue
		}
		byDemand := float64(h.Demand) / float64(total)
		exact[i] = float64(quota) * (evenFraction/n + (1-evenFraction)*byDemand)
	}
	return exact
}
