package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/owner"
)

// succeeded returns a home of three failure domains of which one is cut off, and in another of which
// the host next has just become the home in place of home1.
func succeeded(m *Model, homes HomesMsg, now time.Time) {
	homes = without(homes, "home2")
	m.Update(now.Add(-2*bounds.AnnouncementTTL), homes)
	m.Update(now, withHome(without(homes, "home1"), "next", "1"))
}

// TestFormerHomeAsked guards against jobs that wait until a new home knows what was announced
// before, although the home that it has replaced is in touch, and against a start without the
// answer of that one.
func TestFormerHomeAsked(t *testing.T) {
	const moment = 10 * time.Millisecond
	acknowledged := AcknowledgedMsg{
		Host:   "home1",
		Jobs:   []string{"j"},
		SentAt: epoch.Add(moment),
		WasFor: time.Hour,
		Left:   moment,
	}
	tests := []struct {
		name   string
		off    bool
		stall  bool
		answer func(AcknowledgedMsg) AcknowledgedMsg
		starts int
	}{
		{
			name:   "it knows of no run",
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg { return msg },
			starts: 1,
		},
		{
			name:   "switched off",
			off:    true,
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg { return msg },
		},
		{
			name: "it doesn't answer",
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg {
				msg.Host = "other"
				return msg
			},
		},
		{
			name: "it runs the job",
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg {
				msg.Jobs, msg.Refused = nil, []string{"j"}
				return msg
			},
		},
		{
			name: "a third home runs the job",
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg {
				msg.Jobs, msg.Refused, msg.Held = nil, nil, []string{"j"}
				return msg
			},
		},
		{
			name: "it is another process",
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg {
				msg.Age, msg.WasFor, msg.Left = moment, 0, 0
				return msg
			},
		},
		{
			name: "it had not been a home for long",
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg {
				msg.WasFor = bounds.AnnouncementTTL / 2
				return msg
			},
		},
		{
			name:   "this host was paused",
			stall:  true,
			answer: func(msg AcknowledgedMsg) AcknowledgedMsg { return msg },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, homes := newVotingModel(3)
			m.limits.AskFormer = !test.off
			succeeded(m, homes, epoch)
			if test.stall {
				m.Update(epoch, StallMsg{})
				m.memberSince = epoch.Add(-time.Hour) // this is about the others
				clear(m.unheard)
			}
			job := jobOf("j", 1)
			job.Received, job.Slack, job.Deadline = epoch, time.Minute, epoch.Add(time.Minute)
			msg := submit(job)
			msg.ConfirmedAt = epoch
			started := len(runs(m.Update(epoch, msg)))
			for _, answer := range []AcknowledgedMsg{test.answer(acknowledged), {
				Host:    "next",
				Jobs:    []string{"j"},
				SentAt:  epoch.Add(moment),
				Votes:   owner.HostVotes,
				HomeFor: moment,
			}} {
				started += len(runs(m.Update(epoch.Add(2*moment), answer)))
			}
			assert.Equal(t, started, test.starts)
		})
	}
}

// TestReturnedFormerHome guards against a new process of a home that is taken for one whose
// predecessor nobody needs to ask.
func TestReturnedFormerHome(t *testing.T) {
	m, homes := newVotingModel(3)
	m.limits.AskFormer = true
	homes = withHome(without(homes, "home2"), "old", "1")
	m.Update(epoch.Add(-2*bounds.AnnouncementTTL), homes)
	m.Update(epoch, without(homes, "home1"))
	m.Update(epoch.Add(time.Millisecond), homes)
	job := jobOf("j", 1)
	job.Received, job.Slack, job.Deadline = epoch, time.Minute, epoch.Add(time.Minute)
	msg := submit(job)
	msg.ConfirmedAt = epoch
	started := len(runs(m.Update(epoch.Add(time.Millisecond), msg)))
	for home, age := range map[string]time.Duration{
		"home1": time.Millisecond,
		"old":   time.Hour,
	} {
		started += len(runs(m.Update(epoch.Add(time.Millisecond), AcknowledgedMsg{
			Host:    home,
			Jobs:    []string{"j"},
			SentAt:  epoch.Add(time.Millisecond),
			Age:     age,
			Votes:   owner.HostVotes,
			HomeFor: age,
		})))
	}
	assert.Equal(t, started, 0)
}

