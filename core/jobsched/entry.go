package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// EntryFault is the reason why an entry of the platform's list does not describe a
// usable worker.
type EntryFault int

// The faults. Entries are written by workers and by anyone else with access to the
// list, so every field is validated.
const (
	// EntryValid means that the entry has no fault.
	EntryValid EntryFault = iota
	// EntryUnreadable: the value is not a JSON object.
	EntryUnreadable
	// EntryWrongType: a field without a fault of its own has the wrong type.
	EntryWrongType
	// EntryIncomplete: a required field without a fault of its own is missing.
	EntryIncomplete
	// EntryBadID: the id is empty or cannot be sent in a header.
	EntryBadID
	EntryNoService
	// EntryBadAddress: the address is not host:port.
	EntryBadAddress
	// EntryUnknownState: the state is neither that of an active worker nor that of
	// a leaving one.
	EntryUnknownState
	// EntryNoCapacity: processor or memory is not positive, or the number of
	// accelerators is negative.
	EntryNoCapacity
	// EntryNoLabels: there is no label, or one of them is empty.
	EntryNoLabels
	// EntryUnnamedService: the configuration does not contain the service.
	EntryUnnamedService
	// EntryNoStartTime: the start time is missing although workers in this cluster
	// report it.
	EntryNoStartTime
)

// entryFaultNames are the names in log lines and metrics.
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

// EntryFaults returns all faults, without EntryValid.
func EntryFaults() []EntryFault {
	faults := make([]EntryFault, 0, len(entryFaultNames)-1)
	for f := EntryUnreadable; int(f) < len(entryFaultNames); f++ {
		faults = append(faults, f)
	}
	return faults
}

// UnusableEntry is an entry of the platform's list that does not describe a usable
// worker.
type UnusableEntry struct {
	ID    model.WorkerID
	Fault EntryFault
}

// classifyEntries splits a list into usable and unusable entries. Entries that are
// valid by themselves may still be unusable because of the configuration or of the
// reports of other workers.
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

// entryClassifier returns a function that returns the fault of an entry with regard
// to the configuration and to whether workers report their start times. That they
// do is only inferred from reports, because anyone may write an entry with a start
// time.
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

// namedServices returns the services of the configuration in force, and those of
// jobs whose queues have been removed from it.
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
