package config

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rosemarywalk/core/document"
	"rosemarywalk/core/finding"
	"rosemarywalk/io/platform"
)

// Prefix is the prefix of the table keys of the document's rows.
const Prefix = "section/"

// Table is the part of the platform's interface that the configuration uses.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Put(ctx context.Context, w platform.Write) (platform.Row, error)
	Changes(ctx context.Context, prefix string, since int, timeout time.Duration) (platform.Feed, error)
}

// Booked describes a version of a section that was booked.
type Booked struct {
	Team    string    `json:"team"`
	Version int       `json:"version"`
	Active  time.Time `json:"active"`
	Change  string    `json:"change"`
}

// Booker writes configuration changes to the table.
type Booker struct {
	table Table
	store *Store
	now   func() time.Time
}

// NewBooker returns a Booker for a table and the store of its rows.
func NewBooker(table Table, store *Store) *Booker {
	return &Booker{
		table: table,
		store: store,
		now:   time.Now,
	}
}

// BookRequest is an operator's request to book a document.
type BookRequest struct {
	File   string
	Text   []byte
	Team   string // book only this section; empty for all
	Author string
}

// Book checks a document and books its sections one by one. If a section fails, it
// returns the sections booked before along with the error.
func (b *Booker) Book(ctx context.Context, o BookRequest) ([]Booked, error) {
	sections, findings := document.Parse(o.File, o.Text)
	if len(findings) > 0 {
		return nil, findings
	}
	sections = filterByTeam(sections, o.Team)
	if len(sections) == 0 {
		return nil, finding.List{{
			File:    o.File,
			Section: o.Team,
			Text:    "the document has no such section",
		}}
	}
	if err := b.refresh(ctx); err != nil {
		return nil, errors.Annotate(err, "read sections from the table")
	}
	if conflicts := b.ownershipConflicts(o.File, sections); len(conflicts) > 0 {
		return nil, conflicts
	}
	var booked []Booked
	for _, s := range sections {
		result, err := b.book(ctx, s, o.Author)
		if err != nil {
			return booked, err
		}
		booked = append(booked, result)
	}
	return booked, nil
}

func filterByTeam(sections []document.Section, team string) []document.Section {
	var kept []document.Section
	for _, s := range sections {
		if team == "" || s.Team == team {
			kept = append(kept, s)
		}
	}
	return kept
}

// refresh reads the rows that changed in the table, so that the checks see what other
// operators booked.
func (b *Booker) refresh(ctx context.Context) error {
	feed, err := b.table.Changes(ctx, Prefix, b.store.Revision(), 0)
	if err != nil {
		return errors.Trace(err)
	}
	b.store.merge(feed.Revision, feed.Rows)
	return nil
}

// ownershipConflicts reports services that the newest version of another team's section owns.
func (b *Booker) ownershipConflicts(file string, sections []document.Section) finding.List {
	owners := map[string]string{}
	for _, r := range b.store.Records() {
		for _, service := range r.Latest().Services {
			owners[service] = r.Team
		}
	}
	var findings finding.List
	for _, s := range sections {
		for _, service := range s.Services {
			if owner, ok := owners[service]; ok && owner != s.Team {
				findings = append(findings, finding.Finding{
					File:    file,
					Line:    s.Line,
					Section: s.Team,
					Key:     "services",
					Text:    "service " + service + " is already listed in section [" + owner + "]",
				})
			}
		}
	}
	return findings
}

// confirmAttempts bounds how often a write with an unknown outcome is read back.
const confirmAttempts = 5

// confirmInterval is the time between those reads, for a platform that lost an answer to
// recover.
const confirmInterval = 200 * time.Millisecond

func (b *Booker) book(ctx context.Context, s document.Section, author string) (Booked, error) {
	change := uuid.NewString()
	key := Prefix + s.Team
	row, record, err := b.readSection(ctx, key, s.Team)
	if err != nil {
		return Booked{}, errors.Annotatef(err, "read section [%s]", s.Team)
	}
	next, err := record.WithBooking(document.Booking{
		Section:  s,
		ChangeID: change,
		Author:   author,
		Now:      b.now().UTC(),
	})
	if err != nil {
		return Booked{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Booked{}, errors.Annotate(err, "encode section")
	}
	written, err := b.table.Put(ctx, platform.Write{
		Key:     key,
		Version: row.Version,
		Value:   value,
	})
	switch {
	case err == nil:
		b.store.merge(0, []platform.Row{written})
		return newBooked(s.Team, next.Latest()), nil
	case errors.Is(err, platform.ErrConflict):
		return b.resolveConflict(s.Team, change, written)
	case errors.Is(err, platform.ErrUnknownOutcome):
		return b.confirmWrite(ctx, key, s.Team, change)
	}
	return Booked{}, errors.Annotatef(err, "section [%s] is not booked", s.Team)
}

func newBooked(team string, e document.Entry) Booked {
	return Booked{
		Team:    team,
		Version: e.Version,
		Active:  e.Active,
		Change:  e.ChangeID,
	}
}

func (b *Booker) readSection(ctx context.Context, key, team string) (platform.Row, document.Record, error) {
	row, err := b.table.Get(ctx, key)
	if errors.Is(err, platform.ErrMissing) {
		return platform.Row{}, document.Record{Team: team}, nil
	}
	if err != nil {
		return row, document.Record{}, err
	}
	var record document.Record
	err = json.Unmarshal(row.Value, &record)
	return row, record, errors.Annotate(err, "read row")
}

// resolveConflict handles a write that found another version. If that version includes the
// change, the change is booked; otherwise the error names the version that won.
func (b *Booker) resolveConflict(team, change string, row platform.Row) (Booked, error) {
	var record document.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Booked{}, errors.Annotate(err, "read row")
	}
	if e, ok := record.FindChange(change); ok {
		return newBooked(team, e), nil
	}
	latest := record.Latest()
	return Booked{}, document.Conflict{
		Team:    team,
		Version: latest.Version,
		Text:    "was booked by " + latest.Author + " at the same time",
	}
}

// confirmWrite reads a section back after a write with an unknown outcome, and looks for the
// ID of the change.
func (b *Booker) confirmWrite(ctx context.Context, key, team, change string) (Booked, error) {
	var lastErr error
	for range confirmAttempts {
		row, record, err := b.readSection(ctx, key, team)
		if err == nil {
			if e, ok := record.FindChange(change); ok {
				b.store.merge(0, []platform.Row{row})
				return newBooked(team, e), nil
			}
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return Booked{}, errors.Annotatef(platform.ErrUnknownOutcome, "section [%s], change %s", team, change)
		case <-time.After(confirmInterval):
		}
	}
	if lastErr != nil {
		return Booked{}, errors.Annotatef(platform.ErrUnknownOutcome, "section [%s], change %s", team, change)
	}
	return Booked{}, errors.Annotatef(platform.ErrUnknownOutcome, "section [%s], change %s not found in the table yet; read the section back before booking again", team, change)
}

// Show returns the newest accepted versions as INI text, for one team or, if team is
// empty, for all.
func (b *Booker) Show(team string) string {
	var parts []string
	for _, r := range b.store.Records() {
		if team == "" || team == r.Team {
			parts = append(parts, r.Latest().Text(r.Team))
		}
	}
	return strings.Join(parts, "\n")
}
