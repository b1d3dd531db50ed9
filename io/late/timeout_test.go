package late

import (
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
