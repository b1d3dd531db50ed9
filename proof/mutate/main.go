// Command mutate runs mutation tests: it disables one mechanism at a time in a copy of
// the source and checks that the test that depends on the mechanism then fails.
//
//	go run ./proof/mutate
package main

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
)

// edit replaces a piece of text that occurs exactly once in a file.
type edit struct {
	file string
	old  string
	with string
}

// mutation disables one mechanism.
type mutation struct {
	name  string
	edits []edit
	pkg   string // package of the test; ./proof if empty
	proof string // -run pattern of go test
}

// cli holds the command-line flags.
type cli struct {
	Only    string `help:"Run only the mutations whose name has this in it."`
	Workers int    `help:"Mutations at a time." default:"3"`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Check that each proof fails if its mechanism is disabled."))
	ctx.FatalIfErrorf(c.Run())
}

// result is the result of one mutation.
type result struct {
	mutation mutation
	detected bool
	failedAt string // file and line of the first failed assertion
	err      error
}

// Run runs the selected mutations concurrently and returns an error if any was not
// detected by its test or could not be run.
func (c *cli) Run() error {
	pending, results := make(chan mutation), make(chan result)
	for range c.Workers {
		go func() {
			for m := range pending {
				results <- runMutation(m)
			}
		}()
	}
	selected := c.selected()
	go func() {
		for _, m := range selected {
			pending <- m
		}
		close(pending)
	}()
	undetected := 0
	for range selected {
		if !printResult(<-results) {
			undetected++
		}
	}
	if undetected > 0 {
		return errors.Errorf("%d mutations not detected or not run", undetected)
	}
	return nil
}

func (c *cli) selected() []mutation {
	var selected []mutation
	for _, m := range mutations {
		if strings.Contains(m.name, c.Only) {
			selected = append(selected, m)
		}
	}
	return selected
}

// printResult prints a result and reports whether the mutation was detected.
func printResult(r result) bool {
	verdict := "fails, as it should, at " + r.failedAt
	switch {
	case r.err != nil:
		verdict = "NOT RUN: " + r.err.Error()
	case !r.detected:
		verdict = "PASSES"
	}
	fmt.Printf("%s | %s | %s\n", r.mutation.name, r.mutation.proof, verdict)
	return r.err == nil && r.detected
}

// runMutation applies a mutation to a copy of the source and runs its test there.
func runMutation(m mutation) result {
	r := result{mutation: m}
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		r.err = errors.Annotate(err, "create temporary directory")
		return r
	}
	defer os.RemoveAll(dir)
	if r.err = prepare(m, dir); r.err != nil {
		return r
	}
	pkg := m.pkg
	if pkg == "" {
		pkg = "./proof"
	}
	test := exec.Command("go", "test", "-trimpath", pkg, "-run", m.proof, "-count=1")
	test.Dir = dir
	out, err := test.CombinedOutput()
	if strings.Contains(string(out), "[build failed]") {
		r.err = errors.Errorf("mutated source does not build: %s", out)
		return r
	}
	r.detected, r.failedAt = err != nil, firstFailure(string(out))
	return r
}

func prepare(m mutation, dir string) error {
	if err := copySource(".", dir); err != nil {
		return errors.Annotate(err, "copy source")
	}
	for _, e := range m.edits {
		if err := e.apply(dir); err != nil {
			return err
		}
	}
	return nil
}

// firstFailure returns the file and line of the first failed assertion, or the start of the
// output if there is none. Lines of fleet_test.go are skipped, as they come from helpers.
func firstFailure(out string) string {
	for line := range strings.Lines(out) {
		if strings.Contains(line, "_test.go:") && !strings.Contains(line, "fleet_test.go") {
			at, _, _ := strings.Cut(strings.TrimSpace(line), ": ")
			return at
		}
	}
	return strings.TrimSpace(out[:min(len(out), 200)])
}

func (e edit) apply(dir string) error {
	name := filepath.Join(dir, e.file)
	raw, err := os.ReadFile(name)
	if err != nil {
		return errors.Annotate(err, "read source")
	}
	if strings.Count(string(raw), e.old) != 1 {
		return errors.Errorf("%s: text to replace found %d times, want 1", e.file, strings.Count(string(raw), e.old))
	}
	text := strings.Replace(string(raw), e.old, e.with, 1)
	return errors.Annotate(os.WriteFile(name, []byte(text), 0o600), "write source")
}

// copySource copies a directory tree without .git directories.
func copySource(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if d.Name() == ".git" {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, path), 0o700)
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, path), raw, 0o600)
	})
}
