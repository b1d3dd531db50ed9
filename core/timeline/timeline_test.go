package timeline

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/work"
)

const task = "job-1.0.0.0"

// at returns a time by milliseconds.
func at(ms int) time.Time { return time.UnixMilli(int64(ms)).UTC() }

func ordered(host string, ms, run int, server string) Line {
	return Line{
		Host:    host,
		At:      at(ms),
		Message: runOrdered,
		Job:     "job-1",
		Task:    task,
		Run:     run,
		Server:  server,
	}
}

func ended(host string, ms, run int, server string, end work.End) Line {
	l := ordered(host, ms, run, server)
	l.Message, l.End = runEnded, end
	return l
}

func opened(host string, ms int, listener, address string) Line {
	return Line{
		Host:    host,
		At:      at(ms),
		Message: listening,
		Logger:  listener,
		Address: address,
	}
}

func closed(host string, ms int, address string) Line {
	return Line{
		Host:    host,
		At:      at(ms),
		Message: linkClosed,
		Address: address,
	}
}

func other(host string, ms int, job string) Line {
	return Line{
		Host:    host,
		At:      at(ms),
		Message: "answer",
		Job:     job,
	}
}

func TestOverlaps(t *testing.T) {
	tests := []struct {
		name   string
		lines  []Line
		want   []string
		counts Counts
	}{
		{
			name: "issue 28, case 1: the second home orders while the first run goes on to done",
			lines: []Line{
				ordered("front-quezon-1", 0, 1, "z1-s1"),
				ended("front-quezon-1", 1700, 1, "z1-s1", work.EndDone),
				ordered("front-pasig-3", 1310, 1, "z2-s1"),
				ended("front-pasig-3", 2700, 1, "z2-s1", work.EndDone),
			},
			want:   []string{"front-quezon-1 front-pasig-3 390ms"},
			counts: Counts{Orders: 2},
		},
		{
			name: "issue 28, case 2: the second home orders before the first run is stopped",
			lines: []Line{
				ordered("front-taguig-2", 1400, 1, "z3-s1"),
				ended("front-taguig-2", 1500, 1, "z3-s1", work.EndDone),
				ordered("front-mandaluyong-2", 0, 1, "z4-s1"),
				ended("front-mandaluyong-2", 1670, 1, "z4-s1", work.EndStopped),
			},
			want:   []string{"front-mandaluyong-2 front-taguig-2 100ms"},
			counts: Counts{Orders: 2},
		},
		{
			name: "stopped before the second order",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ended("a", 1300, 1, "s1", work.EndStopped),
				ordered("b", 1300, 1, "s2"),
				ended("b", 1500, 1, "s2", work.EndDone),
			},
			counts: Counts{Orders: 2},
		},
		{
			name: "retried at the same home",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ended("a", 100, 1, "s1", work.EndFailed),
				ordered("a", 101, 2, "s2"),
				ended("a", 200, 2, "s2", work.EndDone),
			},
			counts: Counts{Orders: 2},
		},
		{
			name: "two runs at one home",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ordered("a", 101, 2, "s2"),
				ended("a", 150, 1, "s1", work.EndLeaseExpired),
				ended("a", 200, 2, "s2", work.EndDone),
			},
			want:   []string{"a a 49ms"},
			counts: Counts{Orders: 2},
		},
		{
			name: "a server refused the first order",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ended("a", 50, 1, "s1", work.EndNotStarted),
				ordered("b", 20, 1, "s2"),
				ended("b", 200, 1, "s2", work.EndDone),
			},
			counts: Counts{Orders: 2},
		},
		{
			name: "no capacity, so no order",
			lines: []Line{
				ended("a", 50, 1, "", work.EndNotStarted),
			},
		},
		{
			name: "unknown end within the lease",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ended("a", 500, 1, "s1", work.EndUnknown),
				ordered("b", 1400, 1, "s2"),
				ended("b", 1900, 1, "s2", work.EndDone),
			},
			want:   []string{"a b 100ms"},
			counts: Counts{Orders: 2},
		},
		{
			name: "unknown end, lease over",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ended("a", 300, 1, "s1", work.EndUnknown),
				ordered("b", 1300, 1, "s2"),
				ended("b", 1900, 1, "s2", work.EndDone),
			},
			counts: Counts{Orders: 2},
		},
		{
			name: "host killed, second order within the lease",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				other("a", 400, "job-2"),
				ordered("b", 1350, 1, "s2"),
				ended("b", 1900, 1, "s2", work.EndDone),
			},
			want: []string{"a b 50ms"},
			counts: Counts{
				Orders: 2,
				NoEnd:  1,
			},
		},
		{
			name: "host killed and started again, second order after the lease",
			lines: []Line{
				opened("a", 0, "peer", "10.0.0.1:7100"),
				opened("a", 0, "caller", "10.0.0.1:7000"),
				ordered("a", 10, 1, "s1"),
				opened("a", 900, "peer", "10.0.0.1:7100"),
				opened("a", 901, "caller", "10.0.0.1:7000"),
				other("a", 5000, "job-2"),
				ordered("b", 1310, 1, "s2"),
				ended("b", 1900, 1, "s2", work.EndDone),
			},
			counts: Counts{
				Orders: 2,
				NoEnd:  1,
			},
		},
		{
			name: "another listener of the same process",
			lines: []Line{
				opened("a", 0, "peer", "10.0.0.1:7100"),
				ordered("a", 10, 1, "s1"),
				opened("a", 20, "caller", "10.0.0.1:7000"),
				other("a", 900, "job-2"),
				ordered("b", 1310, 1, "s2"),
				ended("b", 1900, 1, "s2", work.EndDone),
			},
			want: []string{"a b 590ms"},
			counts: Counts{
				Orders: 2,
				NoEnd:  1,
			},
		},
		{
			name: "end without a line, host alive",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				other("a", 5000, "job-2"),
				ordered("b", 1310, 1, "s2"),
				ended("b", 1900, 1, "s2", work.EndDone),
			},
			want: []string{"a b 590ms"},
			counts: Counts{
				Orders: 2,
				NoEnd:  1,
			},
		},
		{
			name: "order without a line",
			lines: []Line{
				ended("a", 100, 1, "s1", work.EndDone),
			},
			counts: Counts{NoOrder: 1},
		},
		{
			name: "the same run ordered by one host for two homes",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ended("a", 100, 1, "s1", work.EndStopped),
				ordered("a", 1300, 1, "s1"),
				ended("a", 1400, 1, "s1", work.EndDone),
			},
			counts: Counts{Orders: 2},
		},
		{
			name: "the same run ordered by one host for two homes at once",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ordered("a", 1300, 1, "s1"),
				ended("a", 1350, 1, "s1", work.EndStopped),
				ended("a", 1400, 1, "s1", work.EndDone),
			},
			want:   []string{"a a 50ms"},
			counts: Counts{Orders: 2},
		},
		{
			name: "three runs",
			lines: []Line{
				ordered("a", 0, 1, "s1"),
				ended("a", 300, 1, "s1", work.EndDone),
				ordered("b", 100, 1, "s2"),
				ended("b", 200, 1, "s2", work.EndStopped),
				ordered("c", 250, 1, "s3"),
				ended("c", 400, 1, "s3", work.EndDone),
			},
			want: []string{
				"a b 100ms",
				"a c 50ms",
			},
			counts: Counts{Orders: 3},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs := NewRuns()
			for _, l := range test.lines {
				runs.Add(l)
			}
			found, counts := runs.Overlaps()
			var got []string
			for _, o := range found {
				got = append(got, fmt.Sprint(o.First.Host, " ", o.Second.Host, " ", o.Duration()))
			}
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, counts, test.counts)
		})
	}
}

