package late

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswerUnreadCountsAsLost guards against calls to backend servers that time out because this
// process got no processor time to read the answers.
func TestAnswerUnreadCountsAsLost(t *testing.T) {
	const (
		answer  = 80 * time.Millisecond
		wait    = 150 * time.Millisecond
		timeout = answer + wait
	)
	tests := []struct {
		name  string
		delay time.Duration // by which the first timer fires late, by the process's clock
		later bool          // the next ones, too
		want  time.Duration
	}{
		{
			name: "on time",
			want: timeout,
		},
		{
			name:  "as late as timers are",
			delay: maxTimerDelay,
			want:  timeout,
		},
		{
			name:  "late",
			delay: 60 * time.Millisecond,
			want:  timeout + 60*time.Millisecond,
		},
		{
			name:  "paused",
			delay: 2 * time.Second,
			want:  timeout + answer,
		},
		{
			name:  "late each time",
			delay: 60 * time.Millisecond,
			later: true,
			want:  timeout + maxExtensions*60*time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, reads := time.Now(), 0
				ctx, stop := withTimeout(t.Context(), wait, answer, func() time.Time {
					reads++
					delay := time.Duration(0)
					switch {
					case test.later:
						delay = time.Duration(reads-1) * test.delay
					case reads > 1:
						delay = test.delay
					}
					return time.Now().Add(delay)
				}, func(time.Time) time.Duration { return 0 })
				defer stop()
				<-ctx.Done()
				assert.Equal(t, time.Since(began), test.want)
			})
		})
	}
}

// TestConnectionUnreadCountsAsNone guards against dials that end because this process got no
// processor time to notice that the connection is up.
func TestConnectionUnreadCountsAsNone(t *testing.T) {
	const (
		limit = 150 * time.Millisecond
		takes = 200 * time.Millisecond
	)
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late %t", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter := New()
				dial := meter.WithDialTimeout(func(ctx context.Context, _, _ string) (net.Conn, error) {
					select {
					case <-time.After(takes):
						return &net.TCPConn{}, nil
					case <-ctx.Done():
						return nil, context.Cause(ctx)
					}
				}, limit)
				if late {
					meter.Expect(time.Now())
				}
				_, err := dial(t.Context(), "tcp", "host:1")
				if late {
					assert.NilError(t, err)
				} else {
					assert.ErrorIs(t, err, context.DeadlineExceeded)
				}
			})
		})
	}
}

// TestMeter checks which delays count since a time.
func TestMeter(t *testing.T) {
	const delay = 40 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		meter, began := New(), time.Now()
		time.Sleep(delay)
		assert.Equal(t, meter.Since(began), time.Duration(0), "nothing was expected")
		meter.Expect(time.Now())
		time.Sleep(delay)
		assert.Equal(t, meter.Since(began), delay, "awaited")
		assert.Equal(t, meter.Observe(time.Now()), delay)
		meter.Expect(time.Now().Add(delay))
		assert.Equal(t, meter.Since(began), delay, "observed")
		assert.Equal(t, meter.Since(time.Now()), time.Duration(0), "observed before")
	})
}
