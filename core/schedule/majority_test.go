package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/owner"
	"rosemarywalk/core/work"
	"rosemarywalk/internal/pick"
)

// newVotingModel returns a home of failure domain 0, of several with one host each, that
// needs most of them.
func newVotingModel(domains int) (*Model, HomesMsg) {
	m := newAnnouncingModel(self)
	m.limits.MaxConfirmAge, m.limits.MaxUnconfirmed = bounds.MaxAge, bounds.MaxUnconfirmed
	m.limits.AnnounceAge, m.limits.AnnouncementTTL = bounds.AnnounceAge, bounds.AnnouncementTTL
	m.limits.ShortJob, m.limits.MajorityWait = bounds.ShortJob, majorityWait
	msg := HomesMsg{
		Domains: map[string]string{},
		Domain:  "0",
		Member:  true,
		Votes:   owner.HostVotes,
		Needed:  domains + 1,
		All:     owner.HostVotes * domains,
	}
	for i := 1; i < domains; i++ {
		msg = withHome(msg, fmt.Sprint("home", i), fmt.Sprint(i))
	}
	m.Update(epoch.Add(-time.Minute), msg)
	return m, msg
}

func withHome(msg HomesMsg, home, domain string) HomesMsg {
	msg.Hosts = append(msg.Hosts, home)
	msg.Domains[home] = domain
	return msg
}

// without returns the homes that a host still hears.
func without(msg HomesMsg, gone ...string) HomesMsg {
	rest := msg
	rest.Hosts, rest.Domains = nil, map[string]string{}
	for _, home := range msg.Hosts {
		lost := false
		for _, g := range gone {
			lost = lost || g == home
		}
		if !lost {
			rest = withHome(rest, home, msg.Domains[home])
		}
	}
	return rest
}

// votesFor returns the votes of a home of one host that has been one for a time.
func votesFor(homeFor time.Duration) int {
	if homeFor == 0 {
		return 0
	}
	return owner.HostVotes
}

