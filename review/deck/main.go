package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"replace": playReplace,
	"stop":    playStop,
}

func main() {
	os.Exit(run())
}

func run() int {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: deck CASE RECORD FOLDER")
		return cannot
	}
	name, file, dir := os.Args[1], os.Args[2], os.Args[3]
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", name, trouble)
	f, err := newFleet(dir, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer f.close()
	breaks, err := cases[name](f, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannot
	case breaks > 0:
		r.add("broken %d times", breaks)
		fmt.Println("broken", breaks, "times")
		return broken
	}
	r.add("held")
	fmt.Println("held")
	return held
}
