package ledger

import (
	"slices"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/core/model"
)

// MaxRecordBytes is the maximum size of an encoded task record. It keeps every
// record far below the store's limit on the size of a value.
const MaxRecordBytes = 64 << 10

// transitions lists, for each state, the states to which a Put may change a task.
// A state that lists itself allows updates of the record. Moved is entered only by
// Handoff and left only by Receive. Terminal and moved records may be removed.
var transitions = [numStates][]State{
	stateAbsent: {Pending},
	Pending:     {Pending, Assigned, Failed, Cancelled},
	Assigned:    {Assigned, Running, Stopping, Succeeded, Failed, Pending},
	Running:     {Running, Stopping, Succeeded, Failed, Pending},
	Stopping:    {Stopping, Succeeded, Failed, Cancelled, Pending},
}

func allowed(from, to State) bool { return slices.Contains(transitions[from], to) }

// entry is a checked change with its effect on this ledger: exactly one of put,
// remove and quarantine is set.
type entry struct {
	change     Change
	put        *Task
	remove     *model.TaskKey
	quarantine *Quarantine
	// size is the approximate size of the effect in a delta, in bytes.
	size int
}

// apply applies the entry's effect to c.
func (e *entry) apply(c *Contents) {
	switch {
	case e.put != nil:
		c.put(e.put)
	case e.remove != nil:
		c.remove(*e.remove)
	case e.quarantine != nil:
		c.setQuarantine(*e.quarantine)
	}
}

// check returns the entry for a change, or the reason why the change is not
// allowed on contents. The entry shares no data with the change that the proposer
// could modify.
func check(contents *Contents, own model.ShardID, c Change) (entry, DropReason) {
	if !wellFormed(&c) {
		return entry{}, DropMalformed
	}
	switch {
	case c.Put != nil:
		return checkPut(contents, c)
	case c.Remove != nil:
		return checkRemove(contents, c)
	case c.Quarantine != nil:
		return checkQuarantine(contents, c)
	case c.Handoff != nil:
		return checkHandoff(contents, own, c)
	default:
		return checkReceive(contents, c)
	}
}

func wellFormed(c *Change) bool {
	set := 0
	for _, isSet := range []bool{
		c.Put != nil, c.Remove != nil, c.Quarantine != nil, c.Handoff != nil, c.Receive != nil,
	} {
		if isSet {
			set++
		}
	}
	if set != 1 {
		return false
	}
	if key, ok := c.TaskKey(); ok && key.Workload == "" {
		return false
	}
	return c.Quarantine == nil || validWorker(c.Quarantine.Worker)
}

func validWorker(id model.WorkerID) bool {
	return id != "" && utf8.ValidString(string(id))
}

func checkPut(contents *Contents, c Change) (entry, DropReason) {
	t := *c.Put
	t.FailedWorkers = slices.Clone(t.FailedWorkers)
	t.MovedTo = 0
	t.normalise()
	current, known := contents.records[t.Key]
	if !known {
		current = &Task{Key: t.Key}
	}
	if reason := checkTransition(current, &t); reason != "" {
		return entry{}, reason
	}
	if known && t.Equal(current) {
		return entry{}, DropNoChange
	}
	c.Put = &t
	return putEntry(c, &t)
}

// checkTransition returns the reason why a record may not replace another, or "".
func checkTransition(from, to *Task) DropReason {
	if to.State >= numStates || !allowed(from.State, to.State) {
		return DropTransition
	}
	if resumesAfterEnd(from, to) {
		return DropTransition
	}
	if to.Attempt != nextAttempt(from, to) {
		return DropAttempt
	}
	return checkWorker(from, to)
}

// resumesAfterEnd reports whether a task that is being stopped for good would run
// again, which happens when an eviction and a cancellation cross.
func resumesAfterEnd(from, to *Task) bool {
	if from.State != Stopping || from.Resume {
		return false
	}
	return to.State == Pending || to.State == Stopping && to.Resume
}

// nextAttempt returns the attempt number that the new record must have: the next
// number for each placement and the same number otherwise. With two placements
// under one number, the reports of their workers could not be distinguished.
func nextAttempt(from, to *Task) model.Attempt {
	if from.State == Pending && to.State == Assigned {
		return from.Attempt + 1
	}
	return from.Attempt
}

