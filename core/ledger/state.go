package ledger

// State is where a task stands.
type State uint8

// The states of a task. The zero State is that of a task without a record.
const (
	stateAbsent State = iota
	// Pending tasks wait for room.
	Pending
	// Assigned tasks are committed to a worker and may run there from now on.
	Assigned
	// Running tasks were reported running by their worker.
	Running
	// Stopping tasks are to be stopped; their room is still taken.
	Stopping
	// Succeeded, Failed and Cancelled tasks are over for good.
	Succeeded
	Failed
	Cancelled
	// Moved tasks live in another shard. The record stays so that this shard
	// does not create the task again.
	Moved

	numStates
)

var stateNames = [numStates]string{
	"absent", "pending", "assigned", "running", "stopping",
	"succeeded", "failed", "cancelled", "moved",
}

// String returns the state's name.
func (s State) String() string {
	if s >= numStates {
		return "invalid"
	}
	return stateNames[s]
}

// Terminal reports whether the task is over for good.
func (s State) Terminal() bool {
	return s == Succeeded || s == Failed || s == Cancelled
}

// HoldsRoom reports whether the task's size is committed on its worker.
func (s State) HoldsRoom() bool {
	return s == Assigned || s == Running || s == Stopping
}
