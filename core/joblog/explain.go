package joblog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// Explanation describes the history of one job as far as the log lines show it.
type Explanation struct {
	Job job.ID `json:"job"`
	// Outcome is the job's state or, if the state is not known, a short text
	// such as "no trace".
	Outcome string `json:"outcome"`
	// Findings are the events that led to the outcome, each with the evidence
	// from the lines.
	Findings []string `json:"findings"`
	// Gaps lists the lines that are missing and may have been about the job.
	Gaps []string `json:"gaps,omitempty"`
	// Lines are the lines about the job, in the order of their times.
	Lines []Line `json:"lines"`
}

// The outcomes that are not job states.
const (
	outcomeNoTrace  = "no trace"
	outcomeRefused  = "refused"
	outcomeInvalid  = "invalid"
	outcomeAccepted = "accepted"
	outcomeUnknown  = "state not told"
)

const (
	// outageWindow is how long before a failed request a store outage may have
	// ended and still count as its cause: callers' requests wait some seconds
	// for the store.
	outageWindow = 5 * time.Second
	// takeoverWindow is how long before or after a failed request a change of
	// leader is reported with it: a lost leader is replaced within the time of
	// its lease and a few reads.
	takeoverWindow = 5 * time.Second
	// startDelayReported is the wait for a job's first attempt above which the
	// wait is reported as a delay. It is longer than a round of placement and a
	// commit take.
	startDelayReported = time.Second
)

// The HTTP statuses of answers to callers: a refusal without effect, an unknown
// outcome, and the lowest status for failures that the request did not cause.
const (
	statusUnavailable  = 503
	statusUnknown      = 504
	lowestServerStatus = 500
)

// Explain returns the outcome of a job and its causes. lines are the merged lines
// of all daemons.
func Explain(lines []Line, id job.ID) *Explanation {
	e := &explainer{all: lines, about: ForJob(lines, id), Explanation: Explanation{Job: id}}
	e.Lines = e.about
	e.outcome()
	e.explainAnswers()
	e.explainStart()
	e.explainSetAside()
	e.explainWaits()
	e.explainHolds()
	e.explainAttempts()
	e.explainTakeovers()
	e.explainEnd()
	e.noteGaps()
	return &e.Explanation
}

// explainer collects the explanation of one job. all holds the lines of all
// daemons, about those of them that are about the job.
type explainer struct {
	Explanation
	all   []Line
	about []Line
}

func (e *explainer) addFinding(format string, args ...any) {
	e.Findings = append(e.Findings, fmt.Sprintf(format, args...))
}

// first returns the first line about the job with one of the messages, or nil.
func (e *explainer) first(messages ...string) *Line {
	for i := range e.about {
		if slices.Contains(messages, e.about[i].Message) {
			return &e.about[i]
		}
	}
	return nil
}

func (e *explainer) withMessage(message string) []Line {
	var found []Line
	for _, l := range e.about {
		if l.Message == message {
			found = append(found, l)
		}
	}
	return found
}

// finalLine returns the line that reports the job's final state, or nil.
func (e *explainer) finalLine() *Line {
	return e.first(JobFinalMessage(job.Completed), JobFinalMessage(job.Failed), JobFinalMessage(job.Canceled))
}

func (e *explainer) outcome() {
	final := e.finalLine()
	switch {
	case final != nil:
		e.Outcome = strings.TrimPrefix(final.Message, "job ")
	case e.first(MessageAttemptStarted, MessageAttemptAdopted) != nil:
		e.Outcome = string(job.Running)
	case e.first(MessageJobTakenIn) != nil:
		e.Outcome = string(job.Queued)
	case e.first(MessageJobAccepted) != nil:
		e.Outcome = outcomeAccepted
	case len(e.about) == 0:
		e.Outcome = outcomeNoTrace
		e.addFinding("no line names the job: no daemon whose lines are here answered a request for it or decided about it")
	default:
		e.Outcome = e.outcomeFromAnswers()
	}
}

// outcomeFromAnswers returns the outcome of a job for which there are only lines
// about answers to callers.
func (e *explainer) outcomeFromAnswers() string {
	worst := 0
	for _, l := range e.withMessage(MessageRequestRefused) {
		worst = max(worst, l.Status)
	}
	switch {
	case worst == statusUnknown:
		return outcomeUnknown
	case worst >= lowestServerStatus:
		return outcomeRefused
	}
	return outcomeInvalid
}

// explainAnswers reports the error answers to callers, grouped by status and
// error, and the store outages and changes of leader at the time of the server
// errors among them.
func (e *explainer) explainAnswers() {
	refused := e.withMessage(MessageRequestRefused)
	for _, group := range byAnswer(refused) {
		e.addFinding("%s: %s", e.answerText(group), group[0].Error)
	}
	if at := serverErrorSpan(refused); at != nil {
		e.explainOutage(at[0], at[1])
		e.explainLeadership(at[0], at[1])
	}
	if l := e.first(MessageJobAccepted); l != nil {
		e.addFinding("%s accepted the job at %s for queue %s", l.Daemon, FormatTime(l.Time), l.Queue)
	}
}

// byAnswer groups answers with the same status and error, in the order of the
// first answer of each group.
func byAnswer(lines []Line) [][]Line {
	type answer struct {
		status int
		err    string
	}
	index := make(map[answer]int)
	var groups [][]Line
	for _, l := range lines {
		key := answer{l.Status, l.Error}
		i, known := index[key]
		if !known {
			i = len(groups)
			index[key] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], l)
	}
	return groups
}