// TestMinorityStarts guards against a second run of a job at a home that most hosts don't
// vote for.
func TestMinorityStarts(t *testing.T) {
	const long = time.Hour
	type votes map[string]time.Duration
	tests := []struct {
		name    string
		domains int
		homes   func(HomesMsg) HomesMsg
		votes   votes // of the homes that acknowledge the job
		starts  int
	}{
		{
			name:    "one failure domain",
			domains: 1,
			starts:  1,
		},
		{
			name:    "one failure domain, cut off from it",
			domains: 1,
			homes: func(msg HomesMsg) HomesMsg {
				msg.Votes = 0
				return msg
			},
		},
		{
			name:    "the hosts' rows were never read",
			domains: 1,
			homes: func(msg HomesMsg) HomesMsg {
				msg.Needed = 0
				return msg
			},
		},
		{
			name:    "both of two",
			domains: 2,
			votes:   votes{"home1": long},
			starts:  1,
		},
		{
			name:    "one of two",
			domains: 2,
			homes:   func(msg HomesMsg) HomesMsg { return without(msg, "home1") },
		},
		{
			name:    "two of three, the third is not heard",
			domains: 3,
			homes:   func(msg HomesMsg) HomesMsg { return without(msg, "home2") },
			votes:   votes{"home1": long},
			starts:  1,
		},
		{
			name:    "two of three, the third hears too few of its own",
			domains: 3,
			votes: votes{
				"home1": long,
				"home2": 0,
			},
			starts: 1,
		},
		{
			name:    "two of three, the third doesn't answer",
			domains: 3,
			votes:   votes{"home1": long},
		},
		{
			name:    "one of three",
			domains: 3,
			votes: votes{
				"home1": 0,
				"home2": 0,
			},
		},
		{
			name:    "two others of three, cut off from its own",
			domains: 3,
			homes: func(msg HomesMsg) HomesMsg {
				msg.Votes = 0
				return msg
			},
			votes: votes{
				"home1": long,
				"home2": long,
			},
			starts: 1,
		},
		{
			name:    "two of three, one of them a home since a moment ago",
			domains: 3,
			homes:   func(msg HomesMsg) HomesMsg { return without(msg, "home2") },
			votes:   votes{"home1": bounds.AnnouncementTTL - 1},
		},
		{
			name:    "two of four",
			domains: 4,
			homes:   func(msg HomesMsg) HomesMsg { return without(msg, "home2", "home3") },
			votes:   votes{"home1": long},
		},
		{
			name:    "three of four",
			domains: 4,
			homes:   func(msg HomesMsg) HomesMsg { return without(msg, "home3") },
			votes: votes{
				"home1": long,
				"home2": long,
			},
			starts: 1,
		},
		{
			name:    "three of four, one with two homes of which one votes for this one",
			domains: 4,
			homes: func(msg HomesMsg) HomesMsg {
				return withHome(without(msg, "home3"), "other2", "2")
			},
			votes: votes{
				"home1":  long,
				"home2":  long,
				"other2": 0,
			},
		},
	}
	for _, test := range tests {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", first: ", first), func(t *testing.T) {
				m, homes := newVotingModel(test.domains)
				if test.homes != nil {
					homes = test.homes(homes)
				}
				m.Update(epoch.Add(-bounds.AnnouncementTTL), homes)
				m.Update(epoch, homes)
				m.noMajoritySince = time.Time{} // lost just now
				job := jobOf("j", 1)
				job.First, job.Received, job.Slack, job.Deadline = first, epoch, time.Minute, epoch.Add(time.Minute)
				msg := submit(job)
				msg.ConfirmedAt = epoch
				started := len(runs(m.Update(epoch, msg)))
				for home, vote := range test.votes {
					started += len(runs(m.Update(epoch, AcknowledgedMsg{
						Host:    home,
						Jobs:    []string{"j"},
						SentAt:  epoch,
						Votes:   votesFor(vote),
						HomeFor: vote,
					})))
				}
				if first {
					silent := slices.ContainsFunc(homes.Hosts, func(home string) bool {
						_, answered := test.votes[home]
						return !answered
					})
					assert.Equal(t, started == 0, silent, "before a silent home counts as unreachable")
					started += len(runs(m.Update(epoch.Add(bounds.AnnounceAge), TickMsg{})))
					assert.Equal(t, started, 1)
				} else {
					assert.Equal(t, started, test.starts)
				}
			})
		}
	}
}

// TestReadyTooYoung: hosts were ready for callers before they could start jobs that may run
// elsewhere, so that at the start of a fleet most jobs were refused.
func TestReadyTooYoung(t *testing.T) {
	const later, never = 100 * time.Millisecond, -1
	ttl := bounds.AnnouncementTTL
	tests := []struct {
		name   string
		homeAt time.Duration // when it becomes a home
		alone  bool          // no other home is heard
		limits func(*Limits)
		want   time.Duration // when jobs no longer wait for the age of this host
		starts time.Duration // when a job can start
	}{
		{
			name:   "a home",
			want:   ttl,
			starts: ttl,
		},
		{
			name:   "a home after others",
			homeAt: later,
			want:   ttl + later,
			starts: ttl + later,
		},
		{
			name:   "no home",
			homeAt: never,
			want:   ttl,
			starts: ttl,
		},
		{
			name:   "a home late",
			homeAt: ttl - 1,
			want:   2*ttl - 1,
			starts: 2*ttl - 1,
		},
		{
			name:   "cut off from all others",
			alone:  true,
			want:   ttl,
			starts: never,
		},
		{
			name:   "no majorities",
			homeAt: later,
			limits: func(l *Limits) { l.MajorityWait = 0 },
			want:   ttl,
			starts: ttl,
		},
		{
			name:   "no announcements",
			limits: func(l *Limits) { l.ShortJob = 0 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			at := func(now time.Duration) *Model {
				m, homes := newVotingModel(2)
				m = New(m.self, m.limits)
				if test.limits != nil {
					test.limits(&m.limits)
				}
				if test.alone {
					homes = without(homes, homes.Hosts...)
				}
				homes.Member = test.homeAt == 0
				m.Update(epoch, homes)
				homes.Member = test.homeAt >= 0
				if test.homeAt > 0 && now >= test.homeAt {
					m.Update(epoch.Add(test.homeAt), homes)
				}
				return m
			}
			knows := func(now time.Duration) bool { return at(now).KnowsEarlierRuns(epoch.Add(now)) }
			assert.Assert(t, knows(test.want))
			assert.Assert(t, test.want == 0 || !knows(test.want-1))
			starts := func(after time.Duration) int {
				m, now := at(after), epoch.Add(after)
				m.Update(now, AnnouncedMsg{
					Host:     "home1",
					Complete: true,
				})
				m.Update(now, CapacityMsg{
					Host:     self,
					Capacity: poolWith(4),
				})
				job := jobOf("j", 1)
				job.Received, job.Slack, job.Deadline = now, time.Minute, now.Add(time.Minute)
				msg := submit(job)
				msg.ConfirmedAt = now
				cmds := append(m.Update(now, msg), m.Update(now, AcknowledgedMsg{
					Host:    "home1",
					Jobs:    []string{"j"},
					SentAt:  now,
					Votes:   owner.HostVotes,
					HomeFor: time.Hour,
				})...)
				return len(runs(cmds))
			}
			if test.starts == never {
				assert.Equal(t, starts(test.want), 0)
				return
			}
			assert.Equal(t, starts(test.starts), 1)
			assert.Assert(t, test.starts == 0 || starts(test.starts-1) == 0)
		})
	}
}

