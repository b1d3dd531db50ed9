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

// TestHoldSlowCaller: a planned stop waits for a caller that reads its answer
// slowly, and the caller gets all of it.
func TestHoldSlowCaller(t *testing.T) {
	// Larger than what the sockets between the two can hold.
	const size, chunk = 24 << 20, 256 << 10
	f := newFleet(t, options{
		hosts:    1,
		servers:  1,
		slots:    1,
		settings: "[executor]\nanswer = 100000000\n[drain]\nlinger = 0s\nlimit = 30s",
	})
	h := f.hosts[0]
	response, err := http.Post(h.caller+"/requests/"+service, "application/json", strings.NewReader(`{"size":25165824}`))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	h.signal(syscall.SIGTERM)
	read := 0
	buffer := make([]byte, chunk)
	for {
		n, err := io.ReadFull(response.Body, buffer)
		read += n
		if err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, int64(read), response.ContentLength, "the answer was cut")
	assert.Assert(t, read > size)
	h.stopped()
}
