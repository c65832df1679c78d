package jobsched

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// TestTrialWaitsAreTold guards against tasks that wait for other tasks' trials
// without a reason in the log, the views or the counts.
func TestTrialWaitsAreTold(t *testing.T) {
	tests := map[string]struct {
		crashes []job.Crash
		want    string
		bound   string
	}{
		"alone, on shared workers": {
			[]job.Crash{{Attempt: 1, ObservedRunMs: 3900}, {Attempt: 2, ObservedRunMs: 2900}},
			"5 of its tasks wait to be tried alone, while 1 of at most 1 such trials run, the last for ",
			// One round for the first of the step and rounds of 1, 2 and 4, 5.6 s each.
			"; where there is room, all are tried within 22.4s if none of them crashes its worker",
		},
		"alone, on workers of their own": {
			[]job.Crash{{Attempt: 1, ObservedRunMs: 3900}, {Attempt: 2, ObservedRunMs: 3900}},
			"5 of its tasks wait to be tried alone, while 1 of at most 1 such trials run, the last for ",
			// As above, and a round for each two that share no worker.
			"; where there is room, all are tried within 39.2s if none of them crashes its worker",
		},
		"one of the step": {
			[]job.Crash{{Attempt: 1, ObservedRunMs: 3900}},
			"5 of its tasks wait while another task of the step is on trial, the last for ",
			" more at the most",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 4)
			c.keepNotes = true
			c.run(200 * time.Millisecond)
			id := c.submit(1, "batch", makeStep(1, 1000, 50*time.Millisecond), makeStep(6, 1000, 10*time.Second, 0))
			c.tick()
			for index := range 6 {
				c.machine.task(job.TaskKey{Job: id, Step: 1, Index: index}).crashes = test.crashes
			}
			c.run(1800 * time.Millisecond)
			if running, waiting := c.machine.Trials(); running != 1 || waiting != 5 {
				t.Errorf("%d trials run and %d tasks wait, want 1 and 5", running, waiting)
			}
			view, _ := c.machine.Inspect(id)
			if !strings.HasPrefix(view.Steps[0].TrialWait, test.want) || !strings.HasSuffix(view.Steps[0].TrialWait, test.bound) {
				t.Errorf("the view says %q, want %q ... %q", view.Steps[0].TrialWait, test.want, test.bound)
			}
			if !c.hasNote(joblog.MessageStepWaits, test.want) {
				t.Errorf("no note says %q", test.want)
			}
		})
	}
}

// hasNote reports whether a kept note of the decision contains the text.
func (c *cluster) hasNote(decision, text string) bool {
	for _, n := range c.notes {
		if n.Decision == decision && strings.Contains(n.Reason, text) {
			return true
		}
	}
	return false
}
