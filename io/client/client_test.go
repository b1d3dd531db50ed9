package client

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
)

// TestTicketsOfAGoneHost: after a word that the tickets' owner is gone, the
// client fetches new tickets instead of failing one job after the other.
func TestTicketsOfAGoneHost(t *testing.T) {
	tests := []struct {
		reason core.Reason
		fresh  bool
	}{
		{
			reason: core.ReasonUnreachable,
			fresh:  true,
		},
		{
			reason: core.ReasonLost,
			fresh:  true,
		},
		{
			reason: core.ReasonDraining,
			fresh:  true,
		},
		{
			reason: core.ReasonOverload,
		},
	}
	for _, test := range tests {
		t.Run(string(test.reason), func(t *testing.T) {
			fetches := 0
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/jobs" {
					fmt.Fprintf(w, `{"state":"failed","ran":"maybe","reason":%q}`, test.reason)
					return
				}
				fetches++
				tickets := strings.Repeat(fmt.Sprintf(`"%d",`, fetches), ticketBatch)
				fmt.Fprintf(w, `{"tickets":[%s]}`, strings.TrimSuffix(tickets, ","))
			}))
			defer web.Close()
			c := New(web.URL, nil)
			ctx := context.Background()
			ticket, err := c.Ticket(ctx)
			assert.NilError(t, err)
			_, err = c.Submit(ctx, ticket, Job{})
			assert.NilError(t, err)
			next, err := c.Ticket(ctx)
			assert.NilError(t, err)
			assert.Equal(t, next != ticket, test.fresh)
		})
	}
}
