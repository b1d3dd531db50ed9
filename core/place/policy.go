package place

// Policy is how a server is chosen: Random, Least or Window.
type Policy interface{ policy() }

// Random sends each task at once to any usable server. It is the naive baseline.
type Random struct{}

// Least sends each task at once to the server with the fewest own tasks.
type Least struct{}

// Window is Least, but keeps tasks in the queue beyond a share of the slots.
type Window struct {
	Factor float64 // own outstanding tasks allowed, in fair shares of all slots
	Least  int     // own outstanding tasks always allowed
}

func (Random) policy() {}
func (Least) policy()  {}
func (Window) policy() {}

// limit returns how many tasks the host may have outstanding.
func limit(p Policy, slots, hosts int) int {
	switch p := p.(type) {
	case Random, Least:
		return unlimited
	case Window:
		share := p.Factor * float64(slots) / float64(max(1, hosts))
		return max(p.Least, int(share+roundUp))
	}
	return 0
}

const (
	unlimited = 1 << 30
	roundUp   = 0.999
)
