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

// WeightSetter receives the teams' scheduling weights.
type WeightSetter interface {
	SetWeights(weights map[string]float64)
}

// Store is this host's replica of the document's rows.
type Store struct {
	weightSetter WeightSetter
	log          logr.Logger
	now          func() time.Time

	mu            sync.Mutex
	model         *document.Model
	rows          map[string]platform.Row
	revision      int
	fingerprint   uint64
	quotas        map[string]int // by team, from the versions in force
	onQuotaChange func(quotas map[string]int)
	owners        map[string]string // team by service, from the versions in force
}

// New returns an empty store.
func New(weightSetter WeightSetter, log logr.Logger) *Store {
	return &Store{
		weightSetter: weightSetter,
		log:          log.WithName("config"),
		now:          time.Now,
		model:        document.New(),
		rows:         map[string]platform.Row{},
		owners:       map[string]string{},
	}
}

// Revision returns the table revision up to which this host has every row.
func (s *Store) Revision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Owner returns the team that owns a service, or the service's name if no team does.
func (s *Store) Owner(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if team, ok := s.owners[service]; ok {
		return team
	}
	return service
}

// Print returns a fingerprint of the rows held. Hosts with equal fingerprints hold the
// same versions of the same rows.
func (s *Store) Print() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(int64(s.fingerprint))
}

// rowHash returns one row's contribution to the fingerprint. Contributions are combined by
// XOR, so their order doesn't matter and each can be removed again.
func rowHash(key string, version int) uint64 {
	return xxhash.Sum64String(key + "\x00" + strconv.Itoa(version))
}

// Versions returns the key and version of each row held.
func (s *Store) Versions() []wire.Mark {
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

// Newer returns the rows that a peer lacks or has in an older version.
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

// Merge adds the newer ones of the rows that a peer sent.
func (s *Store) Merge(rows []wire.Row) {
	converted := make([]platform.Row, 0, len(rows))
	for _, r := range rows {
		converted = append(converted, platform.Row{
			Key:      r.Key,
			Version:  r.Version,
			Revision: r.Revision,
			Value:    r.Value,
		})
	}
	s.merge(0, converted)
}

// merge adds rows that are newer than those held. Only the table's feed is complete up to
// a revision, so rows from other sources come with revision 0.
func (s *Store) merge(revision int, rows []platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Version <= s.rows[r.Key].Version {
			continue
		}
		var record document.Record
		if err := json.Unmarshal(r.Value, &record); err != nil {
			s.log.Error(err, "configuration row could not be decoded", "key", r.Key, "version", r.Version)
			continue
		}
		if old, known := s.rows[r.Key]; known {
			s.fingerprint ^= rowHash(r.Key, old.Version)
		}
		s.fingerprint ^= rowHash(r.Key, r.Version)
		s.rows[r.Key] = r
		s.apply(s.model.Update(s.now(), document.RecordMsg{Record: record}))
	}
	s.revision = max(s.revision, revision)
}

// tick activates booked changes whose date has come.
func (s *Store) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.model.Update(s.now(), document.TickMsg{}))
}

// apply carries out the model's commands. The lock must be held, so that two changes can't
// be applied out of order.
func (s *Store) apply(cmds []document.Cmd) {
	for _, cmd := range cmds {
		if cmd, ok := cmd.(document.ApplyCmd); ok {
			s.log.Info("configuration change in force", "team", cmd.Team, "version", cmd.Entry.Version, "change", cmd.Entry.ChangeID)
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
	s.weightSetter.SetWeights(weights)
	if s.onQuotaChange != nil {
		s.onQuotaChange(quotas)
	}
}

// OnQuotaChange registers a function to be called with the quotas whenever they change. It
// is called with the store's lock held, and must not call the store.
func (s *Store) OnQuotaChange(onChange func(quotas map[string]int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onQuotaChange = onChange
}

// Quotas returns the quotas in force, by team; a team without one has no limit.
func (s *Store) Quotas() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas
}

// InForce returns the versions in force at this host.
func (s *Store) InForce() []document.InForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.InForce()
}

// Records returns all sections with their versions that this host knows.
func (s *Store) Records() []document.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Records()
}
