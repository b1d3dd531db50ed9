package place

// Policy is how a server is chosen: Random, Least or Window.
type Policy interface{ policy() }

// Random sends each task at once to any usable server. It is the naive baseline.
type Random struct{}

// LeastOutstanding sends each task at once to the server with the fewest own tasks.
type LeastOutstanding struct{}

// Window is Least, but keeps tasks in the queue beyond a share of the slots.
type Window struct {
	Factor         float64 // own outstanding tasks allowed, in fair shares of all slots
	MinOutstanding int     // own outstanding tasks always allowed
}

func (Random) policy()           {}
func (LeastOutstanding) policy() {}
func (Window) policy()           {}

// limit returns how many tasks the host may have outstanding when a number of
// hosts queue for the same slots. A host that queues alone sees every task,
// and gains nothing from letting some wait at a server instead of here; the
// more queues there are, the more of the factor is needed to use idle slots.
func limit(p Policy, slots, queues int) int {
	switch p := p.(type) {
	case Random, LeastOutstanding:
		return unlimited
	case Window:
		unseen := 1 - 1/float64(queues)
		share := (1 + (p.Factor-1)*unseen) * float64(slots) / float64(queues)
		return max(p.MinOutstanding, int(share+roundUp))
	}
	return 0
}

const (
	unlimited = 1 << 30
	roundUp   = 0.999
)
