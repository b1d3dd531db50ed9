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

// Prefix starts the key of every row of the document.
const Prefix = "section/"

// Table is the part of the platform that bookings need.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Put(ctx context.Context, w platform.Write) (platform.Row, error)
	Changes(ctx context.Context, prefix string, since int, timeout time.Duration) (platform.Feed, error)
}

// Booked says what became of one section of a booking.
type Booked struct {
	Team    string    `json:"team"`
	Version int       `json:"version"`
	Active  time.Time `json:"active"`
	Change  string    `json:"change"`
}

// Booker writes changes to the table.
type Booker struct {
	table Table
	store *Store
	now   func() time.Time
}

// NewBooker returns a booker.
func NewBooker(table Table, store *Store) *Booker {
	return &Booker{
		table: table,
		store: store,
		now:   time.Now,
	}
}

// BookRequest is what an operator asks to book.
type BookRequest struct {
	File   string
	Text   []byte
	Team   string // book only this section; empty for all
	Author string
}

// Book checks a document and books its sections one by one. It returns what
// was booked even when a later section fails.
func (b *Booker) Book(ctx context.Context, o BookRequest) ([]Booked, error) {
	sections, findings := document.Parse(o.File, o.Text)
	if len(findings) > 0 {
		return nil, findings
	}
	sections = only(sections, o.Team)
	if len(sections) == 0 {
		return nil, finding.List{{
			File:    o.File,
			Section: o.Team,
			Text:    "the document has no such section",
		}}
	}
	if err := b.refresh(ctx); err != nil {
		return nil, errors.Annotate(err, "read the sections in the table")
	}
	if taken := b.taken(o.File, sections); len(taken) > 0 {
		return nil, taken
	}
	var booked []Booked
	for _, s := range sections {
		done, err := b.book(ctx, s, o.Author)
		if err != nil {
			return booked, err
		}
		booked = append(booked, done)
	}
	return booked, nil
}

func only(sections []document.Section, team string) []document.Section {
	var kept []document.Section
	for _, s := range sections {
		if team == "" || s.Team == team {
			kept = append(kept, s)
		}
	}
	return kept
}

// refresh reads all rows, so that the checks see what others booked.
func (b *Booker) refresh(ctx context.Context) error {
	feed, err := b.table.Changes(ctx, Prefix, b.store.Revision(), 0)
	if err != nil {
		return errors.Trace(err)
	}
	b.store.learn(feed.Revision, feed.Rows)
	return nil
}

// taken reports services that another team's newest version owns.
func (b *Booker) taken(file string, sections []document.Section) finding.List {
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
					Text:    "service " + service + " belongs to [" + owner + "]",
				})
			}
		}
	}
	return findings
}

// bookTries bounds how often an unclear write is read back.
const bookTries = 5

// bookPause lets a platform that lost an answer settle.
const bookPause = 200 * time.Millisecond

func (b *Booker) book(ctx context.Context, s document.Section, author string) (Booked, error) {
	change := uuid.NewString()
	key := Prefix + s.Team
	row, record, err := b.read(ctx, key, s.Team)
	if err != nil {
		return Booked{}, errors.Annotatef(err, "read section [%s]", s.Team)
	}
	next, err := record.WithBooking(document.Booking{
		Section: s,
		Change:  change,
		Author:  author,
		Now:     b.now().UTC(),
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
		b.store.learn(0, []platform.Row{written})
		return bookedOf(s.Team, next.Latest()), nil
	case errors.Is(err, platform.ErrConflict):
		return b.raced(s.Team, change, written)
	case errors.Is(err, platform.ErrUnclear):
		return b.settle(ctx, key, s.Team, change)
	}
	return Booked{}, errors.Annotatef(err, "section [%s] is not booked", s.Team)
}

func bookedOf(team string, e document.Entry) Booked {
	return Booked{
		Team:    team,
		Version: e.Version,
		Active:  e.Active,
		Change:  e.Change,
	}
}

func (b *Booker) read(ctx context.Context, key, team string) (platform.Row, document.Record, error) {
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

// raced names the version that won.
func (b *Booker) raced(team, change string, row platform.Row) (Booked, error) {
	var record document.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Booked{}, errors.Annotate(err, "read row")
	}
	if e, ok := record.Find(change); ok {
		return bookedOf(team, e), nil
	}
	latest := record.Latest()
	return Booked{}, document.Conflict{
		Team:    team,
		Version: latest.Version,
		Text:    "was booked by " + latest.Author + " at the same time",
	}
}

// settle reads an unclear write back by its change.
func (b *Booker) settle(ctx context.Context, key, team, change string) (Booked, error) {
	var last error
	for range bookTries {
		row, record, err := b.read(ctx, key, team)
		if err == nil {
			if e, ok := record.Find(change); ok {
				b.store.learn(0, []platform.Row{row})
				return bookedOf(team, e), nil
			}
		}
		last = err
		select {
		case <-ctx.Done():
			return Booked{}, errors.Annotatef(platform.ErrUnclear, "section [%s], change %s", team, change)
		case <-time.After(bookPause):
		}
	}
	if last != nil {
		return Booked{}, errors.Annotatef(platform.ErrUnclear, "section [%s], change %s", team, change)
	}
	return Booked{}, errors.Annotatef(platform.ErrUnclear, "section [%s], change %s isn't in the table yet; read it back before booking again", team, change)
}

// Show returns the document's newest accepted versions as INI text.
func (b *Booker) Show(team string) string {
	var parts []string
	for _, r := range b.store.Records() {
		if team == "" || team == r.Team {
			parts = append(parts, r.Latest().Text(r.Team))
		}
	}
	return strings.Join(parts, "\n")
}
