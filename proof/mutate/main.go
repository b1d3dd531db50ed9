// Command mutate takes one mechanism after the other out of a copy of the
// source, and checks that the proof that rests on it then fails.
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

// edit replaces one piece of a file.
type edit struct {
	file string
	old  string
	with string
}

// mutation takes one mechanism out.
type mutation struct {
	name  string
	edits []edit
	pkg   string // package of the proof; proof when empty
	proof string // what go test runs
}

// cli is the command line.
type cli struct {
	Only    string `help:"Run only the mutations whose name has this in it."`
	Workers int    `help:"Mutations at a time." default:"3"`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Check that each proof fails without its mechanism."))
	ctx.FatalIfErrorf(c.Run())
}

// result is what became of one mutation.
type result struct {
	mutation mutation
	noticed  bool
	first    string // assertion that failed
	err      error
}

// Run runs all mutations, a few at a time, and fails when a proof didn't
// notice one.
func (c *cli) Run() error {
	todo, results := make(chan mutation), make(chan result)
	for range c.Workers {
		go func() {
			for m := range todo {
				results <- try(m)
			}
		}()
	}
	chosen := c.chosen()
	go func() {
		for _, m := range chosen {
			todo <- m
		}
		close(todo)
	}()
	unnoticed := 0
	for range chosen {
		if !report(<-results) {
			unnoticed++
		}
	}
	if unnoticed > 0 {
		return errors.Errorf("%d mutations went unnoticed", unnoticed)
	}
	return nil
}

func (c *cli) chosen() []mutation {
	var chosen []mutation
	for _, m := range mutations {
		if strings.Contains(m.name, c.Only) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// report prints a result and returns whether the proof did its work.
func report(r result) bool {
	verdict := "fails, as it should, at " + r.first
	switch {
	case r.err != nil:
		verdict = "NOT RUN: " + r.err.Error()
	case !r.noticed:
		verdict = "PASSES"
	}
	fmt.Printf("%s | %s | %s\n", r.mutation.name, r.mutation.proof, verdict)
	return r.err == nil && r.noticed
}

// try copies the source, edits the copy and runs the proof there.
func try(m mutation) result {
	r := result{mutation: m}
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		r.err = errors.Annotate(err, "make a directory")
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
		r.err = errors.Errorf("the edited source doesn't build: %s", out)
		return r
	}
	r.noticed, r.first = err != nil, firstFailure(string(out))
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

// firstFailure finds the first assertion that failed.
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
		return errors.Errorf("%s: the piece to replace stands %d times", e.file, strings.Count(string(raw), e.old))
	}
	text := strings.Replace(string(raw), e.old, e.with, 1)
	return errors.Annotate(os.WriteFile(name, []byte(text), 0o600), "write source")
}

// copySource copies everything but what git keeps for itself.
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
