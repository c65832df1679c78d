package workersession

import (
	"cmp"
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

const unthrottled = 100

// attempt is the session's state of one attempt on its worker.
type attempt struct {
	name   string // the task's name in the protocol
	number uint32
	key    model.AttemptKey

	// The desired state.
	wanted     bool // in the latest Desired
	inherited  bool // in the first Desired, first desired as Keep, or reported by the agent
	kind       Kind
	start      *workerv1.Start
	checkpoint bool
	throttle   uint32

	// What was sent.
	started   bool   // a Start was sent, so it may be running
	stopAcked bool   // the agent executed or began the stop
	missing   bool   // a full report did not contain it
	sentCall  uint64 // the call that carried its latest command
	sentKind  sentKind

	throttleSent    uint32    // percent in the latest Throttle
	throttleAcked   uint32    // 0: not known
	throttleConfirm time.Time // when to send the throttle once more; zero: not needed

	// The state as reported by the agent.
	running        bool
	address        string
	stopCheckpoint string // checkpoint from the result of a stop
	measuredAt     int64
	bound          time.Time
	over           bool
	forgetOnly     bool    // added by Desired.Forget, never desired in this session
	end            Command // the command that reported its end; nil: none
	forgetCall     uint64  // the call that carried its Forget command
}

// sentKind is the kind of the latest command sent for an attempt. sentStale
// replaces it when the agent answered that the command is stale.
type sentKind uint8

const (
	sentNone sentKind = iota
	sentStart
	sentStop
	sentThrottle
	sentStale
)

// mayRun reports whether the attempt may have started on the worker.
func (a *attempt) mayRun() bool { return a.started || a.running || a.inherited }

// startOpen reports whether a Start has to be sent or has not been answered yet.
func (a *attempt) startOpen() bool {
	return a.wanted && !a.over && !a.missing && a.kind == Start && !a.running
}

// stopOpen reports whether the attempt must be stopped and the agent has not
// confirmed the stop yet.
func (a *attempt) stopOpen() bool {
	return !a.over && !a.stopAcked && (a.kind == Stop || a.missing)
}

// throttleOpen reports whether the agent has not confirmed the throttle yet.
func (a *attempt) throttleOpen() bool {
	return a.wanted && a.running && !a.over && a.kind != Stop && !a.missing &&
		a.throttle != a.throttleAcked
}

// open reports whether any command for the attempt is pending.
func (a *attempt) open() bool {
	return a.stopOpen() || a.throttleOpen() || a.startOpen()
}

// renewable reports whether the attempt's lease is to be renewed. The lease of an
// attempt to be stopped is left to expire in case the worker is unreachable. An
// attempt that is stopped with a checkpoint is renewed until the agent has
// acknowledged the stop.
func (a *attempt) renewable() bool {
	if a.over || a.missing || !a.wanted {
		return false
	}
	if a.kind == Stop {
		return a.checkpoint && !a.stopAcked
	}
	return a.mayRun()
}

// attemptID identifies an attempt in the protocol.
type attemptID struct {
	name   string
	number uint32
}

// attemptSet holds attempts by ID and in sorted order. The order makes messages
// and commands deterministic.
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