// TestReadyBounded checks that a host becomes ready although it becomes a home again and again.
func TestReadyBounded(t *testing.T) {
	m, homes := newVotingModel(2)
	m = New(m.self, m.limits)
	const step = 10 * time.Millisecond
	since := time.Duration(0)
	for ; !m.KnowsEarlierRuns(epoch.Add(since)); since += step {
		homes.Member = !homes.Member || since < step
		m.Update(epoch.Add(since), homes)
	}
	assert.Assert(t, since <= 2*bounds.AnnouncementTTL+step, "%s", since)
}

// TestNoEstimateTakenForShort guards against a start of a job of unknown length, without a
// majority, as what seems to be its first attempt.
func TestNoEstimateTakenForShort(t *testing.T) {
	m, homes := newVotingModel(3)
	m.Update(epoch.Add(-time.Minute+1), without(homes, homes.Hosts...))
	job := jobOf("j", 1)
	job.Steps[0].Estimate = 0
	job.First, job.Received, job.Slack, job.Deadline = true, epoch, time.Minute, epoch.Add(time.Minute)
	msg := submit(job)
	msg.ConfirmedAt = epoch
	cmds := m.Update(epoch, msg)
	assert.Equal(t, len(runs(cmds)), 0)
	assert.Equal(t, answers(cmds)[0].Outcome.State, work.Broken)
}

