package workersession

import (
	"cmp"
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

const unthrottled = 100

// attempt is what the session knows of one attempt on its worker.
type attempt struct {
	name   string // the task's name towards the agent
	number uint32
	key    model.AttemptKey

	// What the owner wants.
	wanted     bool // in the latest Desired
	inherited  bool // in the first Desired, or found at the agent
	kind       Kind
	start      *workerv1.Start
	checkpoint bool
	throttle   uint32

	// What was sent.
	started   bool   // a Start left, so it may run
	stopAcked bool   // the agent carried out or began the stop
	missing   bool   // a whole report lacked it
	sentCall  uint64 // the call that carried its latest command
	sentKind  sentKind

	throttleSent    uint32    // percent in the latest Throttle
	throttleAcked   uint32    // 0: not known
	throttleConfirm time.Time // when it is to be sent once more; zero: not

	// What is known.
	running        bool
	address        string
	stopCheckpoint string // checkpoint that the answer to a stop carried
	measuredAt     int64
	bound          time.Time
	over           bool
	forgetOnly     bool    // the owner asked to forget it without having wanted it here
	end            Command // how its end was told to the owner; nil: not told
	forgetCall     uint64  // the call that carried its forget
}

// sentKind is the kind of command that was sent for an attempt.
type sentKind uint8

const (
	sentNone sentKind = iota
	sentStart
	sentStop
	sentThrottle
	sentStale
)

// mayRun reports whether it can have begun on the worker.
func (a *attempt) mayRun() bool { return a.started || a.running || a.inherited }

// startOpen reports whether its Start has yet to be answered.
func (a *attempt) startOpen() bool {
	return a.wanted && !a.over && !a.missing && a.kind == Start && !a.running
}

// stopOpen reports whether it is to be stopped and the agent has yet to say
// that it did.
func (a *attempt) stopOpen() bool {
	return !a.over && !a.stopAcked && (a.kind == Stop || a.missing)
}

// throttleOpen reports whether the agent has yet to confirm the throttle.
func (a *attempt) throttleOpen() bool {
	return a.wanted && a.running && !a.over && a.kind != Stop && !a.missing &&
		a.throttle != a.throttleAcked
}

// open reports whether any command for it waits to be sent.
func (a *attempt) open() bool {
	return a.stopOpen() || a.throttleOpen() || a.startOpen()
}

// renewable reports whether its lease is to be prolonged. What is to stop
// lapses if the worker is not heard, except that an attempt whose progress is
// to be saved lives until the agent has the order to save it.
func (a *attempt) renewable() bool {
	if a.over || a.missing || !a.wanted {
		return false
	}
	if a.kind == Stop {
		return a.checkpoint && !a.stopAcked
	}
	return a.mayRun()
}

// attemptID is an attempt as the agent names it.
type attemptID struct {
	name   string
	number uint32
}

// attemptSet holds attempts by name, and sorted so that messages and commands
// come out in the same order every time.
type attemptSet struct {
	byID   map[attemptID]*attempt
	sorted []*attempt
}

func newAttemptSet() attemptSet {
	return attemptSet{byID: make(map[attemptID]*attempt)}
}

func (t *attemptSet) find(name string, number uint32) *attempt {
	return t.byID[attemptID{name, number}]
}

// add inserts a new attempt.
func (t *attemptSet) add(a *attempt) {
	at, _ := slices.BinarySearchFunc(t.sorted, a, compareAttempts)
	t.sorted = slices.Insert(t.sorted, at, a)
	t.byID[attemptID{a.name, a.number}] = a
}

// removeIf drops the attempts for which drop is true.
func (t *attemptSet) removeIf(drop func(*attempt) bool) {
	t.sorted = slices.DeleteFunc(t.sorted, func(a *attempt) bool {
		if !drop(a) {
			return false
		}
		delete(t.byID, attemptID{a.name, a.number})
		return true
	})
}

func compareAttempts(a, b *attempt) int {
	if c := cmp.Compare(a.name, b.name); c != 0 {
		return c
	}
	return cmp.Compare(a.number, b.number)
}
