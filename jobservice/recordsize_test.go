package jobservice

import (
	"errors"
	"testing"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// TestLargestRecordMatchesTheStore checks that the two limits agree.
func TestLargestRecordMatchesTheStore(t *testing.T) {
	if job.MaxRecordBytes != port.MaxValueBytes {
		t.Errorf("records of %d bytes, the store accepts %d", job.MaxRecordBytes, port.MaxValueBytes)
	}
}

// TestJobThatCouldNotBeStoredIsTurnedAway checks the reason, and that a job that an
// earlier version accepted stays accepted.
func TestJobThatCouldNotBeStoredIsTurnedAway(t *testing.T) {
	d := newDeployment(t)
	q := testQueue()
	spec := testSpec()
	spec.Steps[0].Count = job.MaxTasks
	err := d.intake.Submit(t.Context(), damagedJob, spec, &q, 1)
	var unstorable *job.UnstorableError
	if !errors.As(err, &unstorable) {
		t.Errorf("%v, want an UnstorableError", err)
	}
	if _, err := d.intake.State(t.Context(), nil, damagedJob); err == nil {
		t.Error("the job is there")
	}
	record := job.Accepted{Spec: *spec, Queue: q, ConfigVersion: 1}
	d.store.write(port.Op{Key: acceptedKey(lateJob), Value: record.Encode()})
	if err := d.intake.Submit(t.Context(), lateJob, spec, &q, 1); err != nil {
		t.Errorf("the job was accepted before: %v", err)
	}
}
