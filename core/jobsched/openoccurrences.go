package jobsched

import (
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// This file bounds the occurrences of a job that are open at once, and with them its
// progress record. An occurrence that is done counts as open until that is stored:
// the next leader would find it open, and beside it those that began in its place.

// mayOpen reports whether another occurrence of the job may begin.
func (j *jobState) mayOpen() bool { return j.next-j.storedDone < j.openLimit }

// mayHaveBegun reports whether an earlier leader may have begun an occurrence without
// recording that. A leader of the previous version had no limit, and its attempts must
// not be taken for unknown ones.
func (j *jobState) mayHaveBegun(number int) bool {
	tasks, _ := j.record.Spec.Work()
	recoverable := max(j.openLimit, job.MaxTasks/max(tasks, 1))
	return number < j.total() && number-j.storedDone < recoverable
}

// recoveredEnd returns the number of the first occurrence of a recovered job that no
// earlier leader can have begun: it was not due yet, or too many were open.
func (m *Machine) recoveredEnd(j *jobState) int {
	schedule := j.record.Spec.Schedule
	if schedule == nil {
		return j.total()
	}
	end := j.next
	for end < j.total() && j.mayHaveBegun(end) && m.mayHaveBeenDue(schedule.Due(end)) {
		end++
	}
	return end
}

// mayHaveBeenDue reports whether an earlier leader may have taken an occurrence for due,
// by its own clock.
func (m *Machine) mayHaveBeenDue(due time.Time) bool {
	wall := m.wall
	if wall.IsZero() {
		wall = m.recoveredWall
	}
	return wall.IsZero() || due.Before(wall.Add(finalClockError))
}

// openOccurrences returns the occurrences that have begun and are not done, in the
// order of their numbers.
func (j *jobState) openOccurrences() []*occurrence {
	var open []*occurrence
	for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
		open = append(open, j.occurrences[number])
	}
	return open
}

// doneIn returns how many occurrences of the jobs with the given records are done.
func (m *Machine) doneIn(records []ProgressRecord) map[job.ID]int {
	done := make(map[job.ID]int)
	for _, r := range records {
		if j := m.jobs.Get(r.ID); j != nil {
			done[r.ID] = j.done
		}
	}
	return done
}

// markDoneStored makes room for further occurrences after a commit.
func (m *Machine) markDoneStored(done map[job.ID]int) {
	for id, n := range done {
		if j := m.jobs.Get(id); j != nil {
			j.storedDone = n
		}
	}
}

// dropDoneRestarts bounds the restarts of tasks whose occurrences are done. It keeps
// those of the latest occurrences, because a worker that was silent may still report
// the end of an earlier attempt there.
func (m *Machine) dropDoneRestarts(j *jobState) {
	requested := m.restarts.requested[j.id]
	if len(requested) <= job.MaxDoneRestarts {
		return
	}
	var done []job.TaskKey
	for key := range requested {
		if j.occurrences[key.Occurrence] == nil {
			done = append(done, key)
		}
	}
	if len(done) <= job.MaxDoneRestarts {
		return
	}
	slices.SortFunc(done, func(a, b job.TaskKey) int { return a.Occurrence - b.Occurrence })
	// Half of them are dropped at once, so that this is rare.
	for _, key := range done[:len(done)-job.MaxDoneRestarts/2] {
		delete(requested, key)
		delete(m.restarts.stored[j.id], key)
		delete(m.restarts.sent[j.id], key)
	}
}
