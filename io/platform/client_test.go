package platform_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
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
			c := platform.New(web.URL, time.Second, (&net.Dialer{}).DialContext)
			_, err := c.Put(context.Background(), test.write)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
		})
	}
}

func TestRefusedConnectionIsDown(t *testing.T) {
	web := httptest.NewServer(nil)
	web.Close()
	c := platform.New(web.URL, time.Second, (&net.Dialer{}).DialContext)
	_, err := c.Put(context.Background(), platform.Write{Key: "a"})
	assert.Assert(t, errors.Is(err, platform.ErrDown), "%v", err)
}
