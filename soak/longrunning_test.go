package soak

import (
	"testing"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
)

// second returns a time so many seconds after a fixed one.
func second(n float64) time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(n * float64(time.Second)))
}

// TestWhatExcusesALongRunningTask holds the check of long-running tasks to what
// it may accuse: it finds a task without a run, and is silent where a fault that
// is no planned work is near, no worker is known, or the job is canceled.
func TestWhatExcusesALongRunningTask(t *testing.T) {
	const task = "0000000000000001.0.0.0"
	// The task runs from second 10 to 20.
	ran := []standin.AuditEvent{
		{At: second(10), Kind: standin.AuditStarted, Task: task, Worker: "a"},
		{At: second(20), Kind: standin.AuditStopped, Task: task, Worker: "a"},
	}
	stays := span{second(0), second(100)}
	for _, c := range []struct {
		name string
		// again is when the task runs again, 0 for never.
		again, canceled float64
		unplanned       []span
		stays           []span
		broken          bool
	}{
		{name: "ran again in time", again: 28.9, canceled: 60, stays: []span{stays}},
		{name: "ran again too late", again: 29.1, canceled: 60, stays: []span{stays}, broken: true},
		{name: "never ran again", canceled: 29.1, stays: []span{stays}, broken: true},
		{name: "canceled before", canceled: 28.9, stays: []span{stays}},
		{name: "fault just before", again: 30, canceled: 60, stays: []span{stays}, unplanned: []span{{second(5), second(12.1)}}},
		{name: "fault overcome long before", again: 30, canceled: 60, stays: []span{stays}, unplanned: []span{{second(5), second(10)}}, broken: true},
		{name: "fault meanwhile", again: 46, canceled: 60, stays: []span{stays}, unplanned: []span{{second(28), second(28.1)}}},
		{name: "fault afterwards", again: 46, canceled: 60, stays: []span{stays}, unplanned: []span{{second(29.1), second(30)}}, broken: true},
		{name: "no worker known", again: 35, canceled: 60, stays: []span{{second(0), second(21)}, {second(25), second(100)}}},
		{name: "another worker known in time", again: 35, canceled: 60, stays: []span{{second(0), second(21)}, {second(19), second(100)}}, broken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			events := ran
			if c.again > 0 {
				events = append(events[:2:2], standin.AuditEvent{At: second(c.again), Kind: standin.AuditStarted, Task: task, Worker: "b"})
			}
			d := &deployment{report: new(report), stays: make(map[string]*span)}
			for i := range c.stays {
				d.stays[string(rune('a'+i))] = &c.stays[i]
			}
			for i := range c.unplanned {
				d.unplanned = append(d.unplanned, &c.unplanned[i])
			}
			j := &submitted{id: "0000000000000001", steps: []int{1}, longRunning: true, cancelSentAt: second(c.canceled)}
			d.checkLongRunning(events, []*submitted{j}, new(Result))
			if broken := d.report.list(); (len(broken) > 0) != c.broken {
				t.Errorf("told as broken: %q, want any: %t", broken, c.broken)
			}
		})
	}
}
