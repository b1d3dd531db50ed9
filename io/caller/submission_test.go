package caller

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testLimits() Limits {
	return Limits{
		MaxBodyBytes:    1 << 20,
		MaxTasks:        3,
		DefaultDeadline: time.Minute,
		MaxDeadline:     time.Hour,
	}
}

func TestParseJob(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{
			name: "good",
			text: `{"service":"valuation","deadline":500,"tasks":[{"body":{"a":1}},{"body":"x","cores":2}]}`,
		},
		{
			name: "not JSON, with its line",
			text: "{\"service\":\"v\",\n\"tasks\":[{]}",
			want: ":2: byte 27: invalid character ']' looking for beginning of object key string",
		},
		{
			name: "unknown field",
			text: `{"service":"v","task":[]}`,
			want: `unknown field "task"`,
		},
		{
			name: "two values",
			text: `{"service":"v","tasks":[{"body":1}]} {}`,
			want: "more than one JSON value",
		},
		{
			name: "all findings at once",
			text: `{"deadline":0,"tasks":[{},{"body":1,"cores":-1},{"body":1},{"body":1}]}`,
			want: strings.Join([]string{
				"service: is missing",
				"tasks: 4 tasks, allowed are 1 to 3",
				"deadline: 0s is outside 1ms to 1h0m0s",
				"tasks[0].body: is missing",
				"tasks[1]: cores, memory and accelerators can't be negative",
			}, "\n"),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sub, err := parseJob([]byte(test.text), testLimits())
			if test.want != "" {
				assert.ErrorContains(t, err, test.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, sub.Deadline, 500*time.Millisecond)
			assert.Equal(t, sub.Need.Cores, 2)
			assert.Equal(t, string(sub.Bodies[0]), `{"a":1}`)
		})
	}
}

// TestFingerprints checks that requests which differ in the split between service and
// content type have different fingerprints.
func TestFingerprints(t *testing.T) {
	a := parseRequest("s", "text/plain", true, []byte("x"), testLimits())
	b := parseRequest("stext/plain", "", true, []byte("x"), testLimits())
	assert.Assert(t, a.Fingerprint != b.Fingerprint)
}

func TestAnswerJSON(t *testing.T) {
	tests := []struct {
		raw  string
		want string
	}{
		{
			raw:  `{"a":1}`,
			want: `{"a":1}`,
		},
		{
			raw:  "santo",
			want: `"santo"`,
		},
		{
			raw:  "\xff",
			want: `{"base64":"/w=="}`,
		},
		{
			raw:  "",
			want: `""`,
		},
	}
	for _, test := range tests {
		assert.Equal(t, string(answerJSON([]byte(test.raw))), test.want)
	}
}

// FuzzParseJob checks that parseJob does not panic, and accepts no job without tasks or
// with too many.
func FuzzParseJob(f *testing.F) {
	f.Add(`{"service":"v","tasks":[{"body":1}]}`)
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		sub, err := parseJob([]byte(text), testLimits())
		if err == nil {
			assert.Assert(t, len(sub.Bodies) >= 1 && len(sub.Bodies) <= 3)
		}
	})
}
