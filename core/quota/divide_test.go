package quota

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDivide checks that shares add up to the quota, don't depend on the order of
// the hosts, are no less than the even fraction, and that higher demand never gives a
// smaller share (but for one task of rounding).
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(0, 1000).Draw(t, "quota")
		var demands []HostDemand
		for i := range rapid.IntRange(1, 63).Draw(t, "hosts") {
			demands = append(demands, HostDemand{
				Address: fmt.Sprintf("127.0.0.1:%d", 7000+i),
				Demand:  rapid.IntRange(0, 500).Draw(t, "demand"),
			})
		}
		shares := Divide(quota, demands)
		backward := make([]HostDemand, 0, len(demands))
		for i := range demands {
			backward = append(backward, demands[len(demands)-1-i])
		}
		assert.DeepEqual(t, Divide(quota, backward), shares)
		sum := 0
		for _, h := range demands {
			sum += shares[h.Address]
			even := int(evenFraction * float64(quota) / float64(len(demands)))
			assert.Assert(t, shares[h.Address] >= even, "share %d is below the even fraction %d", shares[h.Address], even)
			for _, g := range demands {
				if h.Demand > g.Demand {
					assert.Assert(t, shares[h.Address] >= shares[g.Address]-1)
				}
			}
		}
		assert.Equal(t, sum, quota)
	})
}
