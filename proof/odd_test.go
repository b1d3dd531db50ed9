package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/platform/standin"
)

// oddEntries returns the values of rows that another writer may leave among those of backend
// servers or hosts, by key. Changed fields replace those of the base entry.
func oddEntries(base map[string]any) map[string][]byte {
	changes := map[string]map[string]any{
		"odd-port":     {"address": "127.0.0.1:99999"},
		"odd-digits":   {"address": "127.0.0.1:12345678901234567890"},
		"odd-no-port":  {"address": "127.0.0.1"},
		"odd-spaces":   {"address": "127.0.0.1 :80\x00"},
		"odd-name":     {"address": "no such host:80"},
		"odd-large":    {"capacity": map[string]any{"cpu": 9223372036854775807, "mem_mb": 9223372036854775807}},
		"odd-large-2":  {"capacity": map[string]any{"cpu": 9223372036854775807, "mem_mb": 9223372036854775807}},
		"odd-exponent": {"capacity": map[string]any{"cpu": json.RawMessage("1e400")}, "count": json.RawMessage("1e400")},
		"odd-negative": {"capacity": map[string]any{"cpu": 1000, "mem_mb": -1, "gpu": -1}},
		"odd-born":     {"born": 9223372036854775807},
		"odd-zone":     {"zone": "no-such-zone", "address": "127.0.0.1:9"},
		"odd-service":  {"service": "no-such-service", "address": "127.0.0.1:9"},
		"odd-dead":     {"address": "127.0.0.1:9"},
		"odd-other":    {},
		"odd-type":     {"address": 7},
		"odd-labels":   {"labels": strings.Split(strings.Repeat("x", 20_000), "")},
		"odd\x00key":   {},
	}
	rows := map[string][]byte{
		"odd-null":    []byte("null"),
		"odd-bytes":   {0xff, 0x00},
		"odd-nesting": []byte(strings.Repeat("[", 64<<10)),
		"odd-objects": []byte(strings.Repeat(`{"a":`, 12_000) + "1" + strings.Repeat("}", 12_000)),
	}
	for key, change := range changes {
		entry := map[string]any{}
		for _, fields := range []map[string]any{base, change} {
			for field, value := range fields {
				entry[field] = value
			}
		}
		raw, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		rows[key] = raw
	}
	return rows
}

// TestHalfClosedAnsweredEmpty guards against an empty response with status 200 to a caller that
// has closed its sending side, while its job runs or in the middle of its request.
func TestHalfClosedAnsweredEmpty(t *testing.T) {
	s := newPlatformFleet(t, 1, 2, standin.Behavior{
		RunTime: time.Minute,
		Slots:   2,
	})
	const id = "00000000000000dd"
	tests := []struct {
		name   string
		sent   string
		status int
		text   string
	}{
		{
			name:   "while the job runs",
			sent:   jobBody(1),
			status: http.StatusBadGateway,
			text:   "unconfirmed",
		},
		{
			name:   "in the middle of the request",
			sent:   jobBody(1)[:10],
			status: http.StatusBadRequest,
			text:   "incomplete",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.hosts[0].entryURL, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", routePrefix, id, virtualHost, len(jobBody(1)), test.sent)
			assert.NilError(t, err)
			if test.status == http.StatusBadGateway {
				eventually(t, "the job runs", func() bool { return s.checker.Starts(id) == 1 })
			}
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			raw, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.status, string(raw))
			assert.Assert(t, strings.Contains(string(raw), test.text), string(raw))
		})
	}
}

// TestOddEntryStopsReading guards against hosts that end, or no longer follow a list, after
// another writer has left an odd entry in it.
func TestOddEntryStopsReading(t *testing.T) {
	s := newPlatformFleet(t, 2, 2, healthyServer)
	for key, raw := range oddEntries(map[string]any{
		"service":  service,
		"address":  s.serverAddresses[0],
		"zone":     usedDomains[0],
		"state":    "ready",
		"capacity": map[string]any{"cpu": 4000, "mem_mb": 1000},
	}) {
		s.store.PutRaw("servers", key, raw)
	}
	for key, raw := range oddEntries(map[string]any{
		"address": "127.0.0.1:9",
		"domain":  usedDomains[0],
		"count":   1,
	}) {
		s.store.PutRaw("rosemarywalk-hosts", key, raw)
	}
	s.store.PutRaw("op", "config", []byte(strings.Repeat("[", 64<<10)))
	s.store.PutRaw("op", "another", []byte{0xff})
	time.Sleep(2 * time.Second)

	s.addServer(2, healthyServer)
	s.addHost(2)
	s.putConfig(initialVersion+1, routePrefix, "/new/")
	for _, h := range s.hosts {
		eventually(t, "the new route is served at "+h.name, func() bool {
			status, _, err := h.call(http.MethodGet, "/new/", "")
			return err == nil && status == http.StatusOK
		})
		eventually(t, h.name+" knows all hosts", func() bool { return strings.Contains(h.log.String(), `"live":3`) })
	}
	eventually(t, "the new backend server is used", func() bool {
		s.load(6, 10*time.Millisecond)
		return s.checker.StartsOnServer("i-2") > 0
	})
	assert.DeepEqual(t, s.load(30, 10*time.Millisecond), map[int]int{http.StatusOK: 30})
}
