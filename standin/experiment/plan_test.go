package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/standin/load"
)

func TestParse(t *testing.T) {
	plan, err := Parse("x.ini", []byte("[plan]\nhosts = 3\nloads = 0.5, 0.9\nfaults = 2s platform up, 1s servers 0-4 fail\n[variant a]\nfleet.home = host\nkeyed = true\n"))
	assert.NilError(t, err)
	assert.Equal(t, plan.Hosts, 3)
	assert.DeepEqual(t, plan.Loads, []float64{0.5, 0.9})
	assert.Equal(t, plan.Faults[0].At, time.Second)
	assert.DeepEqual(t, plan.Variants, []Variant{{
		Name:  "a",
		Lines: []string{"[fleet]", "home = host"},
		Keyed: true,
	}})
	_, err = Parse("x.ini", []byte("[plan]\nhosts = three\ncolor = red\n"))
	assert.ErrorContains(t, err, "x.ini:2: [plan] hosts")
	assert.ErrorContains(t, err, "x.ini:3: [plan] color: unknown key")
}

func TestMergeSections(t *testing.T) {
	text := mergeSections([]string{"[a]", "x = 1", "[b]", "y = 2", "[a]", "z = 3"})
	assert.Equal(t, text, "[a]\nx = 1\nz = 3\n[b]\ny = 2\n")
}

func TestPlot(t *testing.T) {
	result := Result{
		Variant:     "a",
		Report:      load.NewReport(),
		TotalStarts: 1,
	}
	assert.NilError(t, Plot(t.TempDir()+"/x.svg", []Result{result}))
}
