// Command rig plays the scripted cases of a review: it starts the deployment's daemons as
// separate processes between stand-ins of the platform, of workers and of clients, and
// disturbs them.
//
// Usage: rig CASE RECORD, from the repository's root. RECORD is the file to which what was
// sent, answered and run is written. With TROUBLE=0 in the environment nothing is disturbed.
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
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
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	r, err := newRig(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	// All processes are ended whatever ends the case.
	defer r.close()
	finished := make(chan any, 1)
	go func() {
		defer func() { finished <- recover() }()
		cases[args[0]](r)
	}()
	var failure any
	select {
	case failure = <-finished:
	case s := <-interrupted:
		failure = rigFailure{fmt.Errorf("ended by the signal %v", s)}
	case <-time.After(limit):
		failure = rigFailure{fmt.Errorf("not finished within %s", limit)}
	}
	if failure != nil {
		r.note("the case could not run: %v", failure)
		fmt.Fprintln(os.Stderr, "the case could not run:", failure)
		return exitNotRun
	}
	return verdict(r)
}

// verdict prints what was broken, and returns the exit code.
func verdict(r *rig) int {
	broken := r.audit.brokenRules()
	for _, text := range broken {
		fmt.Println("BROKEN", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note("held")
	fmt.Println("held")
	return exitHeld
}
