package quota

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDivide: shares add up to the quota, whoever computes them, and more
// demand never means a smaller share.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(0, 1000).Draw(t, "quota")
		var holders []HostDemand
		for i := range rapid.IntRange(1, 63).Draw(t, "hosts") {
			holders = append(holders, HostDemand{
				Address: fmt.Sprintf("127.0.0.1:%d", 7000+i),
				Demand:  rapid.IntRange(0, 500).Draw(t, "demand"),
			})
		}
		shares := Divide(quota, holders)
		backward := make([]HostDemand, 0, len(holders))
		for i := range holders {
			backward = append(backward, holders[len(holders)-1-i])
		}
		assert.DeepEqual(t, Divide(quota, backward), shares)
		sum := 0
		for _, h := range holders {
			sum += shares[h.Address]
			even := int(evenPart * float64(quota) / float64(len(holders)))
			assert.Assert(t, shares[h.Address] >= even, "share %d is under the even part %d", shares[h.Address], even)
			for _, g := range holders {
				if h.Demand > g.Demand {
					assert.Assert(t, shares[h.Address] >= shares[g.Address]-1)
				}
			}
		}
		assert.Equal(t, sum, quota)
	})
}
