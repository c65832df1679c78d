package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/crashes"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobmemory"
)

// jobState is a job that is not in a final state, or that is but still has attempts
// that may be running.
type jobState struct {
	id     job.ID
	record *job.Accepted
	// fingerprint is that of its queue, as it was accepted.
	fingerprint job.QueueFingerprint
	state       job.State
	// overAtMs is as in job.Progress.
	overAtMs int64
	// begun is set once a task has started; until then the job counts as waiting.
	begun bool
	// recovered is set for a job that an earlier leader may have begun.
	recovered bool
	// recoveredEnd is the number of the first occurrence that no earlier leader can have
	// begun.
	recoveredEnd int
	// wasUnreadable is set for a job that was unreadable until its records could be
	// read again. Its tasks have no record of attempts that were lost meanwhile.
	wasUnreadable bool
	// takenInAt is when this machine took the job in. seenRunning is set once it has
	// known an attempt of the job to run.
	takenInAt   time.Time
	seenRunning bool
	idleCheck   idleCheck
	// resumed is set once a task of a recovered job has been started.
	resumed     bool
	occurrences map[int]*occurrence
	// next is the number of the first occurrence that has not begun.
	next int
	// done counts the occurrences whose tasks are all done, storedDone those of which
	// that is stored.
	done, storedDone int
	// openLimit is how many occurrences may have begun without being stored as done.
	openLimit int
	// cost is what it takes in memory, and memoryBytes what is counted of that now.
	cost        jobmemory.Cost
	memoryBytes int64
	// attempts counts the attempts of all its tasks that may be running.
	attempts int
	// tally is what the job has waited for and cost.
	tally jobTally
}

// total returns the number of occurrences.
func (j *jobState) total() int { return j.record.Spec.Repetitions() }

// occurrence is one repetition of a job's steps.
type occurrence struct {
	job    *jobState
	number int
	steps  []*step
	// left counts the steps that are not done.
	left int
	// criticalPathMs is the longest chain of estimated work through the steps, in
	// milliseconds.
	criticalPathMs int64
	// pathLeftMs is the same for the steps that are not done.
	pathLeftMs int64
	// untilCanceled is set for the occurrence of a job that never ends by itself.
	untilCanceled bool
	// work is the estimated work of all tasks, workLeft of those that are not done,
	// in thousandths of a core times milliseconds.
	work, workLeft float64
	// firstStartAt is when this machine started its first attempt; zero if it has
	// not. waitedForWorker is set once no worker was found for a part of it.
	firstStartAt    time.Time
	waitedForWorker bool
	// outcomeCounted is set once its outcome counts in the balance of its queue.
	outcomeCounted bool
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	number     int
	spec       *job.Step
	tasks      []*task
	// left counts the tasks that are not done. blocking counts the steps that must
	// be done first.
	left, blocking int
	next           []*step
	// checkpoint is the gang's last checkpoint, which is valid for every member.
	checkpoint string
	// lastPass is the number of the last pass that processed the step.
	lastPass uint64
	// notBefore delays the step's next starts after a refusal.
	notBefore time.Time
	// blamed is set once a failure of the step has been counted against a worker.
	blamed bool
	// waitingSince is since when no worker is found for the step. nextNoteAt is
	// when the next note may report that it waits or is held back.
	waitingSince, nextNoteAt time.Time
	// waitedSince is since when the step waited before the last time that workers were
	// found for all of its tasks.
	waitedSince time.Time
	// waitReason is what ruled out the most workers when the wait was last noted.
	waitReason WaitReason
	times      stepTimes
	// image is the index of its image among those of the machine, if imageKnown is set.
	image      int
	imageKnown bool
	advice     advice
	pace       stepPace
	runs       stepRuns
	// baseline is the step's baseline reading, computed at baselineAt.
	baseline   float64
	baselineAt time.Time
	// usualReading is the usual reading of its serving tasks, in milliseconds, computed at
	// usualReadingAt.
	usualReading   float64
	usualReadingAt time.Time
	// maxSlowness is the slowness up to which workers are used for its tasks, computed
	// at maxSlownessAt.
	maxSlowness   float64
	maxSlownessAt time.Time
}

func (s *step) job() *jobState { return s.occurrence.job }

