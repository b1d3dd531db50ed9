package claim

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/io/platform"
)

// Prefix is the prefix of the table keys of claims.
const Prefix = "claim/"

// maxRewrites bounds how often a claim with an unknown outcome is written again.
const maxRewrites = 3

// claimRecord is a claim as it is stored in the table.
type claimRecord struct {
	Ticket string    `json:"ticket"`
	Until  time.Time `json:"until"` // the claim may be deleted after this time
}

// Claimer maps idempotency keys to tickets.
type Claimer struct {
	table     Table
	batcher   *batcher
	timeout   time.Duration
	retention time.Duration
	now       func() time.Time
}

// Limits configures a Claimer.
type Limits struct {
	CommitInterval time.Duration // minimum time between commits of this host
	MaxGroup       int           // maximum number of claims in one commit
	Timeout        time.Duration // bounds one call of Claim
	Retention      time.Duration // how long a key is remembered
}

// New returns a Claimer. Claims are committed only while its Loop runs.
func New(table Table, limits Limits) *Claimer {
	return &Claimer{
		table:     table,
		batcher:   newBatcher(table, limits.CommitInterval, limits.MaxGroup),
		timeout:   limits.Timeout,
		retention: limits.Retention,
		now:       time.Now,
	}
}

// Loop commits claims until ctx ends.
func (c *Claimer) Loop(ctx context.Context) { c.batcher.loop(ctx) }

// Claim returns the ticket of a key: the given fresh one, or the one that an earlier
// submission stored. After an error it is unknown whether the key was used before.
func (c *Claimer) Claim(ctx context.Context, key, fresh string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := json.Marshal(claimRecord{
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
	for range maxRewrites {
		if v.err == nil {
			return storedTicket(v.result.Row)
		}
		if !errors.Is(v.err, platform.ErrUnknownOutcome) || ctx.Err() != nil {
			break
		}
		// Repeating the write is safe because its value is unique, and shows whether
		// the first attempt took effect.
		v = c.batcher.put(ctx, write)
	}
	return "", errors.Annotate(v.err, "claim key")
}

// storedTicket returns the ticket that a claim's row holds. An applied write returns its own
// row, a rejected one the row that already existed.
func storedTicket(row platform.Row) (string, error) {
	var v claimRecord
	if err := json.Unmarshal(row.Value, &v); err != nil || v.Ticket == "" {
		return "", errors.NotValidf("claim %s", row.Key)
	}
	return v.Ticket, nil
}

// maxSweepDeletes is the maximum number of claims that one sweep deletes.
const maxSweepDeletes = 500

// Sweep deletes claims past their retention, oldest first, in one commit. It returns the
// number of deleted claims.
func (c *Claimer) Sweep(ctx context.Context) (int, error) {
	feed, err := c.table.Oldest(ctx, Prefix, maxSweepDeletes)
	if err != nil {
		return 0, errors.Annotate(err, "read claims")
	}
	var deletes []platform.Write
	for _, row := range feed.Rows {
		var v claimRecord
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
