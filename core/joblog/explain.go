package joblog

import (
	"fmt"
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
	outcomeRejected = "rejected"
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