// answerText describes a group of equal answers: what they told the caller, how
// many there were, when, and which daemons gave them.
func (e *explainer) answerText(group []Line) string {
	meaning := fmt.Sprintf("answered with %d", group[0].Status)
	switch group[0].Status {
	case statusUnavailable:
		meaning = "refused, with nothing done"
	case statusUnknown:
		meaning = "answered that the outcome is not known"
	}
	daemons := make(map[string]struct{})
	for _, l := range group {
		daemons[l.Daemon] = struct{}{}
	}
	when := "at " + FormatTime(group[0].Time)
	if len(group) > 1 {
		when = fmt.Sprintf("%d times from %s to %s", len(group), FormatTime(group[0].Time), FormatTime(group[len(group)-1].Time))
	}
	return fmt.Sprintf("%s %s by %s", meaning, when, strings.Join(slices.Sorted(maps.Keys(daemons)), ", "))
}

// serverErrorSpan returns the times of the first and the last answer with a
// server error, or nil if there is none.
func serverErrorSpan(refused []Line) []time.Time {
	var between []time.Time
	for _, l := range refused {
		if l.Status < lowestServerStatus {
			continue
		}
		if between == nil {
			between = []time.Time{l.Time, l.Time}
		}
		between[1] = l.Time
	}
	return between
}

// explainOutage reports which daemons were without the store between two times.
func (e *explainer) explainOutage(from, to time.Time) {
	lost := e.lastOutages(to)
	maps.DeleteFunc(lost, func(_ string, o outage) bool {
		return !o.until.IsZero() && o.until.Before(from.Add(-outageWindow))
	})
	if len(lost) == 0 {
		e.addFinding("no daemon noted the loss of the store within %s before: the calls alone failed", outageWindow)
		return
	}
	var begun, ended time.Time
	for _, o := range lost {
		if begun.IsZero() || o.from.Before(begun) {
			begun = o.from
		}
		if o.until.After(ended) {
			ended = o.until
		}
	}
	end := "and no line says that it returned"
	if !ended.IsZero() {
		end = "and the last had it back, or was restarted, at " + FormatTime(ended)
	}
	e.addFinding("%d of %d daemons were without the store from %s on, %s: %s",
		len(lost), len(e.daemons()), FormatTime(begun), end, strings.Join(slices.Sorted(maps.Keys(lost)), ", "))
}

// outage is a period in which a daemon was without the store. until is zero if no
// line reports the end of the outage.
type outage struct{ from, until time.Time }

// lastOutages returns, for each daemon, the last outage that began no later than
// the given time. A restart of the daemon ends an outage as well.
func (e *explainer) lastOutages(by time.Time) map[string]outage {
	found := make(map[string]outage)
	for _, l := range e.all {
		o, known := found[l.Daemon]
		switch l.Message {
		case MessageStoreLost:
			if !l.Time.After(by) {
				found[l.Daemon] = outage{from: l.Time}
			}
		case MessageStoreRegained, MessageProcessStarted:
			if known && o.until.IsZero() {
				found[l.Daemon] = outage{from: o.from, until: l.Time}
			}
		}
	}
	return found
}

// daemons returns the names of all daemons that wrote lines.
func (e *explainer) daemons() map[string]struct{} {
	names := make(map[string]struct{})
	for _, l := range e.all {
		if l.Daemon != "" {
			names[l.Daemon] = struct{}{}
		}
	}
	return names
}

// explainLeadership reports the changes of leader between two times and within
// takeoverWindow of them.
func (e *explainer) explainLeadership(from, to time.Time) {
	for _, l := range e.all {
		if l.Time.Before(from.Add(-takeoverWindow)) || l.Time.After(to.Add(takeoverWindow)) {
			continue
		}
		switch l.Message {
		case MessageLeaseNotRenewed, MessageDeposed, MessageLeadershipReleased, MessageLeadershipAcquired, MessageLeadershipContinued:
			e.addFinding("%s: %s at %s", l.Daemon, l.Message, FormatTime(l.Time))
		}
	}
}

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
// records could not be read.
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

// explainTakeovers reports the changes of leader between the first and the last
// line about the job.
func (e *explainer) explainTakeovers() {
	if len(e.about) == 0 {
		return
	}
	from, to := e.about[0].Time, e.about[len(e.about)-1].Time
	for _, l := range e.all {
		if l.Message == MessageLeadershipAcquired && l.Time.After(from) && l.Time.Before(to) {
			e.addFinding("%s took the lead at %s (epoch %d), while the job was not over", l.Daemon, FormatTime(l.Time), l.Epoch)
		}
	}
}

func (e *explainer) explainEnd() {
	if l := e.first(MessageCancelRequested); l != nil {
		e.addFinding("its caller canceled it at %s", FormatTime(l.Time))
	}
	if l := e.finalLine(); l != nil {
		e.addFinding("%s at %s, decided by %s in epoch %d: %s", e.Outcome, FormatTime(l.Time), l.Daemon, l.Epoch, l.Reason)
	}
}

// noteGaps reports how many lines that may have been about the job are missing.
// Lines that a daemon dropped count whenever it reports them.
func (e *explainer) noteGaps() {
	if len(e.about) == 0 {
		return
	}
	from, to := e.about[0].Time, e.about[len(e.about)-1].Time
	leftOut, dropped := 0, 0
	for _, l := range e.all {
		if l.Message == MessageLinesDropped {
			dropped += l.Dropped
		}
		if !l.Time.Before(from) && !l.Time.After(to) {
			leftOut += l.Suppressed
		}
	}
	if leftOut > 0 {
		e.Gaps = append(e.Gaps, fmt.Sprintf("%d routine lines were left out meanwhile", leftOut))
	}
	if dropped > 0 {
		e.Gaps = append(e.Gaps, fmt.Sprintf("%d lines were dropped because standard output stalled", dropped))
	}
}

// FormatTime returns the time of day in UTC, with milliseconds.
func FormatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// formatDuration returns the text of a duration rounded to milliseconds.
func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
