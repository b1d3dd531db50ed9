package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

const (
	// lossRetention exceeds the time for which callers submit a job again.
	lossRetention = time.Minute
	// maxLosses bounds the retained losses; the oldest are evicted first.
	maxLosses = 1000
	// maxCrashes is the number of crashed servers from which a task is not started again.
	maxCrashes = 2
)

// LossMsg reports the loss of a server, or its fate, to a home.
type LossMsg struct {
	Loss  pool.Loss
	Fate  pool.Fate
	Tasks []string // names of the tasks that it may have been running
}

func (LossMsg) scheduleMsg() {}

// lostServer is a loss of a server with the tasks that may have caused it.
type lostServer struct {
	pool.Loss

	fate  pool.Fate
	tasks []string
	seen  time.Time // on this host's clock
}

// suspects are the tasks on lost servers. A task that was on maxCrashes servers that crashed is
// a culprit: it is not started again, and the other tasks on its servers are no longer
// suspected because of these.
type suspects struct {
	losses   map[pool.Loss]*lostServer
	byTask   map[string][]*lostServer // by task name
	byJob    map[string]int           // number of names in byTask, by job ID
	culprits map[string]bool          // by task name
}

func newSuspects() suspects {
	return suspects{
		losses:   map[pool.Loss]*lostServer{},
		byTask:   map[string][]*lostServer{},
		byJob:    map[string]int{},
		culprits: map[string]bool{},
	}
}

// jobOfTask returns the ID of the job that a task belongs to.
func jobOfTask(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}

// add records a loss, or more about a known one, and returns the names of new culprits.
func (s *suspects) add(now time.Time, msg LossMsg) []string {
	l := s.losses[msg.Loss]
	if l == nil {
		s.evict(now)
		l = &lostServer{
			Loss: msg.Loss,
			seen: now,
		}
		s.losses[msg.Loss] = l
	}
	l.fate = max(l.fate, msg.Fate)
	for _, name := range msg.Tasks {
		if slices.Contains(l.tasks, name) {
			continue
		}
		l.tasks = append(l.tasks, name)
		if len(s.byTask[name]) == 0 {
			s.byJob[jobOfTask(name)]++
		}
		s.byTask[name] = append(s.byTask[name], l)
	}
	var found []string
	for _, name := range l.tasks {
		if crashed, _ := s.count(name); crashed >= maxCrashes && !s.culprits[name] {
			found = append(found, name)
		}
	}
	for _, name := range found {
		s.culprits[name] = true
	}
	return found
}

// evict removes the losses that are no longer retained, and the oldest if there are too many.
func (s *suspects) evict(now time.Time) {
	var oldest *lostServer
	for _, l := range s.losses {
		if now.Sub(l.seen) >= lossRetention {
			s.remove(l)
		} else if oldest == nil || l.seen.Before(oldest.seen) {
			oldest = l
		}
	}
	if len(s.losses) >= maxLosses {
		s.remove(oldest)
	}
}

func (s *suspects) remove(l *lostServer) {
	delete(s.losses, l.Loss)
	for _, name := range l.tasks {
		s.byTask[name] = slices.DeleteFunc(s.byTask[name], func(o *lostServer) bool { return o == l })
		if len(s.byTask[name]) > 0 {
			continue
		}
		delete(s.byTask, name)
		delete(s.culprits, name)
		id := jobOfTask(name)
		if s.byJob[id]--; s.byJob[id] == 0 {
			delete(s.byJob, id)
		}
	}
}

// count returns the number of servers that crashed under a task, and of those lost under it
// whose fate is unknown. Servers that crashed under a culprit count for no other task.
func (s *suspects) count(name string) (crashed, unresolved int) {
	for i, l := range s.byTask[name] {
		switch {
		case l.fate == pool.FateAlive:
		case slices.ContainsFunc(l.tasks, func(o string) bool { return o != name && s.culprits[o] }):
		case slices.ContainsFunc(s.byTask[name][:i], func(o *lostServer) bool { return o.Server == l.Server && o.StartedAt == l.StartedAt }):
		case l.fate == pool.FateCrashed:
			crashed++
		default:
			unresolved++
		}
	}
	return crashed, unresolved
}

