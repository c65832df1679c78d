package jobsched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// stopCause is the kind of reason for which an attempt is stopped.
type stopCause string

// The causes of stops.
const (
	stopPreempted    stopCause = "preempted"
	stopDisturbing   stopCause = "disturbs others"
	stopStalled      stopCause = "stands still"
	stopWorkerLeaves stopCause = "worker leaves"
	stopCordoned     stopCause = "zone cordoned"
	stopSuperseded   stopCause = "other attempt"
	stopUnneeded     stopCause = "job over"
	stopSlowWorker   stopCause = "slow worker"
)

// jobTally is what a job has waited for and cost since this leader took it in. The
// note about the job's end tells it, so that operators see from the log alone where
// jobs lose time and work.
type jobTally struct {
	// firstStartAt is when the first attempt was started; zero if none was.
	firstStartAt     time.Time
	starts, failures int
	stops            map[stopCause]int
	// lostCPUMs is the unsaved work of attempts that ended undone, in thousandths of
	// a core times milliseconds.
	lostCPUMs int64
	// copies counts the copies of slow tasks that were started, copiesWon those that
	// were done first.
	copies, copiesWon int
	// waitedForWorkers sums, over the steps, the time in which no worker was found for a
	// part of the step.
	waitedForWorkers time.Duration
	// starting, ending and unasked sum the times of the steps that are done.
	starting, ending, unasked time.Duration
}

// stepTimes tells where a step's time went.
type stepTimes struct {
	// readyAt is when the step could start, lastStartAt when the last of its attempts
	// was started.
	readyAt, lastStartAt time.Time
	// unaskedFor is how long the worker of its last done attempt was not asked for a
	// report before it told that end.
	unaskedFor time.Duration
}

// unaskedFor returns how long, while the attempt ran, its worker was not asked for the
// report that told its end.
func (a *attempt) unaskedFor() time.Duration {
	w := a.worker
	return max(w.requestedAt.Sub(later(w.reportBeforeAt, a.startedAt)), 0)
}

// noteStepDone counts the times of a step whose tasks are all done now.
func (t *jobTally) noteStepDone(s *step, now time.Time) {
	if s.times.lastStartAt.IsZero() {
		// An earlier leader started its attempts.
		return
	}
	t.starting += max(s.times.lastStartAt.Sub(s.times.readyAt), 0)
	t.ending += now.Sub(s.times.lastStartAt)
	t.unasked += s.times.unaskedFor
}

func (t *jobTally) noteStart(now time.Time) {
	t.starts++
	if t.firstStartAt.IsZero() {
		t.firstStartAt = now
	}
}

func (t *jobTally) noteStop(cause stopCause) {
	if t.stops == nil {
		t.stops = make(map[stopCause]int)
	}
	t.stops[cause]++
}

// noteEnd counts an attempt that ended now.
func (t *jobTally) noteEnd(a *attempt, cause EndCause, now time.Time) {
	if cause == EndFailed {
		t.failures++
	}
	ran := cause != EndDone && !a.startedAt.IsZero() && !a.longRunning
	if ran && !a.step().spec.Checkpointing {
		t.lostCPUMs += a.step().spec.Size.MilliCPU * now.Sub(a.startedAt).Milliseconds()
	}
}

// describeTally says what the job has waited for and cost. It is empty for a job with
// a schedule, whose occurrences have objectives of their own, and for one that runs
// until it is canceled, which has none.
func (m *Machine) describeTally(j *jobState) string {
	spec, t := &j.record.Spec, &j.tally
	if len(j.occurrences) == 0 && t.starts == 0 || spec.Schedule != nil || spec.UntilCanceled() {
		return ""
	}
	q := m.queue(j)
	allowed := time.Duration(allowanceMs(q, spec.CriticalPathMs())) * time.Millisecond
	tasks, work := spec.Work()
	return fmt.Sprintf("; queue %s, allowed %s, %d tasks of %.1f core-s; %s; waited %s for workers; steps started in %s, ended in %s, of which workers were not asked for %s; %d starts, %d failed, stopped: %s; %.1f core-s lost",
		q.Name, allowed, tasks, coreSeconds(work), m.describeFirstStart(j), t.waitedForWorkers.Round(time.Millisecond),
		t.starting.Round(time.Millisecond), t.ending.Round(time.Millisecond), t.unasked.Round(time.Millisecond),
		t.starts, t.failures, t.describeStops(), coreSeconds(float64(t.lostCPUMs))) + t.describeCopies()
}

// describeCopies says how many copies of slow tasks there were; empty without any.
func (t *jobTally) describeCopies() string {
	if t.copies == 0 {
		return ""
	}
	return fmt.Sprintf("; %d copies, of which %d were done first", t.copies, t.copiesWon)
}

// describeFirstStart says how long after the job was accepted its first attempt was
// started, as far as this leader knows.
func (m *Machine) describeFirstStart(j *jobState) string {
	text := "no start"
	if at := j.tally.firstStartAt; !at.IsZero() {
		text = fmt.Sprintf("first start after %s", max(m.age(j)-m.now.Sub(at), 0).Round(time.Millisecond))
	}
	if j.recovered {
		return "since the take-over " + text
	}
	return text
}

// describeStops lists the stops by cause, in alphabetical order.
func (t *jobTally) describeStops() string {
	if len(t.stops) == 0 {
		return "none"
	}
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(t.stops)) {
		parts = append(parts, fmt.Sprintf("%s %d", cause, t.stops[cause]))
	}
	return strings.Join(parts, ", ")
}

// coreSeconds converts thousandths of a core times milliseconds.
func coreSeconds(cpuMs float64) float64 { return cpuMs / 1e6 }
