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
	// load is that since the last line, at loggedAt.
	load     leaderLoad
	loggedAt time.Time
}

// leaderLoad is the load of the leader in an interval.
type leaderLoad struct {
	times                  [numParts]time.Duration
	steps, events, commits int
	// longestWait is the longest wait of an event, mostUnstored the most jobs with
	// changes that waited to be stored at the end of a step.
	longestWait  time.Duration
	mostUnstored int
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
		l.load.times[l.present] += passed
		l.counters[l.present].Add(passed.Seconds())
	}
	l.present, l.since = p, now
}

// recordEvent counts an event that has waited for the control goroutine for so long.
func (l *loadMonitor) recordEvent(waited time.Duration) {
	l.load.events++
	l.eventWait.Observe(waited.Seconds())
	l.load.longestWait = max(l.load.longestWait, waited)
}

// recordCommit counts a commit.
func (l *loadMonitor) recordCommit() { l.load.commits++ }

// recordStep counts a step, after which the changes of so many jobs wait to be stored and
// so many workers tell ends that they may not forget yet; jobs take so many bytes of the memory
// for them. It logs the load each loadInterval.
func (l *loadMonitor) recordStep(unstored, unacked int, jobMemory int64) {
	l.load.steps++
	l.load.mostUnstored = max(l.load.mostUnstored, unstored)
	l.begin(partIdle)
	passed := l.since.Sub(l.loggedAt)
	if passed < loadInterval {
		return
	}
	if !l.loggedAt.IsZero() {
		l.log.WithFields(logrus.Fields{
			"busyPercent": int(100 * float64(passed-l.load.times[partIdle]) / float64(passed)), "ms": l.describe(),
			"steps": l.load.steps, "events": l.load.events, "longestWait": l.load.longestWait.Round(time.Millisecond).String(),
			"commits": l.load.commits, "jobsUnstored": l.load.mostUnstored, "workersUnacknowledged": unacked,
			"jobMemoryKB": jobMemory >> 10,
		}).Info(joblog.MessageLeaderLoad)
	}
	l.load, l.loggedAt = leaderLoad{}, l.since
}

// describe lists the milliseconds of each part.
func (l *loadMonitor) describe() string {
	parts := make([]string, 0, numParts)
	for p := range numParts {
		if ms := l.load.times[p].Milliseconds(); ms > 0 && p != partIdle {
			parts = append(parts, fmt.Sprintf("%s %d", partName(p), ms))
		}
	}
	return strings.Join(parts, ", ")
}
