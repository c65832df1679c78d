package jobsched

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// A worker that crashed left no line that says so, and its attempts none that
// tells how long they had run.
func TestCrashesAreTold(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepNotes = true
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(1, 2000))
	c.run(2 * time.Second)
	c.restart(c.workers[c.runsOn(id)])
	c.run(3 * time.Second)
	var told []string
	for _, n := range c.notes {
		if n.Decision == joblog.MessageWorkerCrashed || n.Decision == joblog.MessageLost {
			told = append(told, n.Reason)
		}
	}
	if len(told) != 2 {
		t.Fatalf("%d lines, want one of the worker and one of the attempt: %q", len(told), told)
	}
	for _, line := range told {
		if !strings.Contains(line, "seen to run for 1.") && !strings.Contains(line, "seen to run for 2") {
			t.Errorf("%q does not tell how long the attempt ran", line)
		}
	}
}
