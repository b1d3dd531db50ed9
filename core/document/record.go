package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Entry is an accepted version of a section.
type Entry struct {
	Version  int       `json:"version"`
	ChangeID string    `json:"change"` // unique ID, to detect whether a write without a reply was applied
	Author   string    `json:"author"`
	Booked   time.Time `json:"booked"`
	Active   time.Time `json:"active"`
	Services []string  `json:"services"`
	Workers  int       `json:"workers,omitempty"`
	Capacity int       `json:"capacity,omitempty"`
	Quota    int       `json:"quota,omitempty"`
	Weight   float64   `json:"weight"`
}

// Record is a team's row in the table, with its versions in ascending order.
type Record struct {
	Team    string  `json:"team"`
	Entries []Entry `json:"entries"`
}

// maxEntries is the number of versions beyond which a row drops superseded ones.
const maxEntries = 50

// Conflict is returned if a section has changed since the operator read it, or if the
// new version would become active before the previous one.
type Conflict struct {
	Team    string `json:"team"`
	Version int    `json:"version"` // latest accepted version
	Text    string `json:"text"`
}

// Error returns the conflict with its section and the latest accepted version.
func (c Conflict) Error() string {
	return fmt.Sprintf("[%s] version %d: %s", c.Team, c.Version, c.Text)
}

// Latest returns the newest accepted version, whether or not it is in force.
func (r Record) Latest() Entry {
	if len(r.Entries) == 0 {
		return Entry{}
	}
	return r.Entries[len(r.Entries)-1]
}

// FindChange returns the entry that a change ID created.
func (r Record) FindChange(change string) (Entry, bool) {
	for _, e := range r.Entries {
		if e.ChangeID == change {
			return e, true
		}
	}
	return Entry{}, false
}

// Booking is a request to add a version of a section.
type Booking struct {
	Section  Section
	ChangeID string
	Author   string
	Now      time.Time
}

// WithBooking returns a copy of the record with one more version, or a Conflict.
//
// A version may not become active before the previous one, because the older one
// would then replace it later.
func (r Record) WithBooking(b Booking) (Record, error) {
	latest := r.Latest()
	s := b.Section
	if s.Version != 0 && s.Version != latest.Version {
		return r, Conflict{
			Team:    s.Team,
			Version: latest.Version,
			Text:    fmt.Sprintf("the submitted section is based on outdated version %d", s.Version),
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
			Text:    fmt.Sprintf("it becomes active at %s, later than the new version", latest.Active.Format(time.RFC3339)),
		}
	}
	return r.withEntry(Entry{
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

func (r Record) withEntry(e Entry) Record {
	entries := append([]Entry{}, r.Entries...)
	entries = append(entries, e)
	// Drop only versions that were already superseded.
	for len(entries) > maxEntries && entries[1].Active.Before(e.Booked) {
		entries = entries[1:]
	}
	return Record{
		Team:    r.Team,
		Entries: entries,
	}
}

// Text formats an entry as a section of the document.
func (e Entry) Text(team string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", team)
	writeLine := func(key, value string) { fmt.Fprintf(&b, "%s = %s\n", key, value) }
	writeLine(keyVersion, strconv.Itoa(e.Version))
	writeLine(keyServices, strings.Join(e.Services, ", "))
	writeLine(keyWorkers, strconv.Itoa(e.Workers))
	writeLine(keyCapacity, strconv.Itoa(e.Capacity))
	writeLine(keyQuota, strconv.Itoa(e.Quota))
	writeLine(keyWeight, strconv.FormatFloat(e.Weight, 'g', -1, 64))
	writeLine(keyActive, e.Active.Format(time.RFC3339))
	return b.String()
}
