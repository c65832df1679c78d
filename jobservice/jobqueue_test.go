package jobservice

import (
	"errors"
	"testing"

	"github.com/guavarill/guavarill/core/job"
)

// otherQueue returns a queue that shares nothing with testQueue but its workers.
func otherQueue() *job.Queue {
	q := testQueue()
	q.Name, q.Host, q.Prefix = "other", "other.example", "/other/"
	return &q
}

// checkOfOtherQueue checks what a client of another queue is told of a job's id.
func (d *deployment) checkOfOtherQueue(when string) {
	d.t.Helper()
	ctx, other := d.t.Context(), otherQueue()
	var taken *IDTakenError
	if err := d.intake.Submit(ctx, intactJob, testSpec(), other, 1); !errors.As(err, &taken) {
		d.t.Errorf("%s: submission: %v, want an IDTakenError", when, err)
	}
	invalid := testSpec()
	invalid.Steps[0].Count = 0
	var refusal *job.InvalidError
	if err := d.intake.Submit(ctx, intactJob, invalid, other, 1); !errors.As(err, &refusal) {
		d.t.Errorf("%s: an invalid submission: %v, want an InvalidError", when, err)
	}
	_, err := d.intake.State(ctx, other, intactJob)
	wantUnknown(d.t, when+": state", err)
	wantUnknown(d.t, when+": cancel", d.intake.Cancel(ctx, other, intactJob))
}

// TestIDOfAnotherQueue guards against a job that is accepted, told as completed and never
// carried out because a client of another queue has used its id, and against clients who
// see and cancel jobs of other queues.
func TestIDOfAnotherQueue(t *testing.T) {
	d := newDeployment(t)
	own := testQueue()
	d.checkOfOtherQueue("queued")
	if state, err := d.intake.State(t.Context(), &own, intactJob); state != job.Queued || err != nil {
		t.Errorf("at its own queue: %s, %v", state, err)
	}
	d.lead()
	d.awaitCompleted(intactJob)
	d.checkOfOtherQueue("completed")
	if state, err := d.intake.State(t.Context(), &own, intactJob); state != job.Completed || err != nil {
		t.Errorf("at its own queue: %s, %v", state, err)
	}
	if err := d.intake.Submit(t.Context(), intactJob, testSpec(), &own, 1); err != nil {
		t.Errorf("submitted again at its own queue: %v", err)
	}
}

// TestQueueThatWasRenamed guards against a job that is unknown at its own queue because a
// configuration has changed the queue's name, or its host and prefix.
func TestQueueThatWasRenamed(t *testing.T) {
	d := newDeployment(t)
	renamed, moved := testQueue(), testQueue()
	renamed.Name = "renamed"
	moved.Host, moved.Prefix = "moved.example", "/moved/"
	for _, q := range []job.Queue{renamed, moved} {
		if state, err := d.intake.State(t.Context(), &q, intactJob); state != job.Queued || err != nil {
			t.Errorf("at %s%s: %s, %v", q.Host, q.Prefix, state, err)
		}
		if err := d.intake.Submit(t.Context(), intactJob, testSpec(), &q, 1); err != nil {
			t.Errorf("submitted again at %s%s: %v", q.Host, q.Prefix, err)
		}
	}
	if !job.QueueFingerprint("").Matches(&moved) {
		t.Error("a record of an earlier version is that of no queue")
	}
}
