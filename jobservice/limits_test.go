package jobservice

import (
	"errors"
	"math"
	"testing"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// beyondLimits returns declarations that exceed the limits, with counts that earlier
// versions accepted because their sum is out of range.
func beyondLimits() map[string]*job.Spec {
	declarations := make(map[string]*job.Spec)
	for name, counts := range map[string][]int{
		"twice the largest":        {math.MaxInt, math.MaxInt},
		"the largest and one":      {math.MaxInt, 1},
		"twice half of it and one": {math.MaxInt/2 + 1, math.MaxInt/2 + 1},
		"four that wrap to 4":      {1<<62 + 1, 1<<62 + 1, 1<<62 + 1, 1<<62 + 1},
	} {
		spec := testSpec()
		template := spec.Steps[0]
		spec.Steps = nil
		for _, count := range counts {
			step := template
			step.Count = count
			spec.Steps = append(spec.Steps, step)
		}
		declarations[name] = spec
	}
	return declarations
}

// storeAsBefore stores the job as an earlier version did that had accepted it.
func (d *deployment) storeAsBefore(id job.ID, spec *job.Spec) {
	record := job.Accepted{Spec: *spec, Queue: testQueue(), ConfigVersion: 1}
	d.store.write(port.Op{Key: acceptedKey(id), Value: record.Encode()})
}

// TestStoredJobBeyondTheLimitsEnds guards against leaders that end one after the other on
// a job which an earlier version accepted, and against such a job without a final state.
func TestStoredJobBeyondTheLimitsEnds(t *testing.T) {
	for name, spec := range beyondLimits() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, q := newDeployment(t), testQueue()
			d.storeAsBefore(damagedJob, spec)
			if state, err := d.intake.State(t.Context(), nil, damagedJob); state != job.Queued || err != nil {
				t.Errorf("before a leader has seen it: %s, %v", state, err)
			}
			d.lead()
			d.awaitCompleted(intactJob)
			d.eventually("failed", func() bool {
				state, err := d.intake.State(t.Context(), nil, damagedJob)
				return state == job.Failed && err == nil
			})
			if err := d.intake.Submit(t.Context(), damagedJob, spec, &q, 1); err != nil {
				t.Errorf("submitted again, though it was accepted: %v", err)
			}
			var unknown *UnknownJobError
			if err := d.intake.Cancel(t.Context(), nil, damagedJob); !errors.As(err, &unknown) {
				t.Errorf("canceled after its end: %v", err)
			}
			if n := d.unreadable(kindAccepted); n > 0 {
				t.Errorf("%d records count as unreadable", n)
			}
		})
	}
}

// TestStoredJobBeyondTheLimitsIsCanceled guards against such a job that nobody can cancel.
func TestStoredJobBeyondTheLimitsIsCanceled(t *testing.T) {
	for name, spec := range beyondLimits() {
		d := newDeployment(t)
		d.storeAsBefore(damagedJob, spec)
		if err := d.intake.Cancel(t.Context(), nil, damagedJob); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		d.lead()
		d.awaitCompleted(intactJob)
		if state, err := d.intake.State(t.Context(), nil, damagedJob); state != job.Canceled || err != nil {
			t.Errorf("%s: %s, %v", name, state, err)
		}
	}
}

// TestLateAcceptanceOfARefusedDeclarationFails guards against a job that runs although its
// last submission was refused for its declaration: an earlier one of the same id got no
// response, and its write is carried out afterwards.
func TestLateAcceptanceOfARefusedDeclarationFails(t *testing.T) {
	refused := beyondLimits()
	refused["invalid"] = testSpec()
	refused["invalid"].Steps[0].Count = 0
	for name, spec := range refused {
		store, q := newMemStore(), testQueue()
		late := submitLate(t, store, lateJob)
		err := newTestIntake(store).Submit(t.Context(), lateJob, spec, &q, 1)
		var limit *job.LimitError
		var invalid *job.InvalidError
		if !errors.As(err, &limit) && !errors.As(err, &invalid) {
			t.Errorf("%s: %v, want a LimitError or an InvalidError", name, err)
		}
		carryOutLate(t, late)
	}
}
