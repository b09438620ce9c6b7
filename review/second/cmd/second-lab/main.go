package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldnot = 2
)

var cases = map[string]func(l *Lab) (int, error){"drill": caseDrill, "endless": caseEndless, "trailers": caseTrailers}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second-lab CASE RECORD, in the root of the repository")
		os.Exit(couldnot)
	}
	l, err := NewLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldnot)
	}
	code, err := cases[os.Args[1]](l)
	if err != nil {
		l.Logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		code = couldnot
	}
	l.Logf("exit code %d", code)
	l.Close()
	os.Exit(code)
}
