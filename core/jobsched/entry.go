package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workerentry"
)

// classifyEntries splits a list into usable and unusable entries. Entries that are
// valid by themselves may still be unusable because of the configuration or of the
// reports of other workers.
func (m *Machine) classifyEntries(list WorkersListed) ([]WorkerEntry, []workerentry.Unusable) {
	fault := m.entryClassifier()
	usable, unusable := make([]WorkerEntry, 0, len(list.Workers)), slices.Clip(list.Unusable)
	for _, e := range list.Workers {
		if f := fault(e); f != workerentry.Valid {
			unusable = append(unusable, workerentry.Unusable{ID: e.ID, Fault: f})
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
func (m *Machine) entryClassifier() func(WorkerEntry) workerentry.Fault {
	var named map[string]struct{}
	if m.config != nil && len(m.config.Services) > 0 {
		named = m.namedServices()
	}
	return func(e WorkerEntry) workerentry.Fault {
		if _, ok := named[e.Service]; named != nil && !ok {
			return workerentry.UnnamedService
		}
		if m.startTimesReported && e.StartedMs == 0 {
			return workerentry.NoStartTime
		}
		return workerentry.Valid
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

// trackEntries takes in the unusable entries of a list after the usable ones have been
// applied.
func (m *Machine) trackEntries(unusable []workerentry.Unusable) {
	for _, n := range m.entries.Update(m.now, unusable, m.isKnownWorker, m.isListedWorker) {
		m.emit(Note{Decision: entryMessages[n.Change], Worker: model.Incarnation{ID: n.Worker}, Reason: n.Reason})
	}
}

// entryMessages are the log messages about changes of entries.
var entryMessages = map[workerentry.Change]string{
	workerentry.BecameUnusable: joblog.MessageEntryUnusable,
	workerentry.Repaired:       joblog.MessageEntryRepaired,
	workerentry.Gone:           joblog.MessageEntryGone,
}

func (m *Machine) isKnownWorker(id model.WorkerID) bool { return m.latestIncarnation(id) != nil }

func (m *Machine) isListedWorker(id model.WorkerID) bool {
	w := m.latestIncarnation(id)
	return w != nil && w.listed
}

// TakeEntryCounts returns the counts of the workers' entries and resets those of changes.
func (m *Machine) TakeEntryCounts() workerentry.Counts { return m.entries.TakeCounts() }
