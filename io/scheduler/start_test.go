package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/wire"
)

// TestTwoHomesAtStart guards against hosts of a failure domain that start together and each
// take its servers over, because they read the hosts' rows before the other had written its
// own.
func TestTwoHomesAtStart(t *testing.T) {
	tests := []struct {
		name    string
		listed  []string      // addresses in the list of hosts
		elapsed time.Duration // since the start
		want    bool
	}{
		{
			name: "the list has not been read",
		},
		{
			name:   "the list was read before this host's row was written",
			listed: []string{"foreign"},
		},
		{
			name:   "the list was read after this host's row was written",
			listed: []string{"foreign", "self"},
			want:   true,
		},
		{
			name:   "another host of the failure domain has not been heard",
			listed: []string{"d", "foreign", "self"},
		},
		{
			name:    "this host's row can't be written",
			listed:  []string{"foreign"},
			elapsed: listWait,
			want:    true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newLocalScheduler(localPeers{}, &fakeServer{}, member.Host{
				Address: "self",
				Domain:  "d",
			})
			s.config.Complete = time.Minute
			s.started = time.Now().Add(-test.elapsed)
			var rows []listing.Host
			for _, address := range test.listed {
				domain := "d"
				if address == "foreign" {
					domain = "other"
				}
				rows = append(rows, listing.Host{
					Name:    "name-" + address,
					Address: address,
					Domain:  domain,
				})
			}
			s.config.Roster.SetListedHosts(rows)
			assert.Equal(t, s.membershipSettled(), test.want)
		})
	}
}

// TestJobStartsBeforeHomesChange guards against a start of a job that may run elsewhere, at a
// home that has heard of other hosts and still goes by the list of homes and the votes of before.
func TestJobStartsBeforeHomesChange(t *testing.T) {
	tests := []struct {
		name   string
		listed []string // addresses in the list of hosts
		change func(*Scheduler)
	}{
		{
			name: "a home is heard for the first time",
			change: func(s *Scheduler) {
				s.config.Roster.ServeBeat(t.Context(), wire.Frame{Beat: &wire.Beat{
					Host:    "foreign",
					Address: "foreign",
					Domain:  "other",
					Count:   1,
				}})
			},
		},
		{
			name:   "a host is lost, and with it the majority",
			listed: []string{"a", "b", "self"},
			change: func(s *Scheduler) { s.config.Roster.MarkNotListening("a") },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			self := member.Host{
				Address: "self",
				Domain:  "d",
				CPU:     800,
			}
			neighbor := member.Host{
				Address: "a",
				Domain:  "d",
			}
			s := newLocalScheduler(localPeers{}, &fakeServer{starts: make(chan string, 10)}, self, neighbor)
			s.config.Jobs.ShortJob, s.config.Jobs.AnnouncementTTL = time.Second, time.Minute
			if len(test.listed) > 0 {
				s.config.Jobs.MajorityWait = time.Minute
			}
			s.hostsListedAt = s.started
			s.config.Roster.OnChange(s.hostsChanged)
			var rows []listing.Host
			for _, address := range test.listed {
				rows = append(rows, listing.Host{
					Name:    address,
					Address: address,
					Domain:  "d",
				})
			}
			s.config.Roster.SetListedHosts(rows)
			shard := s.Shard("s")
			// The host has been a home for longer than an announcement counts.
			shard.jobs.Update(time.Now().Add(-time.Hour), schedule.HomesMsg{Member: true})
			shard.update(pool.AssignMsg{
				Servers: []listing.Server{{
					ID:       "a",
					Domain:   "d",
					Capacity: work.Size{CPU: 1000},
				}},
				Token: 1,
			})
			for shard.Capacity().TotalCPU == 0 {
				time.Sleep(time.Millisecond)
			}
			s.updateHomes()
			submit := func(id string) string {
				job := announcedJob()
				job.ID = id
				shard.update(schedule.SubmitMsg{
					Job:    job,
					Caller: id,
				})
				return s.findLocally(Query{
					Service: "s",
					ID:      id,
				}, false)
			}
			assert.Equal(t, submit("before"), "running")
			test.change(s)
			assert.Equal(t, submit("after"), "queued")
		})
	}
}
