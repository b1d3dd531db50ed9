package config

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"rosemarywalk/core/document"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/wire"
)

// Teams takes the teams' weights.
type Teams interface {
	SetWeights(weights map[string]float64)
}

// Store holds the document's rows at this host.
type Store struct {
	teams Teams
	log   logr.Logger
	now   func() time.Time

	mu       sync.Mutex
	model    *document.Model
	rows     map[string]platform.Row
	revision int
	print    uint64
	quotas   map[string]int // by team, of what is in force
	changed  func(quotas map[string]int)
	owners   map[string]string // team by service, of what is in force
}

// New returns an empty store.
func New(teams Teams, log logr.Logger) *Store {
	return &Store{
		teams:  teams,
		log:    log.WithName("config"),
		now:    time.Now,
		model:  document.New(),
		rows:   map[string]platform.Row{},
		owners: map[string]string{},
	}
}

// Revision returns the table revision up to which this host has every row.
func (s *Store) Revision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Owner returns the team that owns a service, or the service's own name.
func (s *Store) Owner(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if team, ok := s.owners[service]; ok {
		return team
	}
	return service
}

// Print returns a fingerprint of the rows held: two hosts with the same one
// have the same versions of the same rows.
func (s *Store) Print() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(int64(s.print))
}

// digest is one row's part of the fingerprint; the parts are combined by
// exclusive or, so their order doesn't matter and each can be taken out again.
func digest(key string, version int) uint64 {
	return xxhash.Sum64String(key + "\x00" + strconv.Itoa(version))
}

// Have returns the versions of the rows held.
func (s *Store) Have() []wire.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks := make([]wire.Mark, 0, len(s.rows))
	for _, r := range s.rows {
		marks = append(marks, wire.Mark{
			Key:     r.Key,
			Version: r.Version,
		})
	}
	return marks
}

// Newer returns the rows that a peer lacks or has an older version of.
func (s *Store) Newer(have []wire.Mark) []wire.Row {
	versions := make(map[string]int, len(have))
	for _, m := range have {
		versions[m.Key] = m.Version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []wire.Row
	for _, r := range s.rows {
		if r.Version > versions[r.Key] {
			rows = append(rows, wire.Row{
				Key:      r.Key,
				Version:  r.Version,
				Revision: r.Revision,
				Value:    r.Value,
			})
		}
	}
	return rows
}

// Offer takes rows from a peer.
func (s *Store) Offer(rows []wire.Row) {
	converted := make([]platform.Row, 0, len(rows))
	for _, r := range rows {
		converted = append(converted, platform.Row{
			Key:      r.Key,
			Version:  r.Version,
			Revision: r.Revision,
			Value:    r.Value,
		})
	}
	s.learn(0, converted)
}

// learn takes rows. Only the table's own feed has every row up to a revision;
// rows from elsewhere come with revision 0.
func (s *Store) learn(revision int, rows []platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Version <= s.rows[r.Key].Version {
			continue
		}
		var record document.Record
		if err := json.Unmarshal(r.Value, &record); err != nil {
			s.log.Error(err, "row can't be read", "key", r.Key, "version", r.Version)
			continue
		}
		if old, known := s.rows[r.Key]; known {
			s.print ^= digest(r.Key, old.Version)
		}
		s.print ^= digest(r.Key, r.Version)
		s.rows[r.Key] = r
		s.run(s.model.Update(s.now(), document.RecordMsg{Record: record}))
	}
	s.revision = max(s.revision, revision)
}

// tick lets booked dates pass.
func (s *Store) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run(s.model.Update(s.now(), document.TickMsg{}))
}

// run runs under the lock, so that two changes can't be applied out of order.
func (s *Store) run(cmds []document.Cmd) {
	for _, cmd := range cmds {
		if cmd, ok := cmd.(document.ApplyCmd); ok {
			s.log.Info("change in force", "team", cmd.Team, "version", cmd.Entry.Version, "change", cmd.Entry.ChangeID)
		}
	}
	if len(cmds) == 0 {
		return
	}
	weights, quotas := map[string]float64{}, map[string]int{}
	owners := map[string]string{}
	for _, f := range s.model.InForce() {
		weights[f.Team] = f.Entry.Weight
		if f.Entry.Quota > 0 {
			quotas[f.Team] = f.Entry.Quota
		}
		for _, service := range f.Entry.Services {
			if _, taken := owners[service]; !taken {
				owners[service] = f.Team
			}
		}
	}
	s.owners, s.quotas = owners, quotas
	s.teams.SetWeights(weights)
	if s.changed != nil {
		s.changed(quotas)
	}
}

// Watch calls a function with the quotas whenever they change. It runs under
// the store's lock, and must not call the store.
func (s *Store) Watch(changed func(quotas map[string]int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = changed
}

// Quotas returns the quotas in force, by team; a team without one has no limit.
func (s *Store) Quotas() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas
}

// InForce returns what is in force at this host.
func (s *Store) InForce() []document.InForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.InForce()
}

// Records returns every section with its versions, as far as known here.
func (s *Store) Records() []document.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Records()
}
