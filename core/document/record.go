package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Entry is one accepted version of a section.
type Entry struct {
	Version  int       `json:"version"`
	ChangeID string    `json:"change"` // unique, to settle unclear writes
	Author   string    `json:"author"`
	Booked   time.Time `json:"booked"`
	Active   time.Time `json:"active"`
	Services []string  `json:"services"`
	Workers  int       `json:"workers,omitempty"`
	Capacity int       `json:"capacity,omitempty"`
	Quota    int       `json:"quota,omitempty"`
	Weight   float64   `json:"weight"`
}

// Record is a team's row in the table: its versions, oldest first.
type Record struct {
	Team    string  `json:"team"`
	Entries []Entry `json:"entries"`
}

// entriesKept bounds the past versions that a row keeps.
const entriesKept = 50

// Conflict says that a section was changed since the operator read it, or
// that a booking can't follow the one before it.
type Conflict struct {
	Team    string `json:"team"`
	Version int    `json:"version"` // the latest accepted one
	Text    string `json:"text"`
}

// Error names the section and its latest version.
func (c Conflict) Error() string {
	return fmt.Sprintf("[%s] version %d: %s", c.Team, c.Version, c.Text)
}

// Latest returns the newest accepted version, in force or not.
func (r Record) Latest() Entry {
	if len(r.Entries) == 0 {
		return Entry{}
	}
	return r.Entries[len(r.Entries)-1]
}

// Find returns the entry that a change made.
func (r Record) Find(change string) (Entry, bool) {
	for _, e := range r.Entries {
		if e.ChangeID == change {
			return e, true
		}
	}
	return Entry{}, false
}

// Booking is a section to book and by whom.
type Booking struct {
	Section  Section
	ChangeID string
	Author   string
	Now      time.Time
}

// WithBooking returns a copy with one more version, or a Conflict.
//
// A version may not become active before the one it follows, or else the
// older one would replace it later.
func (r Record) WithBooking(b Booking) (Record, error) {
	latest := r.Latest()
	s := b.Section
	if s.Version != 0 && s.Version != latest.Version {
		return r, Conflict{
			Team:    s.Team,
			Version: latest.Version,
			Text:    fmt.Sprintf("the section was edited from version %d", s.Version),
		}
	}
	active := s.Active
	if active.Before(b.Now) {
		active = b.Now
	}
	if active.Before(latest.Active) {
		return r, Conflict{
			Team:    s.Team,
			Version: latest.Version,
			Text:    fmt.Sprintf("it becomes active at %s, and the new version before that", latest.Active.Format(time.RFC3339)),
		}
	}
	return r.with(Entry{
		Version:  latest.Version + 1,
		ChangeID: b.ChangeID,
		Author:   b.Author,
		Booked:   b.Now,
		Active:   active,
		Services: s.Services,
		Workers:  s.Workers,
		Capacity: s.Capacity,
		Quota:    s.Quota,
		Weight:   s.Weight,
	}), nil
}

func (r Record) with(e Entry) Record {
	entries := append([]Entry{}, r.Entries...)
	entries = append(entries, e)
	// Only versions that another one has replaced may be dropped.
	for len(entries) > entriesKept && entries[1].Active.Before(e.Booked) {
		entries = entries[1:]
	}
	return Record{
		Team:    r.Team,
		Entries: entries,
	}
}

// Text returns an entry as a section of the document.
func (e Entry) Text(team string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", team)
	line := func(key, value string) { fmt.Fprintf(&b, "%s = %s\n", key, value) }
	line(keyVersion, strconv.Itoa(e.Version))
	line(keyServices, strings.Join(e.Services, ", "))
	line(keyWorkers, strconv.Itoa(e.Workers))
	line(keyCapacity, strconv.Itoa(e.Capacity))
	line(keyQuota, strconv.Itoa(e.Quota))
	line(keyWeight, strconv.FormatFloat(e.Weight, 'g', -1, 64))
	line(keyActive, e.Active.Format(time.RFC3339))
	return b.String()
}
