package document

import (
	"maps"
	"slices"
	"time"
)

// Msg is an input of Update.
type Msg interface{ documentMsg() }

// RecordMsg carries a team's row, read from the table or received from a peer.
type RecordMsg struct{ Record Record }

// TickMsg activates versions whose activation time has come.
type TickMsg struct{}

func (RecordMsg) documentMsg() {}
func (TickMsg) documentMsg()   {}

// Cmd is an action that the caller of Update must execute.
type Cmd interface{ documentCmd() }

// ApplyCmd reports that a version came into force.
type ApplyCmd struct {
	Team  string
	Entry Entry
}

func (ApplyCmd) documentCmd() {}

// InForce is the version of a section that is in force on a host.
type InForce struct {
	Team  string    `json:"team"`
	Entry Entry     `json:"entry"`
	Since time.Time `json:"since"` // when this host applied it
}

// Model is one host's state of the document. The version in force never decreases:
// neither a stale row nor a clock that is set back reverts it.
type Model struct {
	records map[string]Record
	inForce map[string]InForce
}

// New returns a Model without sections.
func New() *Model {
	return &Model{
		records: map[string]Record{},
		inForce: map[string]InForce{},
	}
}

// Update processes a message and returns an ApplyCmd for each version that came into
// force.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if msg, ok := msg.(RecordMsg); ok {
		m.storeIfNewer(msg.Record)
	}
	var cmds []Cmd
	for _, team := range slices.Sorted(maps.Keys(m.records)) {
		cmds = append(cmds, m.advance(now, team)...)
	}
	return cmds
}

func (m *Model) storeIfNewer(r Record) {
	if r.Latest().Version > m.records[r.Team].Latest().Version {
		m.records[r.Team] = r
	}
}

// advance applies the newest version whose activation time has come.
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

// Records returns all sections with their versions, sorted by team.
func (m *Model) Records() []Record {
	records := make([]Record, 0, len(m.records))
	for _, team := range slices.Sorted(maps.Keys(m.records)) {
		records = append(records, m.records[team])
	}
	return records
}

// InForce returns the versions in force on this host, sorted by team.
func (m *Model) InForce() []InForce {
	list := make([]InForce, 0, len(m.inForce))
	for _, team := range slices.Sorted(maps.Keys(m.inForce)) {
		list = append(list, m.inForce[team])
	}
	return list
}
