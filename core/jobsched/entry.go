package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// EntryFault is why an entry of the platform's list names no worker to use.
type EntryFault int

// The faults. Entries are written by workers and by whoever else may write
// there, so that each field is held to what a worker says of itself.
const (
	// EntryValid is no fault.
	EntryValid EntryFault = iota
	// EntryUnreadable: the value is no JSON object.
	EntryUnreadable
	// EntryWrongType: a field without a fault of its own has another type.
	EntryWrongType
	// EntryIncomplete: a field without a fault of its own, which every worker
	// writes, is not there.
	EntryIncomplete
	// EntryBadID: the id is empty, or cannot be sent in a header.
	EntryBadID
	EntryNoService
	// EntryBadAddress: the address is not host:port.
	EntryBadAddress
	// EntryUnknownState: the state is neither that of a worker in use nor that
	// of one that leaves.
	EntryUnknownState
	// EntryNoCapacity: processor or memory is not positive, or the number of
	// accelerators is negative.
	EntryNoCapacity
	// EntryNoLabels: there is no label, or one of them is empty.
	EntryNoLabels
	// EntryUnnamedService: the configuration does not name the service.
	EntryUnnamedService
	// EntryNoStartTime: it does not say when the worker was started, as workers here do.
	EntryNoStartTime
)

// entryFaultNames are the reasons in log lines and metrics.
var entryFaultNames = [...]string{
	"sound", "unreadable", "wrong type", "incomplete", "bad id", "no service", "bad address", "unknown state", "no capacity",
	"no labels", "unnamed service", "no start",
}

// String returns the fault's name.
func (f EntryFault) String() string {
	if f < 0 || int(f) >= len(entryFaultNames) {
		return "invalid fault"
	}
	return entryFaultNames[f]
}

// EntryFaults returns all faults.
func EntryFaults() []EntryFault {
	faults := make([]EntryFault, 0, len(entryFaultNames)-1)
	for f := EntryUnreadable; int(f) < len(entryFaultNames); f++ {
		faults = append(faults, f)
	}
	return faults
}

// UnusableEntry is an entry of the platform's list that names no worker to use.
type UnusableEntry struct {
	ID    model.WorkerID
	Fault EntryFault
}

// classifyEntries parts the entries of workers that may be used from those that are
// unusable, be it by what else is known.
func (m *Machine) classifyEntries(list WorkersListed) ([]WorkerEntry, []UnusableEntry) {
	fault := m.entryClassifier()
	usable, unusable := make([]WorkerEntry, 0, len(list.Workers)), slices.Clip(list.Unusable)
	for _, e := range list.Workers {
		if f := fault(e); f != EntryValid {
			unusable = append(unusable, UnusableEntry{ID: e.ID, Fault: f})
		} else {
			usable = append(usable, e)
		}
	}
	return usable, unusable
}

// entryClassifier returns a function that tells the fault of an entry by the configuration
// and by whether workers say when they were started. That they do is known from their
// own reports alone: anybody may write an entry that says so.
func (m *Machine) entryClassifier() func(WorkerEntry) EntryFault {
	var named map[string]struct{}
	if m.config != nil && len(m.config.Services) > 0 {
		named = m.namedServices()
	}
	return func(e WorkerEntry) EntryFault {
		if _, ok := named[e.Service]; named != nil && !ok {
			return EntryUnnamedService
		}
		if m.startTimesReported && e.StartedMs == 0 {
			return EntryNoStartTime
		}
		return EntryValid
	}
}

// namedServices returns the services of the configuration in force, and those
// on which jobs run that it has no queue for any more.
func (m *Machine) namedServices() map[string]struct{} {
	named := make(map[string]struct{}, len(m.config.Services))
	for name := range m.config.Services {
		named[name] = struct{}{}
	}
	for _, q := range m.config.Queues {
		named[q.Service] = struct{}{}
	}
	for _, j := range m.jobs.All() {
		named[m.queue(j).Service] = struct{}{}
	}
	return named
}
