package queue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarywalk/core/ticket"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func jobOf(sequence uint64, team string, tasks int, at time.Duration) Job {
	return Job{
		ID:      ticket.ID{Sequence: sequence},
		Team:    team,
		Tasks:   tasks,
		Arrived: begin.Add(at),
	}
}

// TestQueueAgainstNaive holds the heap against a search of all jobs, for one
// team, with tasks given back and jobs removed in between.
func TestQueueAgainstNaive(t *testing.T) {
	const perTask = 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		q := New(perTask)
		waiting := map[uint64]map[int]bool{}
		ranks := map[uint64]time.Time{}
		var out []Ref
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				j := jobOf(uint64(step), "guild", rapid.IntRange(1, 9).Draw(t, "tasks"), time.Duration(step)*10*time.Millisecond)
				q.Push(j)
				ranks[uint64(step)] = j.Arrived.Add(time.Duration(j.Tasks) * perTask)
				waiting[uint64(step)] = map[int]bool{}
				for i := range j.Tasks {
					waiting[uint64(step)][i] = true
				}
			case 2, 3:
				ref, ok := q.Next()
				want, found := lowest(waiting, ranks)
				assert.Equal(t, ok, found)
				if !ok {
					continue
				}
				assert.Equal(t, ref.ID.Sequence, want)
				assert.Assert(t, waiting[want][ref.Index], "task handed out twice")
				delete(waiting[want], ref.Index)
				out = append(out, ref)
			case 4:
				if len(out) == 0 {
					continue
				}
				ref := out[len(out)-1]
				out = out[:len(out)-1]
				q.Requeue(ref)
				if waiting[ref.ID.Sequence] != nil {
					waiting[ref.ID.Sequence][ref.Index] = true
				}
			case 5:
				target, found := lowest(waiting, ranks)
				if found {
					assert.Equal(t, q.Remove(ticket.ID{Sequence: target}), len(waiting[target]))
					delete(waiting, target)
				}
			}
			sum := 0
			for _, tasks := range waiting {
				sum += len(tasks)
			}
			assert.Equal(t, q.Len(), sum)
		}
	})
}

// lowest searches all jobs with waiting tasks for the one that ranks first.
func lowest(waiting map[uint64]map[int]bool, ranks map[uint64]time.Time) (uint64, bool) {
	var best uint64
	found := false
	for sequence, tasks := range waiting {
		if len(tasks) == 0 {
			continue
		}
		earlier := ranks[sequence].Before(ranks[best]) || (ranks[sequence].Equal(ranks[best]) && sequence < best)
		if !found || earlier {
			best, found = sequence, true
		}
	}
	return best, found
}

// TestTeamsShareByWeight: busy teams start tasks in proportion to their weights.
func TestTeamsShareByWeight(t *testing.T) {
	q := New(0)
	q.Weigh(map[string]float64{"labs": 3})
	q.Push(jobOf(1, "guild", 1000, 0))
	q.Push(jobOf(2, "labs", 1000, 0))
	counts := map[uint64]int{}
	for range 400 {
		ref, _ := q.Next()
		counts[ref.ID.Sequence]++
	}
	assert.Equal(t, counts[1], 100)
	assert.Equal(t, counts[2], 300)
}

// TestIdleTeamSavesNoCredit: a team that comes back doesn't shut out the others.
func TestIdleTeamSavesNoCredit(t *testing.T) {
	q := New(0)
	q.Push(jobOf(1, "guild", 500, 0))
	for range 300 {
		q.Next()
	}
	q.Push(jobOf(2, "labs", 500, 0))
	counts := map[uint64]int{}
	for range 100 {
		ref, _ := q.Next()
		counts[ref.ID.Sequence]++
	}
	assert.Assert(t, counts[1] >= 49 && counts[1] <= 51, "%v", counts)
}

// TestAgeing: however many small jobs arrive, a large one gets its turn.
func TestAgeing(t *testing.T) {
	const perTask = 50 * time.Millisecond
	q := New(perTask)
	q.Push(jobOf(1, "guild", 100, 0))
	for step := range 1000 {
		at := time.Duration(step) * 10 * time.Millisecond
		q.Push(jobOf(uint64(step)+2, "guild", 1, at))
		if ref, _ := q.Next(); ref.ID.Sequence == 1 {
			assert.Assert(t, at <= 100*perTask)
			return
		}
	}
	t.Fatal("the large job never started")
}
