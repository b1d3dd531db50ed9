package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/io/late"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// unreadConn is a connection whose peer reads nothing after the first write, its handshake. The
// rest stays in buffers.
type unreadConn struct {
	net.Conn

	writes atomic.Int64
}

func (c *unreadConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		return c.Conn.Write(p)
	}
	return len(p), nil
}

// TestDeafPeerKeepsLink guards against a link that stays open for ever although its peer reads
// nothing, because the peer goes on writing.
func TestDeafPeerKeepsLink(t *testing.T) {
	const silence = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		defer p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, err := websocket.Accept(w, r, nil)
			assert.Check(t, err)
			for conn.Write(context.Background(), websocket.MessageBinary, []byte{0xa0}) == nil {
				time.Sleep(silence / 4)
			}
		}))()
		links := New(&net.Dialer{Timeout: time.Second}, silence, late.New(), telemetry.NewCounters(telemetry.NewRegistry()), logr.Discard())
		defer closeLinks(links)
		links.dialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.dial(ctx, network, address)
			return &unreadConn{Conn: conn}, err
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*silence)
		defer cancel()
		_, err := links.Call(ctx, "host:1", wire.Frame{Fetch: &wire.Fetch{}})
		assert.ErrorIs(t, err, ErrLinkClosed)
		assert.NilError(t, ctx.Err(), "the link is open after %s", 100*silence)
	})
}