// TestRunOutlivesMajority guards against a run that goes on past the time at which its caller
// may have it started elsewhere, at a home that most hosts don't vote for. A home without a
// majority may start jobs that it takes for short ones, so all must vote for these.
func TestRunOutlivesMajority(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		homes func(HomesMsg) HomesMsg // from 400 ms on
		votes map[string]time.Duration
		all   bool
		want  time.Time
	}{
		{
			name: "all",
			votes: map[string]time.Duration{
				"home1": time.Hour,
				"home2": time.Hour,
			},
			all:  true,
			want: at(300),
		},
		{
			name:  "one home leaves",
			homes: func(msg HomesMsg) HomesMsg { return without(msg, "home2") },
			votes: map[string]time.Duration{"home1": time.Hour},
			want:  at(300),
		},
		{
			name: "one home hears too few of its own",
			votes: map[string]time.Duration{
				"home1": time.Hour,
				"home2": 0,
			},
			want: at(300),
		},
		{
			name: "a new home votes for this one",
			votes: map[string]time.Duration{
				"home1": 1,
				"home2": 0,
			},
			want: at(300),
		},
		{
			name:  "both leave",
			homes: func(msg HomesMsg) HomesMsg { return without(msg, "home1", "home2") },
			want:  at(100),
		},
		{
			name: "nobody",
			votes: map[string]time.Duration{
				"home1": 0,
				"home2": 0,
			},
			want: at(100),
		},
		{
			name: "cut off from its own",
			homes: func(msg HomesMsg) HomesMsg {
				msg.Votes = 0
				return without(msg, "home2")
			},
			votes: map[string]time.Duration{"home1": time.Hour},
			want:  at(100),
		},
	}
	for _, test := range tests {
		for _, short := range []bool{true, false} {
			t.Run(fmt.Sprint(test.name, ", short: ", short), func(t *testing.T) {
				m, homes := newVotingModel(3)
				job := jobOf("j", 1)
				job.First, job.Received = true, at(100)
				if !short {
					job.Steps[0].Estimate = bounds.ShortJob
				}
				msg := submit(job)
				msg.ConfirmedAt = at(100)
				started := len(runs(m.Update(at(100), msg)))
				acknowledge := func(home string, sentAt time.Time, homeFor time.Duration) {
					started += len(runs(m.Update(sentAt, AcknowledgedMsg{
						Host:    home,
						Jobs:    []string{"j"},
						SentAt:  sentAt,
						Votes:   votesFor(homeFor),
						HomeFor: homeFor,
					})))
				}
				for _, home := range homes.Hosts {
					acknowledge(home, at(100), time.Hour)
				}
				assert.Equal(t, started, 1)
				for home, vote := range test.votes {
					acknowledge(home, at(300), vote)
				}
				if test.homes != nil {
					homes = test.homes(homes)
				}
				m.Update(at(400), homes)
				m.Update(at(500), ConfirmMsg{Callers: []Confirmation{{
					Caller: msg.Caller,
					At:     at(500),
				}}})
				want := test.want
				if short && !test.all {
					want = at(100)
				}
				assert.Assert(t, m.jobs["j"].confirmedAt.Equal(want), m.jobs["j"].confirmedAt.Sub(epoch))
			})
		}
	}
}

// TestNewHomeTakesFirstAttempt guards against a start of what seems to be a first attempt, at a
// host that has just become a home as it lost the others, for one of which its votes may still
// count.
func TestNewHomeTakesFirstAttempt(t *testing.T) {
	tests := []struct {
		name    string
		homeFor time.Duration
		alone   bool
		starts  int
	}{
		{
			name:    "in touch",
			homeFor: time.Millisecond,
			starts:  1,
		},
		{
			name:    "alone",
			homeFor: bounds.AnnouncementTTL - time.Millisecond,
			alone:   true,
		},
		{
			name:    "alone for long",
			homeFor: bounds.AnnouncementTTL,
			alone:   true,
			starts:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, homes := newVotingModel(3)
			before := homes
			before.Member = false
			m.Update(epoch.Add(-test.homeFor), before)
			if test.alone {
				homes = without(homes, homes.Hosts...)
			}
			m.Update(epoch.Add(-test.homeFor), homes)
			job := jobOf("j", 1)
			job.First, job.Received = true, epoch
			msg := submit(job)
			msg.ConfirmedAt = epoch
			m.Update(epoch, AnnouncedMsg{
				Host:     "home1",
				Complete: true,
			})
			m.Update(epoch, AnnouncedMsg{
				Host:     "home2",
				Complete: true,
			})
			started := len(runs(m.Update(epoch, msg)))
			for _, home := range homes.Hosts {
				started += len(runs(m.Update(epoch, AcknowledgedMsg{
					Host:   home,
					Jobs:   []string{"j"},
					SentAt: epoch,
					Votes:  owner.HostVotes,
				})))
			}
			assert.Equal(t, started, test.starts)
		})
	}
}

