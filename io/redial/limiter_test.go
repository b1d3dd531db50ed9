package redial_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/io/redial"
)

// TestDial replays a server that is so slow that each of 100 calls opens a connection.
func TestDial(t *testing.T) {
	dialed, opened, refused := 0, 0, 0
	limits := redial.Limits{
		Burst:     3,
		PerSecond: 1.0 / time.Hour.Seconds(),
	}
	dial := limits.Dial(func(context.Context, string, string) (net.Conn, error) {
		dialed++
		return &net.TCPConn{}, nil
	}, func() { opened++ })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for range 100 {
		if _, err := dial(ctx, "tcp", "127.0.0.1:1"); err != nil {
			refused++
		}
	}
	assert.Equal(t, refused, 100-limits.Burst)
	assert.Equal(t, opened, limits.Burst)
	assert.Equal(t, dialed, limits.Burst)
}
