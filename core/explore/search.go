package explore

import (
	"reflect"
	"slices"
)

// World is a deterministic system whose events are of type E.
type World[E any] interface {
	// Events returns the events that can happen now, in a fixed order. The first is the usual
	// one, and the others are deviations. It returns none if nothing that matters can happen
	// any more.
	Events() []E
	// Apply makes an event happen.
	Apply(e E)
	// Broken returns the rule that has been broken, or "".
	Broken() string
}

// Bounds limits a search.
type Bounds struct {
	Depth  int // deviations on a path
	States int // distinct states
	Usual  int // usual events in a row by which a world must have come to its end
}

// Result is the outcome of a search.
type Result[E any] struct {
	States   int    // distinct states seen
	Depth    int    // deviations on a path up to which all states were seen
	Longest  int    // events on the longest path
	Complete bool   // the bound of states was not reached
	Broken   string // the rule that was broken, or ""
	Path     []E    // the events that broke it, with the fewest deviations
}

// NoEnd is the broken rule of a path on which only usual events follow and the world doesn't
// come to its end.
const NoEnd = "no end without further deviations"

// node is a state, as the event that led to it from another one.
type node[E any] struct {
	event  E
	parent int32
	length int16 // events on the path
	usual  int16 // usual events since the last deviation
}

// search is the progress of a search.
type search[E any] struct {
	start  func() World[E]
	bounds Bounds
	nodes  []node[E]
	depths map[uint64]int // by hash of a state
	result Result[E]
}

// Search explores the world that start returns until a rule is broken or a bound is reached.
func Search[E any](start func() World[E], b Bounds) Result[E] {
	s := search[E]{
		start:  start,
		bounds: b,
		nodes:  []node[E]{{parent: -1}},
		depths: map[uint64]int{hash(reflect.ValueOf(start())): 0},
	}
	s.result.Complete = true
	level := []int32{0}
	for depth := 0; depth <= b.Depth && len(level) > 0; depth++ {
		var next []int32
		for _, first := range level {
			for chain := []int32{first}; len(chain) > 0; {
				i := chain[len(chain)-1]
				usual, deviations, done := s.expand(i, depth)
				if done {
					return s.result
				}
				chain, next = append(chain[:len(chain)-1], usual...), append(next, deviations...)
			}
		}
		s.result.Depth = depth
		level = next
	}
	return s.result
}

// expand adds the states that follow a state: after the usual event, and after deviations. It
// reports whether the search is done.
func (s *search[E]) expand(i int32, depth int) (usual, deviations []int32, done bool) {
	path := s.path(i)
	w := replay(s.start, path)
	for n, e := range w.Events() {
		deviates := n > 0
		if deviates && depth >= s.bounds.Depth {
			break
		}
		next := replay(s.start, path)
		next.Apply(e)
		at := depth
		if deviates {
			at++
		}
		sum := hash(reflect.ValueOf(next))
		before, seen := s.depths[sum]
		if seen && before <= at {
			continue
		}
		if !seen && len(s.depths) >= s.bounds.States {
			s.result.Complete = false
			return nil, nil, true
		}
		s.depths[sum] = at
		added := node[E]{
			event:  e,
			parent: i,
			length: int16(len(path) + 1),
		}
		if !deviates {
			added.usual = s.nodes[i].usual + 1
		}
		s.nodes = append(s.nodes, added)
		s.result.States, s.result.Longest = len(s.depths), max(s.result.Longest, len(path)+1)
		if s.result.Broken = next.Broken(); s.result.Broken == "" && int(added.usual) > s.bounds.Usual {
			s.result.Broken = NoEnd
		}
		if s.result.Broken != "" {
			s.result.Depth, s.result.Path = at, append(path, e)
			return nil, nil, true
		}
		if deviates {
			deviations = append(deviations, int32(len(s.nodes)-1))
		} else {
			usual = append(usual, int32(len(s.nodes)-1))
		}
	}
	return usual, deviations, false
}

// path returns the events that lead to a state.
func (s *search[E]) path(i int32) []E {
	path := make([]E, 0, s.nodes[i].length+1)
	for ; s.nodes[i].parent >= 0; i = s.nodes[i].parent {
		path = append(path, s.nodes[i].event)
	}
	slices.Reverse(path)
	return path
}

func replay[E any](start func() World[E], path []E) World[E] {
	w := start()
	for _, e := range path {
		w.Apply(e)
	}
	return w
}
