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
	Only string `help:"Run only the mutations whose name has this in it."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Check that each proof fails without its mechanism."))
	ctx.FatalIfErrorf(c.Run())
}

// Run runs all mutations and fails when a proof didn't notice one.
func (c *cli) Run() error {
	unnoticed := 0
	for _, m := range mutations {
		if !strings.Contains(m.name, c.Only) {
			continue
		}
		noticed, last, err := try(m)
		if err != nil {
			return errors.Annotate(err, m.name)
		}
		verdict := "fails, as it should"
		if !noticed {
			verdict = "PASSES"
			unnoticed++
		}
		fmt.Printf("%-48s %-55s %s: %s\n", m.name, m.proof, verdict, last)
	}
	if unnoticed > 0 {
		return errors.Errorf("%d mutations went unnoticed", unnoticed)
	}
	return nil
}

// try copies the source, edits the copy and runs the proof there.
func try(m mutation) (noticed bool, first string, err error) {
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return false, "", errors.Annotate(err, "make a directory")
	}
	defer os.RemoveAll(dir)
	if err := copySource(".", dir); err != nil {
		return false, "", errors.Annotate(err, "copy source")
	}
	for _, e := range m.edits {
		if err := e.apply(dir); err != nil {
			return false, "", err
		}
	}
	pkg := m.pkg
	if pkg == "" {
		pkg = "./proof"
	}
	build := exec.Command("go", "vet", pkg)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, "", errors.Annotatef(err, "the edited source doesn't build: %s", out)
	}
	test := exec.Command("go", "test", pkg, "-run", m.proof, "-count=1")
	test.Dir = dir
	out, err := test.CombinedOutput()
	return err != nil, firstFailure(string(out)), nil
}

// firstFailure finds the first assertion that failed.
func firstFailure(out string) string {
	for line := range strings.Lines(out) {
		if strings.Contains(line, "_test.go:") && !strings.Contains(line, "fleet_test.go") {
			return strings.TrimSpace(line)
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
