package config

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core/document"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/wire"
)

// Teams takes the teams' weights and quotas.
type Teams interface {
	SetTeams(weights map[string]float64, quotas map[string]int)
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

// Newer returns the rows changed since a revision, for a peer.
func (s *Store) Newer(since int) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []wire.Row
	for _, r := range s.rows {
		if r.Revision > since {
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

// Offer takes rows from a peer that has every row up to a revision.
func (s *Store) Offer(revision int, rows []wire.Row) {
	converted := make([]platform.Row, 0, len(rows))
	for _, r := range rows {
		converted = append(converted, platform.Row{
			Key:      r.Key,
			Version:  r.Version,
			Revision: r.Revision,
			Value:    r.Value,
		})
	}
	s.learn(revision, converted)
}

// learn takes rows; a revision of 0 says that rows in between may be missing.
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
			s.log.Info("change in force", "team", cmd.Team, "version", cmd.Entry.Version, "change", cmd.Entry.Change)
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
	s.owners = owners
	s.teams.SetTeams(weights, quotas)
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
