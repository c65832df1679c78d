package joblog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The HTTP statuses of answers to callers: a rejection for want of room, a refusal
// without effect, an unknown outcome, and the lowest status for failures that the request
// did not cause.
const (
	statusOverloaded   = 429
	statusUnavailable  = 503
	statusUnknown      = 504
	lowestServerStatus = 500
)

// outcomeFromAnswers returns the outcome of a job for which there are only lines
// about answers to callers.
func (e *explainer) outcomeFromAnswers() string {
	worst, last := 0, 0
	for _, l := range e.withMessage(MessageRequestRefused) {
		worst, last = max(worst, l.Status), l.Status
	}
	switch {
	case last == statusOverloaded:
		// An acceptance by an earlier request that got no response was ruled out.
		return outcomeRejected
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
	case statusOverloaded:
		meaning = "rejected for want of room"
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