// TestShortJobLacksVotes guards against callers that wait until their deadline for a short job
// that can't start any more, as a host is missing.
func TestShortJobLacksVotes(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint("first: ", first), func(t *testing.T) {
			m, homes := newVotingModel(3)
			m.Update(epoch.Add(-majorityWait), without(homes, "home2"))
			m.Update(epoch.Add(-majorityWait), AcknowledgedMsg{
				Host:  "home1",
				Votes: owner.HostVotes,
			})
			m.Update(epoch, CapacityMsg{Host: self})
			job := jobOf("j", 1)
			job.First, job.Received, job.Slack, job.Deadline = first, epoch, time.Minute, epoch.Add(time.Minute)
			msg := submit(job)
			msg.ConfirmedAt = epoch
			cmds := m.Update(epoch, msg)
			cmds = append(cmds, m.Update(epoch, AcknowledgedMsg{
				Host:    "home1",
				Jobs:    []string{"j"},
				SentAt:  epoch,
				Votes:   owner.HostVotes,
				HomeFor: time.Hour,
			})...)
			cmds = append(cmds, m.Update(epoch.Add(bounds.MaxAge), TickMsg{})...)
			assert.Equal(t, len(answers(cmds)), 0)
			cmds = m.Update(epoch.Add(bounds.MaxAge+time.Millisecond), TickMsg{})
			assert.Equal(t, len(answers(cmds)), 1)
			want := work.Broken
			if first {
				want = work.Refused
			}
			assert.Equal(t, answers(cmds)[0].Outcome.State, want)
			assert.Equal(t, answers(cmds)[0].Outcome.Reason, core.ReasonMajority)
		})
	}
}

// TestMinorityAnswers guards against callers that wait until their deadline at a home that
// most hosts don't vote for.
func TestMinorityAnswers(t *testing.T) {
	tests := []struct {
		name  string
		first bool
		short bool
		held  time.Duration // at its entry
		runs  int
		want  work.Outcome // zero for none
	}{
		{
			name: "may run elsewhere",
			want: work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonMajority,
			},
		},
		{
			name:  "a long first attempt",
			first: true,
			want: work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonMajority,
			},
		},
		{
			name:  "a first attempt that can't end in time",
			first: true,
			short: true,
			held:  bounds.MaxUnconfirmed - 300*time.Millisecond,
			want: work.Outcome{
				State:      work.Refused,
				Reason:     core.ReasonMajority,
				RetryAfter: majorityRetryAfter,
			},
		},
		{
			name:  "a first attempt",
			first: true,
			short: true,
			runs:  1,
		},
	}
	for _, test := range tests {
		for _, waiting := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", waiting: ", waiting), func(t *testing.T) {
				m, homes := newVotingModel(3)
				lost := without(homes, "home1", "home2")
				job := jobOf("j", 1)
				job.Steps[0].Estimate = 2 * time.Second
				if test.short {
					job.Steps[0].Estimate = bounds.ShortJob - time.Millisecond
				}
				job.First, job.Slack, job.Deadline = test.first, time.Minute, epoch.Add(time.Minute)
				job.Received = epoch.Add(-test.held)
				msg := submit(job)
				msg.ConfirmedAt = epoch
				m.Update(epoch.Add(-majorityWait+time.Millisecond), lost)
				var cmds []Cmd
				if waiting {
					m.Update(epoch, CapacityMsg{Host: self})
					assert.Equal(t, len(answers(m.Update(epoch, msg))), 0, "a silent home may be the cause")
					cmds = m.Update(epoch.Add(time.Millisecond), TickMsg{})
					cmds = append(cmds, m.Update(epoch.Add(time.Millisecond), CapacityMsg{
						Host:     self,
						Capacity: poolWith(4),
					})...)
				} else {
					cmds = m.Update(epoch.Add(time.Millisecond), msg)
				}
				assert.Equal(t, len(runs(cmds)), test.runs)
				if test.want == (work.Outcome{}) {
					assert.Equal(t, len(answers(cmds)), 0)
					return
				}
				assert.Equal(t, len(answers(cmds)), 1)
				assert.Equal(t, answers(cmds)[0].Outcome, test.want)
				m.Update(epoch.Add(time.Millisecond), homes)
				assert.Equal(t, len(answers(m.Update(epoch.Add(time.Millisecond), msg))), 0, "in touch again")
			})
		}
	}
}

