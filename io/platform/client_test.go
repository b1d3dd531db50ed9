package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rosemarywalk/io/platform"
	standin "rosemarywalk/standin/platform"
)

func TestPut(t *testing.T) {
	write := platform.Write{
		Key:   "section/guild",
		Value: json.RawMessage(`1`),
	}
	tests := []struct {
		name   string
		faults standin.Faults
		write  platform.Write
		want   error
	}{
		{
			name:  "applied",
			write: write,
		},
		{
			name: "version conflict",
			write: platform.Write{
				Key:     write.Key,
				Version: 7,
				Value:   write.Value,
			},
			want: platform.ErrConflict,
		},
		{
			name:   "platform down",
			faults: standin.Faults{Down: true},
			write:  write,
			want:   platform.ErrDown,
		},
		{
			name:   "response lost",
			faults: standin.Faults{LostAnswers: 1},
			write:  write,
			want:   platform.ErrUnknownOutcome,
		},
		{
			name:   "response after the timeout",
			faults: standin.Faults{Delay: 3000},
			write:  write,
			want:   platform.ErrUnknownOutcome,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := standin.New(1)
			web := httptest.NewServer(p.Router())
			defer web.Close()
			p.SetFaults(test.faults)
			c := platform.New(web.URL, time.Second, (&net.Dialer{}).DialContext, func(int, int) {})
			_, err := c.Put(context.Background(), test.write)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
		})
	}
}

func TestRefusedConnectionIsDown(t *testing.T) {
	web := httptest.NewServer(nil)
	web.Close()
	c := platform.New(web.URL, time.Second, (&net.Dialer{}).DialContext, func(int, int) {})
	_, err := c.Put(context.Background(), platform.Write{Key: "a"})
	assert.Assert(t, errors.Is(err, platform.ErrDown), "%v", err)
}

// TestSilentConnectionDelaysReads guards against a host list or a row that is read only after the
// timeout, when a leaving server may not get new work any more: the connection has gone silent.
// Writes aren't repeated.
func TestSilentConnectionDelaysReads(t *testing.T) {
	const timeout = 900 * time.Millisecond
	tests := []struct {
		name string
		call func(c *platform.Client) error
		want error
		sent int32
	}{
		{
			name: "host list",
			call: func(c *platform.Client) error {
				_, _, err := c.Hosts(t.Context(), 0)
				return err
			},
			sent: 2,
		},
		{
			name: "row",
			call: func(c *platform.Client) error {
				_, err := c.Get(t.Context(), "section/guild")
				return err
			},
			sent: 2,
		},
		{
			name: "changes",
			call: func(c *platform.Client) error {
				_, err := c.Changes(t.Context(), "section/", 1, 50*time.Millisecond)
				return err
			},
			sent: 2,
		},
		{
			name: "write",
			call: func(c *platform.Client) error {
				_, err := c.Put(t.Context(), platform.Write{Key: "section/guild"})
				return err
			},
			want: platform.ErrUnknownOutcome,
			sent: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var sent atomic.Int32
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if sent.Add(1) == 1 {
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
					return
				}
				_, _ = w.Write([]byte("{}"))
			}))
			defer web.Close()
			c := platform.New(web.URL, timeout, (&net.Dialer{}).DialContext, func(int, int) {})
			err := test.call(c)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			assert.Equal(t, sent.Load(), test.sent)
		})
	}
}
