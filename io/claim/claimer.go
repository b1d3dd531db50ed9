package claim

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/io/platform"
)

// Prefix starts the key of every claim in the table.
const Prefix = "claim/"

// settleTries bounds how often an unclear claim is read back.
const settleTries = 3

// value is a claim as the table holds it.
type value struct {
	Ticket string    `json:"ticket"`
	Until  time.Time `json:"until"` // when the claim may be deleted
}

// Claimer turns idempotency keys into tickets.
type Claimer struct {
	table     Table
	batcher   *batcher
	timeout   time.Duration
	retention time.Duration
	now       func() time.Time
}

// Limits bounds a Claimer.
type Limits struct {
	Interval  time.Duration // between two commits of this host
	Group     int           // most claims in one commit
	Timeout   time.Duration // longest wait for a claim
	Retention time.Duration // how long a key is remembered
}

// New returns a Claimer; its Loop must run for claims to be committed.
func New(table Table, limits Limits) *Claimer {
	return &Claimer{
		table:     table,
		batcher:   newBatcher(table, limits.Interval, limits.Group),
		timeout:   limits.Timeout,
		retention: limits.Retention,
		now:       time.Now,
	}
}

// Loop commits claims until ctx ends.
func (c *Claimer) Loop(ctx context.Context) { c.batcher.loop(ctx) }

// Claim returns the ticket that stands for a key: the given fresh one, or the
// one that an earlier submission put there. It returns an error when the table
// can't tell; then nobody knows here whether the key was used before.
func (c *Claimer) Claim(ctx context.Context, key, fresh string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := json.Marshal(value{
		Ticket: fresh,
		Until:  c.now().Add(c.retention).UTC(),
	})
	if err != nil {
		return "", errors.Annotate(err, "encode claim")
	}
	write := platform.Write{
		Key:   Prefix + url.PathEscape(key),
		Value: raw,
	}
	v := c.batcher.put(ctx, write)
	for range settleTries {
		if v.err == nil {
			return ticketOf(v.result.Row)
		}
		if !errors.Is(v.err, platform.ErrUnclear) || ctx.Err() != nil {
			break
		}
		// Writing the same unique value again is harmless, and settles whether
		// the first write is there or not.
		v = c.batcher.put(ctx, write)
	}
	return "", errors.Annotate(v.err, "claim key")
}

// ticketOf reads the winner: an applied write returns its own row, a refused
// one the row that was there.
func ticketOf(row platform.Row) (string, error) {
	var v value
	if err := json.Unmarshal(row.Value, &v); err != nil || v.Ticket == "" {
		return "", errors.NotValidf("claim %s", row.Key)
	}
	return v.Ticket, nil
}

// sweepLimit is how many claims one sweep deletes at the most.
const sweepLimit = 500

// Sweep deletes claims past their retention, oldest first, in one commit.
func (c *Claimer) Sweep(ctx context.Context) (int, error) {
	feed, err := c.table.Oldest(ctx, Prefix, sweepLimit)
	if err != nil {
		return 0, errors.Annotate(err, "read claims")
	}
	var deletes []platform.Write
	for _, row := range feed.Rows {
		var v value
		if json.Unmarshal(row.Value, &v) == nil && c.now().Before(v.Until) {
			break
		}
		deletes = append(deletes, platform.Write{
			Key:     row.Key,
			Version: row.Version,
			Delete:  true,
		})
	}
	if len(deletes) == 0 {
		return 0, nil
	}
	if _, err := c.table.Commit(ctx, deletes); err != nil {
		return 0, errors.Annotate(err, "delete claims")
	}
	return len(deletes), nil
}
