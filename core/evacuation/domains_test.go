package evacuation

import (
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func evacuate(domain string, position int64) Change {
	return Change{
		Domain:    domain,
		Position:  position,
		Evacuated: true,
	}
}

func takeBack(domain string, position int64) Change {
	return Change{
		Domain:   domain,
		Position: position,
	}
}

// TestNewsInAnyOrder checks that hosts that learn of the operator's requests from the store and
// from each other, late, twice and in any order, end with the same set: the latest one.
func TestNewsInAnyOrder(t *testing.T) {
	history := []Change{
		evacuate("a", 10),
		takeBack("a", 20),
		evacuate("b", 30),
		evacuate("a", 40),
		takeBack("b", 50),
	}
	var news []Domains
	known := New(5, nil)
	for i, c := range history {
		known = known.WithChanges(history[i : i+1])
		news = append(news, known, New(c.Position+1, known.Names()))
	}
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, seed))
		host := Domains{}
		for range 3 {
			for _, i := range random.Perm(len(news)) {
				host = host.WithNewer(news[i])
			}
		}
		assert.DeepEqual(t, host.Names(), []string{"a"})
		assert.Equal(t, host.Position(), int64(51))
		assert.Assert(t, host.Relevant())
	}
}

// TestChanges checks which changes of the store count, and what hosts send each other.
func TestChanges(t *testing.T) {
	tests := []struct {
		name     string
		known    Domains
		changes  []Change
		want     string
		position int64
		relevant bool
	}{
		{
			name:     "nothing",
			known:    New(7, nil),
			position: 7,
		},
		{
			name:     "requested",
			known:    New(7, nil),
			changes:  []Change{evacuate("b", 8), evacuate("a", 9)},
			want:     "a,b",
			position: 9,
			relevant: true,
		},
		{
			name:     "taken back",
			known:    New(7, []string{"a", "b"}),
			changes:  []Change{takeBack("a", 8)},
			want:     "b",
			position: 8,
			relevant: true,
		},
		{
			name:     "the last one taken back",
			known:    New(7, []string{"a"}),
			changes:  []Change{takeBack("a", 8)},
			position: 8,
			relevant: true,
		},
		{
			name:     "came and went before it was read",
			known:    New(7, nil),
			changes:  []Change{takeBack("a", 9)},
			position: 9,
		},
		{
			name:     "older than what a peer knew",
			known:    New(7, []string{"a"}),
			changes:  []Change{takeBack("a", 6), evacuate("b", 7)},
			want:     "a",
			position: 7,
			relevant: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.known.WithChanges(test.changes)
			assert.Equal(t, strings.Join(got.Names(), ","), test.want)
			assert.Equal(t, got.Position(), test.position)
			assert.Equal(t, got.Relevant(), test.relevant)
			assert.Assert(t, !got.Has("") && got.Has("a") == strings.Contains(test.want, "a"))
		})
	}
}

// TestInvalidSet checks that a set which can't come from the store is refused.
func TestInvalidSet(t *testing.T) {
	assert.NilError(t, New(1, []string{"a"}).Check())
	for _, d := range []Domains{
		New(0, []string{"a"}), New(-1, nil), New(1, []string{"a", ""}), New(1, []string{strings.Repeat("a", 300)}),
		New(1, strings.Split(strings.Repeat("a", 2000), "")).withNames(2000),
	} {
		assert.ErrorIs(t, d.Check(), ErrInvalid)
	}
}

func (d Domains) withNames(n int) Domains {
	d.names = make([]string, n)
	for i := range d.names {
		d.names[i] = "a"
	}
	return d
}
