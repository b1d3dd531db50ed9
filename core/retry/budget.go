package retry

// Budget is a token bucket that allows retries in proportion to first attempts.
type Budget struct {
	ratio    float64 // tokens added per first attempt
	capacity float64 // upper bound of tokens
	tokens   float64
}

// New returns a full budget that gains ratio tokens per first attempt and holds at
// most capacity tokens.
func New(ratio, capacity float64) *Budget {
	return &Budget{
		ratio:    ratio,
		capacity: capacity,
		tokens:   capacity,
	}
}

// Deposit credits n first attempts.
func (b *Budget) Deposit(n int) {
	b.tokens = min(b.capacity, b.tokens+b.ratio*float64(n))
}

// Withdraw takes the token for one retry and reports whether one was available.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
