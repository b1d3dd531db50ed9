package retry

// Budget allows retries in proportion to first tries.
type Budget struct {
	ratio  float64 // retries earned by each first try
	most   float64 // retries that may be saved up
	tokens float64
}

// New returns a full budget that earns ratio retries a first try, up to most.
func New(ratio, most float64) *Budget {
	return &Budget{
		ratio:  ratio,
		most:   most,
		tokens: most,
	}
}

// Deposit counts n first tries.
func (b *Budget) Deposit(n int) {
	b.tokens = min(b.most, b.tokens+b.ratio*float64(n))
}

// Withdraw takes one retry and reports whether there was one to take.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
