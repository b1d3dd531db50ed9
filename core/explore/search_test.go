package explore

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// counter counts up by 1, or by more in a deviation.
type counter struct {
	value, end, broken int
}

func (c *counter) Events() []int {
	if c.value >= c.end {
		return nil
	}
	return []int{1, 2, 3}
}

func (c *counter) Apply(by int) { c.value += by }

func (c *counter) Broken() string {
	if c.value == c.broken {
		return "broken"
	}
	return ""
}

func TestSearch(t *testing.T) {
	bounds := Bounds{
		Depth:  3,
		States: 100,
		Usual:  20,
	}
	for _, test := range []struct {
		name   string
		world  counter
		bounds Bounds
		want   Result[int]
	}{
		{
			name: "all states",
			world: counter{
				end:    5,
				broken: 100,
			},
			bounds: bounds,
			want: Result[int]{
				States:   8,
				Depth:    1,
				Longest:  5,
				Complete: true,
			},
		},
		{
			name: "fewest deviations",
			world: counter{
				end:    6,
				broken: 8,
			},
			bounds: bounds,
			want: Result[int]{
				States:   9,
				Depth:    1,
				Longest:  6,
				Complete: true,
				Broken:   "broken",
				Path:     []int{1, 1, 1, 1, 1, 3},
			},
		},
		{
			name: "bound of states",
			world: counter{
				end:    50,
				broken: 100,
			},
			bounds: Bounds{
				Depth:  3,
				States: 10,
				Usual:  60,
			},
			want: Result[int]{
				States:  10,
				Longest: 8,
			},
		},
		{
			name: "no end",
			world: counter{
				end:    50,
				broken: 100,
			},
			bounds: Bounds{
				Depth:  3,
				States: 100,
				Usual:  2,
			},
			want: Result[int]{
				States:   5,
				Longest:  3,
				Complete: true,
				Broken:   NoEnd,
				Path:     []int{1, 1, 1},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := Search(func() World[int] {
				w := test.world
				return &w
			}, test.bounds)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestHash(t *testing.T) {
	type value struct {
		times map[string]time.Time
		next  *value
		any   any
	}
	now := time.Unix(1000, 0)
	build := func(at time.Time, n int) value {
		v := value{
			times: map[string]time.Time{"a": at, "b": now, "c": now},
			any:   []int{n},
		}
		v.next = &v
		return v
	}
	sum := func(v value) uint64 { return hash(reflect.ValueOf(&v)) }
	base := sum(build(now, 1))
	assert.Equal(t, sum(build(now, 1)), base)
	assert.Equal(t, sum(build(now.Add(time.Microsecond), 1)), base)
	assert.Assert(t, sum(build(now.Add(time.Millisecond), 1)) != base)
	assert.Assert(t, sum(build(now, 2)) != base)
}
