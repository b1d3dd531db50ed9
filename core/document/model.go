package document

import (
	"maps"
	"slices"
	"time"
)

// Msg is something that changes what is in force.
type Msg interface{ documentMsg() }

// RecordMsg is a team's row, from the table or a peer.
type RecordMsg struct{ Record Record }

// TickMsg lets booked dates pass.
type TickMsg struct{}

func (RecordMsg) documentMsg() {}
func (TickMsg) documentMsg()   {}

// Cmd is something for the caller of Update to do.
type Cmd interface{ documentCmd() }

// ApplyCmd says that a version came into force.
type ApplyCmd struct {
	Team  string
	Entry Entry
}

func (ApplyCmd) documentCmd() {}

// InForce is the version of one section that is in force at a host.
type InForce struct {
	Team  string    `json:"team"`
	Entry Entry     `json:"entry"`
	Since time.Time `json:"since"` // when this host applied it
}

// Model is what one host knows of the document. Versions only go up: neither
// a stale row nor a clock that is set back can undo one.
type Model struct {
	records map[string]Record
	inForce map[string]InForce
}

// New returns a Model that knows no section.
func New() *Model {
	return &Model{
		records: map[string]Record{},
		inForce: map[string]InForce{},
	}
}

// Update takes one message and returns the versions that came into force.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if msg, ok := msg.(RecordMsg); ok {
		m.learn(msg.Record)
	}
	var cmds []Cmd
	for _, team := range slices.Sorted(maps.Keys(m.records)) {
		cmds = append(cmds, m.advance(now, team)...)
	}
	return cmds
}

func (m *Model) learn(r Record) {
	if r.Latest().Version > m.records[r.Team].Latest().Version {
		m.records[r.Team] = r
	}
}

// advance applies the newest version whose date has come.
func (m *Model) advance(now time.Time, team string) []Cmd {
	current := m.inForce[team].Entry.Version
	for _, e := range slices.Backward(m.records[team].Entries) {
		if e.Version <= current {
			return nil
		}
		if now.Before(e.Active) {
			continue
		}
		m.inForce[team] = InForce{
			Team:  team,
			Entry: e,
			Since: now,
		}
		return []Cmd{ApplyCmd{
			Team:  team,
			Entry: e,
		}}
	}
	return nil
}

// Records returns all sections with their versions, by team.
func (m *Model) Records() []Record {
	records := make([]Record, 0, len(m.records))
	for _, team := range slices.Sorted(maps.Keys(m.records)) {
		records = append(records, m.records[team])
	}
	return records
}

// InForce returns what is in force here, by team.
func (m *Model) InForce() []InForce {
	list := make([]InForce, 0, len(m.inForce))
	for _, team := range slices.Sorted(maps.Keys(m.inForce)) {
		list = append(list, m.inForce[team])
	}
	return list
}