// checkWorker checks that an attempt stays on one worker.
func checkWorker(from, to *Task) DropReason {
	switch {
	case to.State == Pending:
		if to.Worker != "" {
			return DropWorker
		}
	case to.State.HoldsRoom() && to.Worker == "":
		return DropWorker
	case to.State.Terminal() && to.Worker == "":
		return ""
	case from.State.HoldsRoom() && to.Worker != from.Worker:
		return DropWorker
	}
	return ""
}

func checkRemove(contents *Contents, c Change) (entry, DropReason) {
	key := *c.Remove
	current, known := contents.records[key]
	if !known {
		return entry{}, DropUnknownTask
	}
	if !current.State.Terminal() && current.State != Moved {
		return entry{}, DropTransition
	}
	c.Remove = &key
	return entry{change: c, remove: &key, size: proto.Size(encodeKey(key))}, ""
}

func checkQuarantine(contents *Contents, c Change) (entry, DropReason) {
	q := *c.Quarantine
	q.Until = wholeMillis(q.Until)
	if q.Lifted() {
		q.Level = 0
	}
	current, known := contents.quarantines[q.Worker]
	if known == !q.Lifted() && current.Level == q.Level && current.Until.Equal(q.Until) {
		return entry{}, DropNoChange
	}
	c.Quarantine = &q
	return entry{change: c, quarantine: &q, size: proto.Size(encodeQuarantine(q))}, ""
}

func checkHandoff(contents *Contents, own model.ShardID, c Change) (entry, DropReason) {
	h := *c.Handoff
	h.Task.FailedWorkers = slices.Clone(h.Task.FailedWorkers)
	h.Task.MovedTo = 0
	h.Task.normalise()
	current, known := contents.records[h.Task.Key]
	switch {
	case h.To == own:
		return entry{}, DropMalformed
	case !known:
		return entry{}, DropUnknownTask
	case current.State != Pending || h.Task.State != Pending:
		return entry{}, DropTransition
	case h.Task.Attempt != current.Attempt:
		return entry{}, DropAttempt
	case h.Task.Worker != "":
		return entry{}, DropWorker
	}
	c.Handoff = &h
	moved := &Task{Key: h.Task.Key, State: Moved, Attempt: h.Task.Attempt, MovedTo: h.To}
	given, reason := putEntry(c, &h.Task)
	if reason != "" {
		return entry{}, reason
	}
	e, reason := putEntry(c, moved)
	e.size += given.size
	return e, reason
}

func checkReceive(contents *Contents, c Change) (entry, DropReason) {
	item := *c.Receive
	t := &item.Task
	t.FailedWorkers = slices.Clone(t.FailedWorkers)
	t.MovedTo = 0
	t.normalise()
	if item.Key == "" || t.State != Pending || t.Worker != "" {
		return entry{}, DropMalformed
	}
	current, known := contents.records[t.Key]
	if known && current.State != Moved {
		return entry{}, DropDuplicateReceive
	}
	if known && t.Attempt < current.Attempt {
		return entry{}, DropAttempt
	}
	c.Receive = &item
	return putEntry(c, t)
}

func putEntry(c Change, t *Task) (entry, DropReason) {
	if t.Size != nonNegative(t.Size) || !validText(t) {
		return entry{}, DropMalformed
	}
	size := proto.Size(encodeTask(t))
	if size > MaxRecordBytes {
		return entry{}, DropTooLarge
	}
	return entry{change: c, put: t, size: size}, ""
}

// validText reports whether all strings can be stored. A single string that is not
// valid UTF-8, for example in a worker's failure detail, would make the encoding
// of every commit that contains it fail.
func validText(t *Task) bool {
	for _, id := range t.FailedWorkers {
		if !utf8.ValidString(string(id)) {
			return false
		}
	}
	for _, s := range []string{
		t.Key.Workload, string(t.Worker), t.Checkpoint, t.Reason, t.Address, t.Class, t.Team,
	} {
		if !utf8.ValidString(s) {
			return false
		}
	}
	return true
}

func nonNegative(r model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(r.MilliCPU, 0),
		MemoryMB:     max(r.MemoryMB, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}
