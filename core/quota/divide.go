package quota

import (
	"cmp"
	"slices"
)

// HostDemand is a host that takes part in a division.
type HostDemand struct {
	Address string // peer address
	Demand  int    // tasks that the host has or was asked for
}

// evenPart is the part of a quota that is divided evenly.
const evenPart = 0.1

// Divide returns each holder's share by address; the shares add up to the quota.
func Divide(quota int, holders []HostDemand) map[string]int {
	sorted := slices.Clone(holders)
	slices.SortFunc(sorted, func(a, b HostDemand) int { return cmp.Compare(a.Address, b.Address) })
	exact := exactShares(quota, sorted)
	shares := make(map[string]int, len(sorted))
	left := quota
	for i, h := range sorted {
		shares[h.Address] = int(exact[i])
		left -= int(exact[i])
	}
	// The largest remainders get what rounding left over.
	order := make([]int, len(sorted))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder(exact[b]), remainder(exact[a])) })
	for _, i := range order[:min(left, len(order))] {
		shares[sorted[i].Address]++
	}
	return shares
}

func remainder(x float64) float64 { return x - float64(int(x)) }

func exactShares(quota int, holders []HostDemand) []float64 {
	total := 0
	for _, h := range holders {
		total += h.Demand
	}
	exact := make([]float64, len(holders))
	n := float64(len(holders))
	for i, h := range holders {
		if total == 0 {
			exact[i] = float64(quota) / n
			continue
		}
		byDemand := float64(h.Demand) / float64(total)
		exact[i] = float64(quota) * (evenPart/n + (1-evenPart)*byDemand)
	}
	return exact
}
