package platform

import (
	"context"
	"net/http"
	"net/url"
)

// Evacuate requests that nothing new be sent to the backend servers of a failure domain, or, if
// back is set, takes the request back. Both may be repeated.
func (c *Client) Evacuate(ctx context.Context, domain string, back bool) error {
	method := http.MethodPut
	if back {
		method = http.MethodDelete
	}
	status, _, err := c.do(ctx, call{
		method: method,
		path:   "/evacuations/" + url.PathEscape(domain),
	})
	if err == nil && status != http.StatusNoContent {
		err = unexpectedStatus(status)
	}
	return err
}
