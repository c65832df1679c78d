package jobservice

import (
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
)

// The parts of the control goroutine's work beside those of the machine.
const (
	// partIdle: it waits for events.
	partIdle = jobsched.NumParts + iota
	// partEffects: orders are handed on, commits encoded, decisions logged.
	partEffects
	numParts
)

var ownPartNames = [...]string{"idle", "effects"}

func partName(p jobsched.Part) string {
	if p >= jobsched.NumParts {
		return ownPartNames[p-jobsched.NumParts]
	}
	return p.String()
}

// loadInterval is the time between two log lines about the load of the leader.
const loadInterval = time.Second

// loadMonitor measures what the control goroutine's time goes to. The length of its
// steps alone does not show which part of the work makes them long.
//
// It belongs to the control goroutine.
type loadMonitor struct {
	log *logrus.Entry
	now func() time.Time
	// counters has a counter of seconds for each part.
	counters  [numParts]prometheus.Counter
	eventWait prometheus.Observer
	// present is the part that began at since.
	present jobsched.Part
	since   time.Time
	// times and what follows are those since the last line, at loggedAt.
	times         [numParts]time.Duration
	steps, events int
	longestWait   time.Duration
	// commits counts the commits, mostUnstored is the most jobs with changes that waited
	// to be stored at the end of a step.
	commits, mostUnstored int
	loggedAt              time.Time
}

func newLoadMonitor(m *Metrics) *loadMonitor {
	l := &loadMonitor{now: time.Now, eventWait: m.eventWait}
	for p := range numParts {
		l.counters[p] = m.partTime.WithLabelValues(partName(p))
	}
	return l
}

// start begins to measure at the beginning of a period as leader.
func (l *loadMonitor) start(log *logrus.Entry) {
	l.log, l.present, l.since, l.loggedAt = log, partIdle, time.Time{}, time.Time{}
}

// begin records that a part of the work begins.
func (l *loadMonitor) begin(p jobsched.Part) {
	now := l.now()
	if !l.since.IsZero() {
		passed := now.Sub(l.since)
		l.times[l.present] += passed
		l.counters[l.present].Add(passed.Seconds())
	}
	l.present, l.since = p, now
}

// recordEvent counts an event that has waited for the control goroutine for so long.
func (l *loadMonitor) recordEvent(waited time.Duration) {
	l.events++
	l.eventWait.Observe(waited.Seconds())
	l.longestWait = max(l.longestWait, waited)
}

// recordCommit counts a commit.
func (l *loadMonitor) recordCommit() { l.commits++ }

// recordStep counts a step, after which the changes of so many jobs wait to be stored and
// so many workers tell ends that they may not forget yet. It logs the load each
// loadInterval.
func (l *loadMonitor) recordStep(unstored, unacked int) {
	l.steps++
	l.mostUnstored = max(l.mostUnstored, unstored)
	l.begin(partIdle)
	passed := l.since.Sub(l.loggedAt)
	if passed < loadInterval {
		return
	}
	if !l.loggedAt.IsZero() {
		l.log.WithFields(logrus.Fields{
			"busyPercent": int(100 * float64(passed-l.times[partIdle]) / float64(passed)), "ms": l.describe(),
			"steps": l.steps, "events": l.events, "longestWait": l.longestWait.Round(time.Millisecond).String(),
			"commits": l.commits, "jobsUnstored": l.mostUnstored, "workersUnacknowledged": unacked,
		}).Info(joblog.MessageLeaderLoad)
	}
	l.times, l.steps, l.events, l.longestWait, l.commits, l.mostUnstored, l.loggedAt = [numParts]time.Duration{}, 0, 0, 0, 0, 0, l.since
}

// describe lists the milliseconds of each part.
func (l *loadMonitor) describe() string {
	parts := make([]string, 0, numParts)
	for p := range numParts {
		if ms := l.times[p].Milliseconds(); ms > 0 && p != partIdle {
			parts = append(parts, fmt.Sprintf("%s %d", partName(p), ms))
		}
	}
	return strings.Join(parts, ", ")
}
