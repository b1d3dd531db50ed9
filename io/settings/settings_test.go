package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func schema() []Section {
	return []Section{{
		Name: "peer",
		Help: "Links.",
		Keys: []Key{
			{
				Name:     "listen",
				Default:  "127.0.0.1:7100",
				Help:     "Where.",
				Required: true,
				Kind:     Address{},
			},
			{
				Name:    "dial",
				Default: "1s",
				Help:    "How long.",
				Kind: Duration{
					Min: time.Millisecond,
					Max: time.Minute,
				},
			},
			{
				Name:    "ratio",
				Default: "0.5",
				Help:    "How much.",
				Kind: Number{
					Min: 0,
					Max: 1,
				},
			},
		},
	}}
}

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{
			name: "good",
			text: "[peer]\nlisten = 127.0.0.1:1\ndial = 20ms\n",
		},
		{
			name: "missing",
			text: "[peer]\ndial = 20ms\n",
			want: "host.ini: [peer] listen: required key is missing or invalid: Where.",
		},
		{
			name: "all findings at once",
			text: "[peer]\nlisten = localhost:1\ndial = 20\ncolor = red\nratio = NaN\n[pier]\n",
			want: strings.Join([]string{
				"host.ini: [peer] listen: required key is missing or invalid: Where.",
				`host.ini:2: [peer] listen: "localhost:1" is not an IP address and port, such as 127.0.0.1:7000`,
				`host.ini:3: [peer] dial: "20" is not a duration with a unit, such as 250ms or 2s`,
				"host.ini:4: [peer] color: unknown key",
				`host.ini:5: [peer] ratio: "NaN" is not a number`,
				"host.ini:6: [pier] unknown section",
			}, "\n"),
		},
		{
			name: "out of range",
			text: "[peer]\nlisten = 127.0.0.1:99999\ndial = 2h\nratio = 1.5\n",
			want: strings.Join([]string{
				"host.ini: [peer] listen: required key is missing or invalid: Where.",
				`host.ini:2: [peer] listen: port "99999" is outside 0 to 65535`,
				"host.ini:3: [peer] dial: 2h0m0s is outside 1ms to 1m0s",
				"host.ini:4: [peer] ratio: 1.5 is outside 0 to 1",
			}, "\n"),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := Parse("host.ini", []byte(test.text), schema())
			if test.want != "" {
				assert.Error(t, err, test.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, s.Duration("peer", "dial"), 20*time.Millisecond)
			assert.Equal(t, s.Number("peer", "ratio"), 0.5)
		})
	}
}

// TestAnnotated checks that the annotated defaults are a valid settings file.
func TestAnnotated(t *testing.T) {
	_, err := Parse("host.ini", []byte(AnnotatedDefaults(schema())), schema())
	assert.NilError(t, err)
}

// TestWith checks that With does not modify the original settings.
func TestWith(t *testing.T) {
	s := Defaults(schema())
	changed := s.With("peer", "dial", "9s")
	assert.Equal(t, s.Text("peer", "dial"), "1s")
	assert.Equal(t, changed.Text("peer", "dial"), "9s")
}

// FuzzParse checks that no input makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add("[peer]\nlisten = 127.0.0.1:1\n")
	f.Add("[[]\n=\n")
	f.Fuzz(func(_ *testing.T, text string) { _, _ = Parse("host.ini", []byte(text), schema()) })
}
