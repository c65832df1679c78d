package workerentry

import "github.com/guavarill/guavarill/core/model"

// Fault is the reason why an entry of the platform's list does not describe a
// usable worker.
type Fault int

// The faults. Entries are written by workers and by anyone else with access to the
// list, so every field is validated.
const (
	// Valid means that the entry has no fault.
	Valid Fault = iota
	// Unreadable: the value is not a JSON object.
	Unreadable
	// WrongType: a field without a fault of its own has the wrong type.
	WrongType
	// Incomplete: a required field without a fault of its own is missing.
	Incomplete
	// BadID: the id is empty or cannot be sent in a header.
	BadID
	NoService
	// BadAddress: the address is not host:port.
	BadAddress
	// UnknownState: the state is neither that of an active worker nor that of
	// a leaving one.
	UnknownState
	// NoCapacity: processor or memory is not positive, the number of accelerators is
	// negative, or one of them is larger than any VM has.
	NoCapacity
	// NoLabels: there is no label, or one of them is empty.
	NoLabels
	// UnnamedService: the configuration does not contain the service.
	UnnamedService
	// NoStartTime: the start time is missing although workers in this cluster
	// report it.
	NoStartTime
)

// faultNames are the names in log lines and metrics.
var faultNames = [...]string{
	"sound", "unreadable", "wrong type", "incomplete", "bad id", "no service", "bad address", "unknown state", "no capacity",
	"no labels", "unnamed service", "no start",
}

// String returns the fault's name.
func (f Fault) String() string {
	if f < 0 || int(f) >= len(faultNames) {
		return "invalid fault"
	}
	return faultNames[f]
}

// Faults returns all faults, without Valid.
func Faults() []Fault {
	faults := make([]Fault, 0, len(faultNames)-1)
	for f := Unreadable; int(f) < len(faultNames); f++ {
		faults = append(faults, f)
	}
	return faults
}

// Unusable is an entry of the platform's list that does not describe a usable
// worker.
type Unusable struct {
	ID    model.WorkerID
	Fault Fault
}
