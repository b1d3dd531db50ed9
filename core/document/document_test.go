package document

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestParseFindings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{
			name: "good",
			text: "[guild]\nservices = valuation, provenance\nquota = 5\nactive = 2027-01-31T02:00:00Z\n",
		},
		{
			name: "several findings, sorted by line",
			text: "[Guild]\nservices = a,b c\nquota = -1\nweight = NaN\nactive = tomorrow\ncolor = red\n",
			want: []string{
				`doc.ini:1: [Guild] invalid team name "Guild": must be 1 to 63 characters from a-z, 0-9 and -, and not start with -`,
				`doc.ini:2: [Guild] services: invalid service name "b c": must be 1 to 63 characters from a-z, 0-9 and -, and not start with -`,
				`doc.ini:3: [Guild] quota: "-1" is not an integer from 0 to 10000000`,
				`doc.ini:4: [Guild] weight: "NaN" is not a number from 0.01 to 1000`,
				`doc.ini:5: [Guild] active: "tomorrow" is not an RFC 3339 time such as 2027-01-31T02:00:00Z`,
				`doc.ini:6: [Guild] color: unknown key`,
			},
		},
		{
			name: "one service in two sections",
			text: "[a]\nservices = x\n[b]\nservices = x\n",
			want: []string{"doc.ini:4: [b] services: service x is already listed in section [a]"},
		},
		{
			name: "duplicate section and key, malformed line",
			text: "[a]\nservices = x\nservices = y\n[a]\nnonsense\n",
			want: []string{
				"doc.ini:3: [a] services: duplicate key",
				"doc.ini:4: [a] duplicate section",
				"doc.ini:5: [a] line is neither a [section] header nor key = value",
			},
		},
		{
			name: "no services",
			text: "\n[a]\nquota = 1\n",
			want: []string{"doc.ini:2: [a] services: required key is missing"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, findings := Parse("doc.ini", []byte(test.text))
			var got []string
			for _, f := range findings {
				got = append(got, f.String())
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestEntryTextParses checks that the text of an entry, which an operator may edit and
// submit again, is a valid document with the same values.
func TestEntryTextParses(t *testing.T) {
	e := Entry{
		Version:  3,
		Services: []string{"a", "b"},
		Quota:    7,
		Weight:   1.5,
		Active:   now,
	}
	sections, findings := Parse("doc.ini", []byte(e.Text("guild")))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, sections[0].Version, 3)
	assert.DeepEqual(t, sections[0].Services, e.Services)
	assert.Assert(t, sections[0].Active.Equal(now))
}

// FuzzParse checks that Parse never panics and that each finding names its file.
func FuzzParse(f *testing.F) {
	f.Add("[guild]\nservices = a\n")
	f.Add("[a\n]=\n[\x00]\nservices=\n")
	f.Add("key = before any section\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, findings := Parse("doc.ini", []byte(text))
		for _, finding := range findings {
			assert.Equal(t, finding.File, "doc.ini")
		}
	})
}

func TestBooking(t *testing.T) {
	later := now.Add(time.Hour)
	tests := []struct {
		name    string
		record  Record
		section Section
		want    string
	}{
		{
			name:    "first version",
			section: Section{Team: "guild"},
		},
		{
			name:   "based on an outdated version",
			record: recordOf(now, now),
			section: Section{
				Team:    "guild",
				Version: 1,
			},
			want: "[guild] version 2: the submitted section is based on outdated version 1",
		},
		{
			name:    "active before the previous version",
			record:  recordOf(later),
			section: Section{Team: "guild"},
			want:    "[guild] version 1: it becomes active at 2026-12-04T01:00:00Z, later than the new version",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, err := test.record.WithBooking(Booking{
				Section: test.section,
				Now:     now,
			})
			if test.want != "" {
				assert.Error(t, err, test.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, next.Latest().Version, test.record.Latest().Version+1)
			assert.Assert(t, !next.Latest().Active.Before(now))
		})
	}
}

// recordOf returns a record with one version for each activation time.
func recordOf(active ...time.Time) Record {
	r := Record{Team: "guild"}
	for i, at := range active {
		r.Entries = append(r.Entries, Entry{
			Version: i + 1,
			Active:  at,
		})
	}
	return r
}

// TestModelNeverReverts feeds the Model rows in random order, including stale ones,
// while the clock jumps forwards and backwards. It compares the version in force with
// the highest version that was ever due.
func TestModelNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var active []time.Time
		at := now
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			at = at.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Second)
			active = append(active, at)
		}
		m := New()
		inForce, newest := 0, 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			clock := now.Add(time.Duration(rapid.IntRange(-30, 600).Draw(t, "clock")) * time.Second)
			if rapid.Bool().Draw(t, "offer") {
				n := rapid.IntRange(1, len(active)).Draw(t, "row")
				m.Update(clock, RecordMsg{Record: recordOf(active[:n]...)})
				newest = max(newest, n)
			} else {
				m.Update(clock, TickMsg{})
			}
			for version := 1; version <= newest; version++ {
				if !clock.Before(active[version-1]) {
					inForce = max(inForce, version)
				}
			}
			got := 0
			if list := m.InForce(); len(list) > 0 {
				got = list[0].Entry.Version
			}
			assert.Equal(t, got, inForce)
		}
	})
}
