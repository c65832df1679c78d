package jobsched

import (
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/job"
)

// progressOf returns the progress record of a job.
func (m *Machine) progressOf(j *jobState) *job.Progress {
	p := j.progress()
	m.dropDoneRestarts(j)
	p.Restarts = maps.Clone(m.restarts.requested[j.id])
	return p
}

// progress returns the job's progress without its restarts.
func (j *jobState) progress() *job.Progress {
	p := &job.Progress{State: j.state, Queue: j.fingerprint}
	if j.state.Final() {
		p.FinalAtMs = j.overAtMs
		return p
	}
	p.Occurrences = make(map[int]job.OccurrenceProgress, len(j.occurrences))
	for number, o := range j.occurrences {
		p.Occurrences[number] = o.progress()
	}
	p.SetBegun(j.next)
	return p
}

func (o *occurrence) progress() job.OccurrenceProgress {
	p := job.OccurrenceProgress{Steps: make([]job.StepProgress, len(o.steps))}
	for i, s := range o.steps {
		p.Steps[i] = s.progress()
	}
	return p
}

func (s *step) progress() job.StepProgress {
	p := job.StepProgress{Stalls: s.pace.doublings}
	if s.left < len(s.tasks) {
		done := make([]byte, len(s.tasks))
		for i, t := range s.tasks {
			done[i] = '0'
			if t.done {
				done[i] = '1'
			}
		}
		p.Done = string(done)
	}
	for i, t := range s.tasks {
		if t.done || !t.needsRecord() {
			continue
		}
		if p.Tasks == nil {
			p.Tasks = make(map[int]job.TaskProgress)
		}
		p.Tasks[i] = t.progress()
	}
	return p
}

// needsRecord reports whether the record of an unfinished task holds more than its
// first attempt. That need not be stored: a leader that takes over skips the
// numbers that may have been used.
func (t *task) needsRecord() bool {
	return t.last > 1 || len(t.failed) > 0 || t.checkpoint != "" || len(t.crashes) > 0 || t.trial.number > 0 || t.stalls > 0
}

func (t *task) progress() job.TaskProgress {
	return job.TaskProgress{
		Attempts: t.last, Failed: slices.Clone(t.failed), Checkpoint: job.StorableCheckpoint(t.checkpoint),
		Crashes: slices.Clone(t.crashes), Trial: t.trial.record(), Stalls: t.stalls,
	}
}

// restore applies recorded progress to an occurrence. attemptGap is added to the
// recorded attempt numbers to skip those that were used but not recorded.
func (o *occurrence) restore(p job.OccurrenceProgress, attemptGap int) {
	for i := range min(len(p.Steps), len(o.steps)) {
		s := o.steps[i]
		s.pace.doublings = p.Steps[i].Stalls
		for index := range min(len(p.Steps[i].Done), len(s.tasks)) {
			if p.Steps[i].Done[index] == '1' {
				o.taskDone(s.tasks[index])
			}
		}
		for index, t := range p.Steps[i].Tasks {
			if index >= 0 && index < len(s.tasks) {
				s.tasks[index].restore(t)
			}
		}
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			t.last += attemptGap
		}
	}
}

func (t *task) restore(p job.TaskProgress) {
	t.last = p.Attempts
	t.failed = p.Failed
	t.step.blamed = t.step.blamed || len(p.Failed) > 0
	t.checkpoint = p.Checkpoint
	t.crashes = p.Crashes
	t.stalls = p.Stalls
	if p.Trial != nil {
		t.trial = trial{number: p.Trial.Attempt, worker: p.Trial.Incarnation(), inherited: true}
	}
	if t.step.spec.Gang {
		t.step.checkpoint = p.Checkpoint
	}
}
