package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const (
	quezonLog = `{"level":"info","ts":"2026-01-01T00:00:00Z","logger":"peer","msg":"listening","address":"10.0.0.1:7100"}
{"level":"info","ts":"2026-01-01T00:00:10.010Z","logger":"scheduler","msg":"run ordered","job":"j1","task":"j1.0.0.0","run":1,"for":"","server":"z1-s1","token":7,"deadline":900}
{"level":"info","ts":"2026-01-01T00:00:10.020Z","logger":"scheduler","msg":"run ordered","job":"j1","task":"j1.0.0.1","run":1,"for":"","server":"z1-s2","token":8,"deadline":900}
{"level":"info","ts":"2026-01-01T00:00:10.900Z","logger":"scheduler","msg":"run ended","job":"j1","task":"j1.0.0.1","run":1,"end":"done","for":"","reason":"","server":"z1-s2","took":"880ms"}
  1.2 front-quezon-1 {"level":"info","ts":"2026-01-01T00:00:11.700Z","logger":"scheduler","msg":"run ended","job":"j1","task":"j1.0.0.0","run":1,"end":"done","for":"","reason":"","server":"z1-s1","took":"1.69s"}
{"level":"info","ts":"2026-01-01T00:00:11.701Z","logger":"entry","msg":"answer","job":"j1","route":"quick","state":"completed","home":"10.0.0.1:7100"}
cut off {
`
	pasigLog = `{"level":"info","ts":"2026-01-01T00:00:00Z","logger":"peer","msg":"listening","address":"10.0.0.2:7100"}
{"level":"info","ts":"2026-01-01T00:00:09Z","logger":"peer","msg":"link closed","address":"10.0.0.1:40001","reason":"read failed","open":2}

{"level":"info","ts":"2026-01-01T00:00:11.310Z","logger":"scheduler","msg":"run ordered","job":"j1","task":"j1.0.0.0","run":1,"for":"","server":"z2-s1","token":9,"deadline":900}
{"level":"info","ts":"2026-01-01T00:00:11.900Z","logger":"scheduler","msg":"job","event":"dropped","job":"j1","reason":"canceled"}
{"level":"info","ts":"2026-01-01T00:00:12.100Z","logger":"scheduler","msg":"run ended","job":"j1","task":"j1.0.0.0","run":1,"end":"stopped","for":"","reason":"canceled","server":"z2-s1","took":"790ms"}
{"level":"info","ts":"2026-01-01T00:00:13Z","logger":"scheduler","msg":"run ordered","job":"j2","task":"j2.0.0.0","run":1,"for":"","server":"z2-s1","token":10,"deadline":900}
{"level":"info","ts":"2026-01-01T00:00:13.1Z","logger":"scheduler","msg":"run ended","job":"j2","task":"j2.0.0.0","run":1,"end":"done","for":"","reason":"","server":"z2-s1","took":"100ms"}
`
	timeline28 = `4 orders in 15 lines, 1 lines unreadable, 0 orders without an end, 0 ends without an order

job j1
* task j1.0.0.0: run 1 of front-quezon-1 at z1-s1 (done) and run 1 of pasig at z2-s1 (stopped), at once for up to 390ms
2026-01-01T00:00:09.000000Z     pasig           link closed address=10.0.0.1:40001 open=2 reason=read failed (front-quezon-1)
2026-01-01T00:00:10.010000Z  *  front-quezon-1  run ordered deadline=900 run=1 server=z1-s1 task=j1.0.0.0 token=7
2026-01-01T00:00:10.020000Z     front-quezon-1  run ordered deadline=900 run=1 server=z1-s2 task=j1.0.0.1 token=8
2026-01-01T00:00:10.900000Z     front-quezon-1  run ended end=done run=1 server=z1-s2 task=j1.0.0.1 took=880ms
2026-01-01T00:00:11.310000Z  *  pasig           run ordered deadline=900 run=1 server=z2-s1 task=j1.0.0.0 token=9
2026-01-01T00:00:11.700000Z  *  front-quezon-1  run ended end=done run=1 server=z1-s1 task=j1.0.0.0 took=1.69s
2026-01-01T00:00:11.701000Z     front-quezon-1  answer home=10.0.0.1:7100 route=quick state=completed (front-quezon-1)
2026-01-01T00:00:11.900000Z     pasig           job event=dropped reason=canceled
2026-01-01T00:00:12.100000Z  *  pasig           run ended end=stopped reason=canceled run=1 server=z2-s1 task=j1.0.0.0 took=790ms
`
)

// TestRuns checks exit code and output of the command on the logs of two hosts.
func TestRuns(t *testing.T) {
	dir := t.TempDir()
	quezon, pasig := filepath.Join(dir, "front-quezon-1.log"), filepath.Join(dir, "out")
	assert.NilError(t, os.WriteFile(quezon, []byte(quezonLog), 0o600))
	assert.NilError(t, os.WriteFile(pasig, []byte(pasigLog), 0o600))
	tests := []struct {
		name string
		cmd  runsCmd
		exit int
		want string // the output, or a part of the error of an exit with 2
	}{
		{
			name: "overlap",
			cmd: runsCmd{
				Logs:  []string{"pasig=" + pasig, quezon},
				Limit: 1,
			},
			exit: exitFailure,
			want: timeline28,
		},
		{
			name: "overlap, no timeline",
			cmd: runsCmd{
				Logs: []string{"pasig=" + pasig, quezon},
			},
			exit: exitFailure,
			want: "4 orders in 15 lines, 1 lines unreadable, 0 orders without an end, 0 ends without an order\n",
		},
		{
			name: "job that overlaps",
			cmd: runsCmd{
				Logs: []string{"pasig=" + pasig, quezon},
				Job:  "j1",
			},
			exit: exitFailure,
			want: timeline28,
		},
		{
			name: "job that doesn't overlap",
			cmd: runsCmd{
				Logs: []string{"pasig=" + pasig, quezon},
				Job:  "j2",
			},
			want: `4 orders in 15 lines, 1 lines unreadable, 0 orders without an end, 0 ends without an order

job j2
2026-01-01T00:00:13.000000Z    pasig  run ordered deadline=900 run=1 server=z2-s1 task=j2.0.0.0 token=10
2026-01-01T00:00:13.100000Z    pasig  run ended end=done run=1 server=z2-s1 task=j2.0.0.0 took=100ms
`,
		},
		{
			name: "one host's log",
			cmd: runsCmd{
				Logs: []string{quezon},
			},
			want: "2 orders in 7 lines, 1 lines unreadable, 0 orders without an end, 0 ends without an order\n",
		},
		{
			name: "unknown job",
			cmd: runsCmd{
				Logs: []string{quezon},
				Job:  "j9",
			},
			exit: exitUsage,
			want: "no lines about job j9",
		},
		{
			name: "log without orders",
			cmd: runsCmd{
				Logs: []string{os.DevNull},
			},
			exit: exitUsage,
			want: "no orders in 0 lines",
		},
		{
			name: "two logs of a host",
			cmd: runsCmd{
				Logs: []string{quezon, "front-quezon-1=" + pasig},
			},
			exit: exitUsage,
			want: "two logs of host front-quezon-1",
		},
		{
			name: "missing log",
			cmd: runsCmd{
				Logs: []string{quezon, filepath.Join(dir, "missing")},
			},
			exit: exitUsage,
			want: "open log",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			err := test.cmd.print(&out)
			assert.Equal(t, exitCode(err), test.exit)
			if test.exit == exitUsage {
				assert.Check(t, cmp.ErrorContains(err, test.want))
				return
			}
			assert.Equal(t, out.String(), test.want)
		})
	}
}