// TestSuccessionRunsOnce draws when a home is replaced, who hears of it when and which answers are
// lost, and guards against a job that two homes which don't hear each other run at once: each has
// a majority with a failure domain whose home changes between the two.
func TestSuccessionRunsOnce(t *testing.T) {
	const (
		draws = 400
		step  = 10 * time.Millisecond
		steps = 300
	)
	both, starts := 0, 0
	for draw := range uint64(draws) {
		rng := rand.New(rand.NewPCG(draw, 1))
		names := []string{"a", "b", "x", "y"}
		domains := map[string]string{
			"a": "0",
			"b": "1",
			"x": "2",
			"y": "2",
		}
		models, changesAt, back := map[string]*Model{}, map[string]int{}, rng.IntN(3) == 0
		changeAt, restartAt := 50+rng.IntN(100), 1000
		if rng.IntN(3) == 0 {
			restartAt = changeAt + rng.IntN(60) - 10
		}
		backAt := changeAt + 20 + rng.IntN(100)
		for _, name := range names {
			models[name] = newSuccessionModel(name)
			changesAt[name] = rng.IntN(30) // later than changeAt
		}
		homesOf := func(name string, at int) HomesMsg {
			home := "x"
			changed := at >= changeAt+changesAt[name]
			if back && at >= backAt+changesAt[name] {
				changed = false
			}
			if changed {
				home = "y"
			}
			msg := HomesMsg{
				Domains: map[string]string{},
				Domain:  domains[name],
				Member:  name == home || name < "x",
				Votes:   owner.HostVotes,
				Needed:  4,
				All:     7,
			}
			for _, other := range []string{"a", "b", home} {
				apart := (name == "a" && other == "b") || (name == "b" && other == "a")
				if other != name && !apart {
					msg = withHome(msg, other, domains[other])
				}
			}
			return msg
		}
		ranUntil := map[string]time.Time{}
		submitAt := map[string]int{"a": changeAt - 60 + rng.IntN(120), "b": changeAt - 60 + rng.IntN(180)}
		for at := range steps {
			now := epoch.Add(time.Duration(at) * step)
			if at == restartAt {
				models["x"] = newSuccessionModel("x")
				models["x"].startedAt = now
			}
			for _, name := range names {
				if at == 0 {
					models[name].Update(now.Add(-time.Minute), homesOf(name, 0))
				}
				models[name].Update(now, homesOf(name, at))
			}
			for _, name := range []string{"a", "b"} {
				m := models[name]
				if submitAt[name] == at {
					job := jobOf("j", 1)
					job.Received, job.Slack, job.Deadline = now, time.Minute, now.Add(time.Minute)
					msg := submit(job)
					msg.ConfirmedAt = now
					m.Update(now, msg)
				}
				if m.jobs["j"] == nil {
					continue
				}
				var to []string
				for home := range m.homes {
					to = append(to, home)
				}
				to = append(to, m.FormerHomes(now)...)
				started := false
				for _, home := range to {
					other := models[home]
					lost := rng.IntN(4) == 0
					var answer AcknowledgeCmd
					for _, cmd := range other.Update(now, AnnouncedMsg{
						Host: name,
						Jobs: []string{"j"},
					}) {
						if a, ok := cmd.(AcknowledgeCmd); ok {
							answer = a
						}
					}
					if lost {
						continue
					}
					votes, homeFor := other.Votes(now)
					was, left := other.Tenure(now)
					var held []string
					if len(answer.Jobs)+len(answer.Refused) == 0 {
						held = []string{"j"}
					}
					age := now.Sub(other.startedAt)
					started = started || len(runs(m.Update(now, AcknowledgedMsg{
						Host:    home,
						Jobs:    answer.Jobs,
						Refused: answer.Refused,
						Held:    held,
						SentAt:  now,
						Age:     age,
						Votes:   votes,
						HomeFor: homeFor,
						WasFor:  was,
						Left:    left,
					}))) > 0
				}
				if !started {
					continue
				}
				starts++
				ranUntil[name] = now.Add(bounds.MaxUnconfirmed)
				if now.Before(ranUntil[map[string]string{"a": "b", "b": "a"}[name]]) {
					both++
				}
			}
		}
	}
	t.Logf("%d starts", starts)
	assert.Equal(t, both, 0)
	assert.Assert(t, starts > draws/2, "%d starts", starts)
}

func newSuccessionModel(name string) *Model {
	voting, _ := newVotingModel(3)
	m := newAnnouncingModel(name)
	m.limits = voting.limits
	m.limits.AskFormer = true
	return m
}
