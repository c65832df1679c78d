package ledger

// State is the state of a task in the ledger.
type State uint8

// The states of a task. The zero State means that there is no record.
const (
	stateAbsent State = iota
	// Pending tasks wait for a worker with free capacity.
	Pending
	// Assigned tasks are committed to a worker and may be running on it.
	Assigned
	// Running tasks were reported running by their worker.
	Running
	// Stopping tasks are to be stopped; their size is still committed on their
	// worker.
	Stopping
	// Succeeded, Failed and Cancelled are the terminal states.
	Succeeded
	Failed
	Cancelled
	// Moved tasks were handed to another shard. The record is kept so that this
	// shard does not create the task again.
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

// Terminal reports whether the task has ended for good.
func (s State) Terminal() bool {
	return s == Succeeded || s == Failed || s == Cancelled
}

// HoldsRoom reports whether the task's size is committed on its worker: the task
// is assigned, running or stopping.
func (s State) HoldsRoom() bool {
	return s == Assigned || s == Running || s == Stopping
}
