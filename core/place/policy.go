package place

// Policy selects servers and limits outstanding tasks: [Random], [LeastOutstanding] or
// [Window].
type Policy interface{ policy() }

// Random sends each task immediately to a random usable server. It is the
// baseline for comparisons.
type Random struct{}

// LeastOutstanding sends each task immediately to the server with the fewest outstanding
// tasks of this host per slot.
type LeastOutstanding struct{}

// Window selects servers like [LeastOutstanding], but limits the outstanding tasks of this
// host and keeps the rest in the queue.
type Window struct {
	Factor         float64 // limit in multiples of this host's fair share of all slots
	MinOutstanding int     // lower bound of the limit
}

func (Random) policy()           {}
func (LeastOutstanding) policy() {}
func (Window) policy()           {}

// maxOutstanding returns how many tasks this host may have outstanding if the
// given number of hosts queue for the same slots. A host that queues alone sees
// every task and gains nothing from letting tasks wait at a server instead of in
// its queue, so the factor does not apply. The more queues there are, the more of
// the factor is needed to use idle slots.
func maxOutstanding(p Policy, slots, queues int) int {
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