// TestSilentHomeHoldsJobs guards against jobs that wait without end for a home that answers
// nothing, and stays in the plan because other hosts hear it.
func TestSilentHomeHoldsJobs(t *testing.T) {
	tests := []struct {
		name   string
		first  bool
		short  bool
		before bool          // the silent home answers for another job after this one came
		joins  bool          // it becomes a home after this one came
		wait   time.Duration // after the last sign of it
	}{
		{
			name:  "long",
			first: true,
			wait:  majorityWait,
		},
		{
			name: "may have been submitted before",
			wait: majorityWait,
		},
		{
			name:  "short",
			first: true,
			short: true,
			wait:  bounds.AnnounceAge,
		},
		{
			name:   "short, another one is answered",
			first:  true,
			short:  true,
			before: true,
			wait:   bounds.AnnounceAge,
		},
		{
			name:  "short, the home joins",
			first: true,
			short: true,
			joins: true,
			wait:  bounds.AnnounceAge,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const step = 10 * time.Millisecond
			m, homes := newVotingModel(3)
			job := jobOf("j", 1)
			job.First, job.Received, job.Slack, job.Deadline = test.first, epoch, time.Minute, epoch.Add(time.Minute)
			if !test.short {
				job.Steps[0].Estimate = bounds.ShortJob
			}
			acknowledge := func(now time.Time, home, id string) []Cmd {
				return m.Update(now, AcknowledgedMsg{
					Host:    home,
					Jobs:    []string{id},
					SentAt:  now,
					Votes:   owner.HostVotes,
					HomeFor: time.Hour,
				})
			}
			if test.joins {
				m.Update(epoch.Add(-step), without(homes, "home2"))
			}
			msg := submit(job)
			msg.ConfirmedAt = epoch
			if test.before {
				other := msg
				other.Job.ID, other.Caller = "other", "other"
				m.Update(epoch, other)
			}
			assert.Equal(t, len(runs(m.Update(epoch, msg))), 0)
			now := epoch.Add(step)
			m.Update(now, homes)
			if test.before {
				acknowledge(now, "home1", "other")
				acknowledge(now, "home2", "other")
			}
			since := epoch
			if test.before || test.joins {
				since = now
			}
			for {
				m.Update(now, homes)
				cmds := acknowledge(now, "home1", "j")
				cmds = append(cmds, m.Update(now, ConfirmMsg{Callers: []Confirmation{{
					Caller: msg.Caller,
					At:     now,
				}}})...)
				cmds = append(cmds, m.Update(now, TickMsg{})...)
				assert.Equal(t, len(answers(cmds)), 0)
				started := slices.ContainsFunc(pick.OfType[RunCmd](cmds), func(cmd RunCmd) bool { return cmd.Task.Job == "j" })
				assert.Equal(t, started, now.Sub(since) >= test.wait, now.Sub(epoch))
				if started {
					return
				}
				now = now.Add(step)
			}
		})
	}
}

// TestMajorityLackedForEver guards against a home that breaks all jobs at once because others had
// no votes once: without jobs it announces nothing, and doesn't learn that they have some again.
func TestMajorityLackedForEver(t *testing.T) {
	m, homes := newVotingModel(3)
	job := jobOf("j", 1)
	job.Slack, job.Deadline = time.Minute, epoch.Add(time.Minute)
	now := epoch
	acknowledge := func(id string, votes int) []Cmd {
		var cmds []Cmd
		for _, home := range homes.Hosts {
			cmds = append(cmds, m.Update(now, AcknowledgedMsg{
				Host:    home,
				Jobs:    []string{id},
				SentAt:  now,
				Votes:   votes,
				HomeFor: time.Hour,
			})...)
		}
		return cmds
	}
	send := func(id string) []Cmd {
		job.ID, job.Received = id, now
		msg := submit(job)
		msg.ConfirmedAt, msg.Caller = now, id
		return m.Update(now, msg)
	}
	send("before")
	acknowledge("before", 0)
	for now.Before(epoch.Add(majorityWait)) {
		now = now.Add(majorityWait / 6)
		acknowledge("before", 0)
		m.Update(now, homes)
	}
	assert.Equal(t, len(answers(m.Update(now, TickMsg{}))), 1)
	assert.Equal(t, len(answers(send("at once"))), 1)
	now = now.Add(majorityWait)
	m.Update(now, homes)
	assert.Equal(t, len(answers(send("later"))), 0)
	assert.Equal(t, len(runs(acknowledge("later", owner.HostVotes))), 1)
}

