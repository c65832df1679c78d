// Command rig plays the scripted cases of a review: it starts the deployment's daemons as
// separate processes between stand-ins of the platform, of workers and of clients, and
// disturbs them.
//
// Usage: rig CASE FOLDER, from the repository's root. The record is written to the folder.
// With TROUBLE=0 in the environment nothing is disturbed. Exit codes: 0 if the rule held,
// 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*rig){
	"unsized": unsizedTasks,
	"counts":  largeCounts,
	"flap":    flappingWorker,
	"crash":   crashingWorker,
	"sameid":  sameID,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) (code int) {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	r, err := newRig(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	defer func() {
		if failure, ok := recover().(rigFailure); ok {
			r.note("the case could not run: %v", failure.err)
			fmt.Fprintln(os.Stderr, "the case could not run:", failure.err)
			code = exitNotRun
		}
	}()
	finished := make(chan any, 1)
	go func() {
		defer func() { finished <- recover() }()
		cases[args[0]](r)
	}()
	select {
	case failure := <-finished:
		if failure != nil {
			panic(failure)
		}
	case <-time.After(limit):
		panic(rigFailure{fmt.Errorf("not finished within %s", limit)})
	}
	for _, text := range r.audit.brokenRules() {
		fmt.Println("BROKEN", text)
		code = exitBroken
	}
	if code == exitHeld {
		fmt.Println("held")
	}
	return code
}