// ready reports whether all steps it depends on are done and the step itself is
// not.
func (s *step) ready() bool { return s.blocking == 0 && s.left > 0 }

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// attempts holds the attempts that may be running. More than one exists only
	// briefly, or for speculative tasks.
	attempts []*attempt
	// last is the highest attempt number that may have been used.
	last int
	// failed lists the numbers of the attempts that failed.
	failed     []int
	checkpoint string
	// attemptLost is set once an attempt was declared lost without its end being
	// known.
	attemptLost bool
	// endMissing is set once an attempt has ended without this leader knowing how.
	endMissing bool
	// crashes lists the attempts that ended with their worker, since the last one
	// that ran for stableRunTime.
	crashes crashes.Evidence
	// trialsPausedUntil is when the next trial may begin; zero if nothing delays it.
	trialsPausedUntil time.Time
	trial             trial
	// known is set once this machine itself has started or adopted an attempt.
	known bool
	// stalls is how often attempts were stopped because they made no progress, or
	// more if the stall limit of the step had grown before.
	stalls int
	// failedOn is the worker on which the task last failed.
	failedOn *worker
	// reservedOn is the worker on which room was last reserved for the task.
	reservedOn *worker
	// movedAt is when it was last moved off a slow worker; zero if it was not.
	movedAt time.Time
	// copies is how many copies of the task this leader has started. nextCopyAt is when
	// the next one may be.
	copies     int
	nextCopyAt time.Time
}

func (t *task) key() job.TaskKey {
	s := t.step
	return job.TaskKey{Job: s.job().id, Occurrence: s.occurrence.number, Step: s.number, Index: t.index}
}

// idle reports whether the task needs an attempt.
func (t *task) idle() bool { return !t.done && len(t.attempts) == 0 }

// interrupted reports whether the task is a long-running one that ran before and
// has no attempt now. After a takeover this holds for all such tasks without an
// attempt, since the attempt numbers of recovered jobs start above 0.
func (t *task) interrupted() bool { return t.idle() && t.step.spec.LongRunning && t.last > 0 }

// interrupted reports whether any of the step's tasks is interrupted.
func (s *step) interrupted() bool {
	return s.spec.LongRunning && slices.ContainsFunc(s.tasks, (*task).interrupted)
}

// newOccurrence returns an occurrence without any progress.
func newOccurrence(j *jobState, number int) *occurrence {
	o := &occurrence{job: j, number: number, left: len(j.record.Spec.Steps)}
	for i := range j.record.Spec.Steps {
		o.steps = append(o.steps, newStep(o, i))
	}
	for _, s := range o.steps {
		for _, earlier := range s.spec.After {
			o.steps[earlier].next = append(o.steps[earlier].next, s)
			s.blocking++
		}
	}
	o.criticalPathMs = j.record.Spec.CriticalPathMs()
	o.untilCanceled = j.record.Spec.UntilCanceled()
	o.pathLeftMs = o.criticalPathMs
	_, o.work = j.record.Spec.Work()
	o.workLeft = o.work
	return o
}

func newStep(o *occurrence, number int) *step {
	spec := &o.job.record.Spec.Steps[number]
	s := &step{occurrence: o, number: number, spec: spec, left: spec.Count}
	tasks := make([]task, spec.Count)
	for i := range tasks {
		tasks[i] = task{step: s, index: i}
		s.tasks = append(s.tasks, &tasks[i])
	}
	return s
}

// task returns the task of a key of this occurrence; nil if it has no such task.
func (o *occurrence) task(key job.TaskKey) *task {
	if key.Step >= len(o.steps) || key.Index >= len(o.steps[key.Step].tasks) {
		return nil
	}
	return o.steps[key.Step].tasks[key.Index]
}

// taskDone marks a task as done and returns the steps that become ready.
func (o *occurrence) taskDone(t *task) []*step {
	if t.done {
		return nil
	}
	t.done = true
	t.checkpoint = ""
	o.workLeft -= t.step.spec.TaskWork()
	t.step.left--
	if t.step.left > 0 {
		return nil
	}
	o.left--
	o.pathLeftMs = o.job.record.Spec.PathMs(func(step int) bool { return o.steps[step].left > 0 })
	var ready []*step
	for _, s := range t.step.next {
		s.blocking--
		if s.blocking == 0 {
			ready = append(ready, s)
		}
	}
	return ready
}

// noteStart records that an attempt of the occurrence is started now, for the occurrence
// and in the tally of its job.
func (o *occurrence) noteStart(now time.Time) {
	if o.firstStartAt.IsZero() {
		o.firstStartAt = now
	}
	o.job.tally.noteStart(now)
}