// TestTimeline checks which lines belong to a job's timeline, and their order.
func TestTimeline(t *testing.T) {
	answer := other("a", 3000, "job-1")
	answer.Home = "10.0.0.3:7100"
	stall := Line{
		Host:    "b",
		At:      at(2900),
		Message: processStalled,
	}
	stallElsewhere := stall
	stallElsewhere.Host = "d"
	lines := NewTimelines("job-1")
	for _, l := range []Line{
		opened("a", 0, "peer", "10.0.0.1:7100"),
		closed("a", 400, "10.0.0.2:7100"),
		closed("a", 600, "10.0.0.2:7100"),
		closed("a", 700, "10.0.0.4:7100"),
		closed("a", 800, "10.0.0.3:7100"),
		closed("a", 900, "10.0.0.9:7100"),
		answer,
		closed("a", 3100, "10.0.0.2:7100"),
		opened("b", 0, "peer", "10.0.0.2:7100"),
		other("b", 2550, "job-2"),
		ordered("b", 2500, 1, "s1"),
		closed("b", 2700, "10.0.0.1:41234"),
		closed("b", 2800, "10.0.0.4:41234"),
		stall,
		opened("c", 0, "peer", "10.0.0.3:7100"),
		closed("c", 2600, "10.0.0.1:7100"),
		opened("d", 0, "peer", "10.0.0.4:7100"),
		closed("d", 2600, "10.0.0.1:7100"),
		stallElsewhere,
	} {
		lines.Add(l)
	}
	var got []string
	for _, l := range lines.Job("job-1") {
		got = append(got, fmt.Sprint(l.At.UnixMilli(), " ", l.Host, " ", l.Message, " ", lines.Peers(l)))
	}
	assert.DeepEqual(t, got, []string{
		"600 a link closed [b]",
		"800 a link closed [c]",
		"900 a link closed []",
		"2500 b run ordered []",
		"2600 c link closed [a]",
		"2700 b link closed [a]",
		"2900 b process stalled []",
		"3000 a answer [c]",
	})
	assert.Equal(t, len(lines.Job("job-2")), 0)
}