// culprit returns the name of a job's task that is not started again, or "".
func (s *suspects) culprit(id string) string {
	if s.byJob[id] == 0 {
		return ""
	}
	for _, name := range slices.Sorted(maps.Keys(s.culprits)) {
		if jobOfTask(name) == id {
			return name
		}
	}
	return ""
}

// suspected reports whether a task may crash servers, and whether it must wait until the fate
// of the servers on which it was lost is known.
func (s *suspects) suspected(name string) (suspect, blocked bool) {
	crashed, unresolved := s.count(name)
	return crashed+unresolved > 0, crashed+unresolved >= maxCrashes
}

// recordLoss records a loss of a server or its fate, and aborts the jobs of the tasks that now
// count as culprits.
func (m *Model) recordLoss(now time.Time, msg LossMsg) []Cmd {
	var cmds []Cmd
	for _, name := range m.suspects.add(now, msg) {
		id := jobOfTask(name)
		cmds = append(cmds, LogCmd{
			ID:     id,
			Event:  "task not started again",
			Reason: core.ReasonCrashes,
			Detail: name + " at " + m.suspects.describe(name),
		})
		if j := m.jobs[id]; j != nil {
			cmds = append(cmds, m.finish(now, j, crashesOutcome())...)
		}
	}
	return cmds
}

// recordEndLoss records the loss of the server that a run ended with.
func (m *Model) recordEndLoss(now time.Time, msg EndMsg) []Cmd {
	if msg.Loss == (pool.Loss{}) {
		return nil
	}
	return m.recordLoss(now, LossMsg{
		Loss:  msg.Loss,
		Fate:  msg.Fate,
		Tasks: []string{msg.Task.Name()},
	})
}

// crashesOutcome is broken, not failed: a task may have shared its servers with others that
// crashed them, and only ends that servers list as failed count as its attempts.
func crashesOutcome() work.Outcome {
	return work.Outcome{
		State:  work.Broken,
		Reason: core.ReasonCrashes,
	}
}

// describe lists the servers that crashed under a task.
func (s *suspects) describe(name string) string {
	var texts []string
	for _, l := range s.byTask[name] {
		if l.fate == pool.FateCrashed {
			texts = append(texts, fmt.Sprintf("%s born %d", l.Server, l.StartedAt))
		}
	}
	return strings.Join(texts, ", ")
}

// Losses returns what is known of lost servers, for homes that may not know it.
func (m *Model) Losses() []LossMsg {
	losses := make([]LossMsg, 0, len(m.suspects.losses))
	for _, l := range m.suspects.losses {
		losses = append(losses, LossMsg{
			Loss:  l.Loss,
			Fate:  l.fate,
			Tasks: slices.Clone(l.tasks),
		})
	}
	slices.SortFunc(losses, func(a, b LossMsg) int {
		return cmp.Or(cmp.Compare(a.Loss.SeenAt, b.Loss.SeenAt), cmp.Compare(a.Loss.Server, b.Loss.Server))
	})
	return losses
}

// Replaced returns the losses of unknown fate that prove to be crashes, given the start of the
// process that last returned its lists in Unix milliseconds, or 0, by server ID. An entry in the
// list of servers proves none, as it may be ahead of its process.
func (m *Model) Replaced(startedAt func(server string) int64) []LossMsg {
	var replaced []LossMsg
	for _, l := range m.Losses() {
		if l.Fate == pool.FateUnknown && l.Loss.StartedAt > 0 && startedAt(l.Loss.Server) > l.Loss.StartedAt {
			l.Fate = pool.FateCrashed
			replaced = append(replaced, l)
		}
	}
	return replaced
}
