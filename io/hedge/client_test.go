package hedge_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	corehedge "rosemarywalk/core/hedge"
	"rosemarywalk/io/hedge"
	"rosemarywalk/io/late"
)

var errReset = errors.New("connection reset")

// TestDo checks which attempt at a call is answered, when, and over how many pools of
// connections.
func TestDo(t *testing.T) {
	const (
		ms   = time.Millisecond
		wait = time.Second
	)
	type attempt struct {
		takes time.Duration // 0 if it gets no answer
		err   error
	}
	tests := []struct {
		name     string
		attempts []attempt
		late     time.Duration // of this process
		answered int
		err      error
		took     time.Duration
		pools    int
	}{
		{
			name:     "at once",
			attempts: []attempt{{takes: wait}},
			answered: 1,
			took:     wait,
			pools:    1,
		},
		{
			name:     "silent connection",
			attempts: []attempt{{}, {takes: 5 * ms}},
			answered: 2,
			took:     wait + 605*ms,
			pools:    2,
		},
		{
			name:     "two silent connections",
			attempts: []attempt{{}, {}, {takes: 5 * ms}},
			answered: 3,
			took:     wait + 1205*ms,
			pools:    3,
		},
		{
			name:     "slow server",
			attempts: []attempt{{takes: wait + 800*ms}, {takes: 900 * ms}},
			answered: 1,
			took:     wait + 800*ms,
			pools:    2,
		},
		{
			name:     "late process",
			attempts: []attempt{{takes: wait + 700*ms}},
			late:     200 * ms,
			answered: 1,
			took:     wait + 700*ms,
			pools:    1,
		},
		{
			name:     "no connection for the second attempt",
			attempts: []attempt{{}, {takes: 150 * ms, err: errReset}, {takes: 5 * ms}},
			answered: 3,
			took:     wait + 1205*ms,
			pools:    3,
		},
		{
			name:     "reset",
			attempts: []attempt{{takes: 5 * ms, err: errReset}},
			err:      errReset,
			took:     5 * ms,
			pools:    2,
		},
		{
			name:     "no answer",
			attempts: []attempt{{}, {}, {}},
			err:      hedge.ErrOverdue,
			took:     wait + 1800*ms,
			pools:    4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pools, settled := 0, false
				var sent atomic.Int32
				meter := late.New()
				client := hedge.New(corehedge.Limits{
					Answer:   600 * ms,
					Attempts: 3,
					OwnDelay: 300 * ms,
				}, func() *http.Transport {
					pools++
					return &http.Transport{}
				}, meter, func(attempts, answered int) {
					settled = true
					assert.Equal(t, attempts, len(test.attempts))
					assert.Equal(t, answered, test.answered)
				})
				if test.late > 0 {
					time.AfterFunc(wait+500*ms, func() {
						meter.Expect(time.Now().Add(-test.late))
						meter.Observe(time.Now())
						meter.Expect(time.Now().Add(time.Hour))
					})
				}
				started := time.Now()
				number, err := hedge.Do(t.Context(), client, wait, func(ctx context.Context, _ *http.Client, asked time.Duration) (int, error) {
					number := int(sent.Add(1))
					assert.Equal(t, asked == 0, number > 1)
					a := test.attempts[number-1]
					if a.takes == 0 {
						<-ctx.Done()
						return 0, ctx.Err()
					}
					select {
					case <-time.After(a.takes):
						return number, a.err
					case <-ctx.Done():
						return 0, ctx.Err()
					}
				})
				assert.Equal(t, time.Since(started), test.took)
				assert.Equal(t, number, test.answered)
				assert.ErrorIs(t, err, test.err)
				assert.Equal(t, pools, test.pools)
				assert.Assert(t, settled)
			})
		})
	}
}
