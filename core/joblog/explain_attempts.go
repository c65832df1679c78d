package joblog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

func (e *explainer) explainStart() {
	accepted, taken := e.first(MessageJobAccepted), e.first(MessageJobTakenIn)
	started := e.first(MessageAttemptStarted)
	switch {
	case accepted != nil && taken == nil:
		e.addFinding("no leader has taken it in")
		e.explainLeadership(accepted.Time, accepted.Time)
	case taken != nil && started == nil && e.finalLine() == nil:
		e.addFinding("no attempt was started; %s took it in at %s (%s)", taken.Daemon, FormatTime(taken.Time), taken.Reason)
	case accepted != nil && started != nil && started.Time.Sub(accepted.Time) > startDelayReported:
		e.addFinding("the first attempt started %s after acceptance", formatDuration(started.Time.Sub(accepted.Time)))
	}
}

// explainSetAside reports each time that a leader set the job aside because its
// records could not be read or stored.
func (e *explainer) explainSetAside() {
	for _, l := range e.withMessage(MessageJobSetAside) {
		e.addFinding("%s set it aside at %s: %s", l.Daemon, FormatTime(l.Time), l.Reason)
	}
}

// lastByTask returns the last line about each task or step, and the number of
// lines about it.
func lastByTask(lines []Line) (last map[string]Line, count map[string]int) {
	last, count = make(map[string]Line), make(map[string]int)
	for _, l := range lines {
		last[l.Task] = l
		count[l.Task]++
	}
	return last, count
}

// explainWaits reports the last line about the wait of each step, which has the
// longest wait and the reasons that ruled out the workers.
func (e *explainer) explainWaits() {
	last, _ := lastByTask(e.withMessage(MessageStepWaits))
	for _, step := range slices.Sorted(maps.Keys(last)) {
		e.addFinding("step %s waited at %s %s", step, FormatTime(last[step].Time), last[step].Reason)
	}
}

// explainHolds reports, for each step or task whose start was held back, how many
// lines say so, and the worker and the reason in the last one.
func (e *explainer) explainHolds() {
	last, count := lastByTask(e.withMessage(MessageStartHeldBack))
	for _, step := range slices.Sorted(maps.Keys(last)) {
		l := last[step]
		worker := ""
		if l.Worker != "" {
			worker = " for " + l.Worker
		}
		e.addFinding("step %s was held back %d time(s), the last at %s%s: %s", step, count[step], FormatTime(l.Time), worker, l.Reason)
	}
}

// explainAttempts reports the number of events of the job's attempts, by message
// and reason.
func (e *explainer) explainAttempts() {
	kinds := []string{
		MessageAttemptStarted, MessageAttemptAdopted, MessageStartRefused, MessageStartUnanswered, MessageAttemptStopped, MessageAttemptLost, MessageEndNotAcknowledged, MessageAttemptMissing,
		MessageAttemptEnded,
	}
	e.explainCopies()
	for _, kind := range kinds {
		lines := e.withMessage(kind)
		switch {
		case len(lines) == 0:
		case kind == MessageAttemptStarted || kind == MessageAttemptAdopted:
			e.addFinding("%s: %d", kind, len(lines))
		default:
			e.addFinding("%s: %s", kind, byReason(lines))
		}
	}
	e.explainFailures(e.withMessage(MessageAttemptEnded))
	e.explainCrashes(e.withMessage(MessageCrashCounted))
	if withdrawn := e.withMessage(MessageCrashWithdrawn); len(withdrawn) > 0 {
		e.addFinding("crashes not counted any more, as their workers answered again: %d", len(withdrawn))
	}
}

// explainCopies reports the copies of slow tasks that were done first, each with what
// that gained, and how many were of no use.
func (e *explainer) explainCopies() {
	for _, l := range e.withMessage(MessageCopyWon) {
		e.addFinding("task %s was done first by its copy, attempt %d on %s: %s", l.Task, l.Attempt, l.Worker, l.Reason)
	}
	if lost := e.withMessage(MessageCopyLost); len(lost) > 0 {
		e.addFinding("copies of slow tasks that were of no use: %d", len(lost))
	}
}

// reasonFailed is the reason in the line about an attempt that failed.
const reasonFailed = "failed"

// explainFailures reports the failed attempts of each task and the number of
// workers they ran on. A task that fails on several workers is itself the likely
// cause.
func (e *explainer) explainFailures(ended []Line) {
	workers := make(map[string]map[string]struct{})
	failures := make(map[string]int)
	for _, l := range ended {
		if l.Reason != reasonFailed {
			continue
		}
		if workers[l.Task] == nil {
			workers[l.Task] = make(map[string]struct{})
		}
		workers[l.Task][l.Worker] = struct{}{}
		failures[l.Task]++
	}
	for _, task := range slices.Sorted(maps.Keys(failures)) {
		e.addFinding("task %s failed %d time(s), on %d worker(s)", task, failures[task], len(workers[task]))
	}
}

// explainCrashes reports the tasks whose attempts ended when their workers
// crashed, with the reason in the last line, which describes all crashes that
// count at that time.
func (e *explainer) explainCrashes(counted []Line) {
	last, count := lastByTask(counted)
	for _, task := range slices.Sorted(maps.Keys(last)) {
		e.addFinding("task %s ended with its worker %d time(s), the last at %s: %s", task, count[task], FormatTime(last[task].Time), last[task].Reason)
	}
}

func byReason(lines []Line) string {
	counts := make(map[string]int)
	for _, l := range lines {
		counts[l.Reason]++
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d (%s)", counts[reason], reason))
	}
	return strings.Join(parts, ", ")
}
