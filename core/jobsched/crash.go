package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// seenFor returns for how long the attempt was seen to run, by the last answer of
// its worker; 0 for one that the worker has not listed yet.
func (a *attempt) seenFor() time.Duration {
	if a.startedAt.IsZero() {
		return 0
	}
	return max(a.worker.heardAt.Sub(a.startedAt), 0).Round(time.Millisecond)
}

// noteCrash notes that a worker has ended without having announced it, and which
// of its attempts was started last.
func (m *Machine) noteCrash(w *worker, reason string) {
	text := fmt.Sprintf("%s; last heard %s ago; %d attempts were there", reason, m.now.Sub(w.heardAt).Round(time.Millisecond), w.attempts.Len())
	if a := w.latest(); a != nil {
		text += fmt.Sprintf(", the latest %s, seen to run for %s", a.key.task, a.seenFor())
	}
	m.emit(Note{Decision: joblog.MessageWorkerCrashed, Worker: w.id, Reason: text})
}

// latest returns the attempt that was started last, or nil. One whose start was
// not answered counts as later than all others.
func (w *worker) latest() *attempt {
	var latest *attempt
	for _, a := range w.attempts.All() {
		switch {
		case latest == nil:
			latest = a
		case latest.startedAt.IsZero():
		case a.startedAt.IsZero() || a.startedAt.After(latest.startedAt):
			latest = a
		}
	}
	return latest
}

// describeLoss says what is known of an attempt that ended with its worker.
func (t *task) describeLoss(a *attempt) string {
	return fmt.Sprintf("seen to run for %s; so ended %d attempts of the task before, as far as this leader knows", a.seenFor(), t.crashes)
}
