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

// TestTicketsOfAGoneHost guards against a client that keeps using cached tickets
// after a response reported that the issuing host is gone: each further job would
// fail in turn.
func TestTicketsOfAGoneHost(t *testing.T) {
	tests := []struct {
		reason  core.Reason
		wantNew bool
	}{
		{
			reason:  core.ReasonUnreachable,
			wantNew: true,
		},
		{
			reason:  core.ReasonLost,
			wantNew: true,
		},
		{
			reason:  core.ReasonDraining,
			wantNew: true,
		},
		{
			reason: core.ReasonOverload,
		},
	}
	for _, test := range tests {
		t.Run(string(test.reason), func(t *testing.T) {
			fetches := 0
			host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/jobs" {
					fmt.Fprintf(w, `{"state":"failed","ran":"maybe","reason":%q}`, test.reason)
					return
				}
				fetches++
				tickets := strings.Repeat(fmt.Sprintf(`"%d",`, fetches), ticketBatch)
				fmt.Fprintf(w, `{"tickets":[%s]}`, strings.TrimSuffix(tickets, ","))
			}))
			defer host.Close()
			c := New(host.URL, nil)
			ctx := context.Background()
			ticket, err := c.Ticket(ctx)
			assert.NilError(t, err)
			_, err = c.Submit(ctx, ticket, Job{})
			assert.NilError(t, err)
			next, err := c.Ticket(ctx)
			assert.NilError(t, err)
			assert.Equal(t, next != ticket, test.wantNew)
		})
	}
}
