package schedule

import (
	"testing"
	"time"

	"rosemarywalk/core/owner"
)

// exchange announces a job of a home to others and returns the starts that the answers cause.
func exchange(models map[string]*Model, name string, now time.Time, lost func(home string) bool) int {
	m, started := models[name], 0
	var to []string
	for home := range m.homes {
		to = append(to, home)
	}
	for _, home := range append(to, m.FormerHomes(now)...) {
		other := models[home]
		if lost(home) {
			continue
		}
		var answer AcknowledgeCmd
		for _, cmd := range other.Update(now, AnnouncedMsg{
			Host: name,
			Jobs: []string{"j"},
		}) {
			if a, ok := cmd.(AcknowledgeCmd); ok {
				answer = a
			}
		}
		votes, homeFor := other.Votes(now)
		was, left := other.Tenure(now)
		var held []string
		if len(answer.Jobs)+len(answer.Refused) == 0 {
			held = []string{"j"}
		}
		started += len(runs(m.Update(now, AcknowledgedMsg{
			Host:    home,
			Jobs:    answer.Jobs,
			Refused: answer.Refused,
			Held:    held,
			SentAt:  now,
			Age:     now.Sub(other.startedAt),
			Votes:   votes,
			HomeFor: homeFor,
			WasFor:  was,
			Left:    left,
		})))
	}
	return started
}

// TestRestartedNewHomeRunsTwice guards against a home that has replaced another one, acknowledged
// a run and started anew, whose new process is taken for the one that entered the plan.
func TestRestartedNewHomeRunsTwice(t *testing.T) {
	for _, former := range []bool{false, true} {
		domains := map[string]string{"a": "0", "b": "1", "x": "2", "z": "2"}
		// when each host takes x for the home in place of z, in ms
		changesAt := map[string]int{"a": 0, "x": 0, "z": 200, "b": 200}
		models := map[string]*Model{}
		for name := range domains {
			models[name] = newSuccessionModel(name)
			models[name].limits.AskFormer = former
		}
		const restart = 1300
		first := [2]int{}
		last := 0 // ms of a's last confirmation
		for ms := -100; ms < 4000; ms += 10 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if ms == restart {
				models["x"] = newSuccessionModel("x")
				models["x"].limits.AskFormer = former
				models["x"].startedAt = now
			}
			for name := range domains {
				msg := HomesMsg{Domains: map[string]string{}, Domain: domains[name], Votes: owner.HostVotes, Needed: 4, All: 7}
				home := "z"
				if ms >= changesAt[name] {
					home = "x"
				}
				msg.Member = name == home || name < "x"
				for _, other := range []string{"a", "b", home} {
					if other != name && !(name < "x" && other < "x") {
						msg = withHome(msg, other, domains[other])
					}
				}
				if ms == -100 {
					models[name].Update(now.Add(-time.Minute), msg)
				}
				models[name].Update(now, msg)
			}
			for i, name := range []string{"a", "b"} {
				if ms == []int{20, 1350}[i] {
					job := jobOf("j", 1)
					job.Received, job.Slack, job.Deadline = now, time.Minute, now.Add(time.Minute)
					job.Steps[0].Estimate = time.Second
					msg := submit(job)
					msg.ConfirmedAt = now
					models[name].Update(now, msg)
				}
				if models[name].jobs["j"] == nil || (name == "a" && ms >= restart) { // x no longer hears a
					continue
				}
				models[name].Update(now, ConfirmMsg{Callers: []Confirmation{{Caller: "caller-j", At: now}}})
				if exchange(models, name, now, func(home string) bool { return name == "a" && home == "z" }) > 0 {
					first[i] = ms
				}
				if name == "a" {
					last = ms
				}
			}
		}
		t.Logf("former %v: a starts at %d, last acknowledged at %d, b starts at %d", former, first[0], last, first[1])
		end := last + int(bounds.MaxUnconfirmed.Milliseconds())
		if first[0] != 0 && first[1] != 0 && first[1] < end {
			t.Errorf("former %v: b starts at %d ms, the run of a lasts until %d ms", former, first[1], end)
		}
	}
}
