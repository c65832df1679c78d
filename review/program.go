package review

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// Case is one case of the review. It returns whether the rule was broken, and an
// error if the case could not run. trouble is false if the disruption is to be left
// out.
type Case func(record *Record, trouble bool) (broken bool, err error)

// Run runs a case. The first argument is the path of its record.
func Run(c Case) {
	os.Exit(execute(c))
}

func execute(c Case) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		return exitCannotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	broken, err := c(record, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		record.Add("the case could not run: %v", err)
		code = exitCannotRun
	case broken:
		record.Add("the rule was broken")
		code = exitBroken
	default:
		record.Add("the rule held")
	}
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}
