package jobsched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestSession plays a whole session in virtual time and compares the logged
// decisions, in order and with their reasons, with a golden file: jobs run and are
// canceled, a job fails, a worker is lost, and the leader is replaced.
func TestSession(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.keepNotes = true
	var text strings.Builder
	play := func(what string, d time.Duration) {
		fmt.Fprintf(&text, "# %s\n", what)
		c.run(d)
		for _, n := range c.notes {
			fmt.Fprintln(&text, sessionLine(n))
		}
		c.notes = nil
	}
	play("workers are listed", 200*time.Millisecond)
	second := makeStep(1, 1000, 300*time.Millisecond)
	second.After = []int{0}
	c.submit(1, "urgent", makeStep(2, 1000, 300*time.Millisecond), second)
	play("a job of two steps is submitted", time.Second)
	serving := c.submit(2, "batch", longRunning(2, 2000))
	play("a long-running job is submitted", time.Second)
	c.workers[c.firstWorkerOf(serving)].partitioned = true
	play("a worker of it is cut off", 6*time.Second)
	c.replaceLeader()
	play("another daemon takes the lead", 2*time.Second)
	c.cancel(serving)
	play("the long-running job is canceled", time.Second)
	for _, w := range c.workers {
		w.failAll = true
	}
	c.submit(3, "urgent", makeStep(1, 1000, 200*time.Millisecond))
	play("a job that cannot succeed is submitted", 3*time.Second)
	goldie.New(t).Assert(t, "session", []byte(text.String()))
}

func sessionLine(n Note) string {
	line := n.Decision
	if n.Job != "" {
		line += " job=" + string(n.Job)
	}
	if n.Task != "" {
		line += fmt.Sprintf(" task=%s attempt=%d", n.Task, n.Attempt)
	}
	if n.Worker.ID != "" {
		line += " worker=" + string(n.Worker.ID)
	}
	return line + ": " + n.Reason
}