// TestStalledHomeStartsUnheardJob guards against a second run of a job at a home whose process was
// paused while a home of its own failure domain that has left since announced the first one.
func TestStalledHomeStartsUnheardJob(t *testing.T) {
	m, homes := newVotingModel(1)
	m.Update(epoch, homes)
	m.Update(epoch, StallMsg{})
	job := jobOf("j", 1)
	job.Slack, job.Deadline = time.Minute, epoch.Add(time.Minute)
	msg := submit(job)
	msg.ConfirmedAt = epoch
	started := len(runs(m.Update(epoch, msg)))
	for at := epoch; at.Before(epoch.Add(bounds.AnnouncementTTL + 100*time.Millisecond)); at = at.Add(100 * time.Millisecond) {
		cmds := m.Update(at, ConfirmMsg{Callers: []Confirmation{{
			Caller: msg.Caller,
			At:     at,
		}}})
		cmds = append(cmds, m.Update(at, homes)...)
		cmds = append(cmds, m.Update(at, TickMsg{})...)
		if started += len(runs(cmds)); at.Sub(epoch) < bounds.AnnouncementTTL {
			assert.Equal(t, started, 0)
		}
	}
	assert.Equal(t, started, 1)
}

// TestIsMajority checks when a home knows that others can't have a majority.
func TestIsMajority(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Model, HomesMsg)
		votes  map[string]int
		after  time.Duration
		want   bool
	}{
		{
			name: "alone",
		},
		{
			name:  "most",
			votes: map[string]int{"home1": owner.HostVotes},
			want:  true,
		},
		{
			name:  "a host that isn't a home",
			votes: map[string]int{"home7": owner.HostVotes},
		},
		{
			name:   "votes that aren't needed",
			change: func(m *Model, _ HomesMsg) { m.limits.MajorityWait = 0 },
			votes:  map[string]int{"home1": owner.HostVotes},
		},
		{
			name:  "the hosts are not known",
			votes: map[string]int{"home1": owner.HostVotes},
			change: func(m *Model, msg HomesMsg) {
				msg.Needed = 0
				m.Update(epoch, msg)
			},
		},
		{
			name:  "own votes that are too old",
			votes: map[string]int{"home1": owner.HostVotes},
			after: majorityWait,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, msg := newVotingModel(3)
			m.Update(epoch, msg)
			if test.change != nil {
				test.change(m, msg)
			}
			assert.Equal(t, m.IsMajority(epoch.Add(test.after), test.votes), test.want)
		})
	}
}

// TestLateMinorityRefuses guards against a job that is said not to run, although it may run at
// another home, because this host is late as well as without a majority.
func TestLateMinorityRefuses(t *testing.T) {
	m, homes := newVotingModel(3)
	job := jobOf("j", 1)
	job.Slack, job.Deadline = time.Minute, epoch.Add(time.Minute)
	job.Received = epoch
	msg := submit(job)
	msg.ConfirmedAt, msg.Overloaded = epoch, true
	m.Update(epoch.Add(-majorityWait+time.Millisecond), without(homes, "home1", "home2"))
	cmds := m.Update(epoch.Add(time.Millisecond), msg)
	assert.Equal(t, len(answers(cmds)), 1)
	assert.Equal(t, answers(cmds)[0].Outcome, work.Outcome{
		State:  work.Broken,
		Reason: core.ReasonMajority,
	})
}
