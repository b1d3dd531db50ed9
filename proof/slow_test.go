package proof

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHoldSlowCaller: a graceful shutdown waits for a caller that reads its answer
// slowly, and the caller gets the complete answer.
func TestHoldSlowCaller(t *testing.T) {
	// Larger than the socket buffers between host and caller.
	const size, chunk = 24 << 20, 256 << 10
	f := newFleet(t, fleetOptions{
		hosts:         1,
		servers:       1,
		slots:         1,
		extraSettings: "[executor]\nanswer = 100000000\n[drain]\nlinger = 0s\nlimit = 30s",
	})
	h := f.hosts[0]
	response, err := http.Post(h.callerURL+"/requests/"+service, "application/json", strings.NewReader(`{"size":25165824}`))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	h.signal(syscall.SIGTERM)
	received := 0
	buffer := make([]byte, chunk)
	for {
		n, err := io.ReadFull(response.Body, buffer)
		received += n
		if err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, int64(received), response.ContentLength, "the answer was truncated")
	assert.Assert(t, received > size)
	h.waitForExit()
}
