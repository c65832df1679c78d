package job

import (
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

// TestLargestRecordIsStorable checks for random jobs that are accepted that the largest
// progress record that each can have is not larger than stated.
func TestLargestRecordIsStorable(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 60
	parameters.Rng.Seed(11)
	properties := gopter.NewProperties(parameters)
	properties.Property("largest record", prop.ForAllNoShrink(func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 1))
		maxAttempts := 1 + rnd.IntN(8)
		spec := randomSpec(rnd)
		if spec.CheckRecord(maxAttempts) != nil {
			return true
		}
		p := largestRecord(rnd, spec, maxAttempts)
		data := p.Encode()
		if _, err := DecodeProgress(data); err != nil || p.CheckAgainst(spec) != nil {
			t.Errorf("the record is not valid: %v", err)
		}
		if len(data) > spec.LargestRecord(maxAttempts) || len(data) > MaxRecordBytes {
			t.Errorf("%d bytes, stated are %d", len(data), spec.LargestRecord(maxAttempts))
		}
		return !t.Failed()
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func randomSpec(rnd *rand.Rand) *Spec {
	spec := &Spec{}
	for range 1 + rnd.IntN(5) {
		spec.Steps = append(spec.Steps, Step{Count: 1 + rnd.IntN(1+rnd.IntN(300))})
	}
	if rnd.IntN(3) > 0 {
		spec.Schedule = &Schedule{Repetitions: math.MaxInt}
	}
	return spec
}

// largestRecord returns a record in which every task of every occurrence that may be
// open has had all the trouble that can be recorded.
func largestRecord(rnd *rand.Rand, spec *Spec, maxAttempts int) *Progress {
	p := &Progress{State: Running, Queue: (&Queue{Name: "q"}).Fingerprint(), Occurrences: make(map[int]OccurrenceProgress), Restarts: make(Restarts)}
	const id = "0123456789abcdef"
	open, done := 1, 0
	if spec.Schedule != nil {
		open, done = spec.OpenOccurrences(maxAttempts), rnd.IntN(2*maxListedDone)
		if rnd.IntN(2) == 0 {
			done = math.MaxInt - open - 1
		}
	}
	for k := range open {
		o := OccurrenceProgress{}
		for s, step := range spec.Steps {
			tasks := make(map[int]TaskProgress)
			for i := range step.Count {
				tasks[i] = largestTask(maxAttempts)
				p.Restarts[TaskKey{Job: id, Occurrence: done + k, Step: s, Index: i}] = maxAttempt
			}
			o.Steps = append(o.Steps, StepProgress{Done: strings.Repeat("0", step.Count), Tasks: tasks})
		}
		p.Occurrences[done+k] = o
	}
	for k := range min(done, MaxDoneRestarts) {
		p.Restarts[TaskKey{Job: id, Occurrence: done - 1 - k, Step: 9, Index: 9}] = maxAttempt
	}
	p.SetBegun(done + open)
	return p
}

func largestTask(maxAttempts int) TaskProgress {
	t := TaskProgress{
		Attempts: maxAttempt, Checkpoint: StorableCheckpoint(strings.Repeat("c", MaxCheckpointBytes)),
		Stalls: maxAttempt,
		Trial:  &Trial{Attempt: maxAttempt, Worker: model.WorkerID(strings.Repeat("w", maxWorkerIDBytes)), StartedMs: math.MaxInt64},
	}
	for range maxAttempts {
		t.Failed = append(t.Failed, maxAttempt)
	}
	for range MaxCrashes {
		t.Crashes = append(t.Crashes, Crash{Attempt: maxAttempt, ObservedRunMs: math.MaxInt64, Uncertain: true, Correlated: true, Shared: true, CountsAnew: true})
	}
	return t
}

func TestJobWithTooLargeARecordIsRejected(t *testing.T) {
	const maxAttempts = 4
	fits := &Spec{Steps: []Step{{Count: 900}}}
	if err := fits.CheckRecord(maxAttempts); err != nil {
		t.Errorf("900 tasks: %v", err)
	}
	var unstorable *UnstorableError
	err := (&Spec{Steps: []Step{{Count: MaxTasks}}}).CheckRecord(maxAttempts)
	if !errors.As(err, &unstorable) || unstorable.Size <= MaxRecordBytes || !strings.Contains(err.Error(), "1048576") {
		t.Errorf("%d tasks: %v", MaxTasks, err)
	}
}

func TestCheckpointsThatAreTooLongAreNotStored(t *testing.T) {
	for checkpoint, want := range map[string]bool{
		"00000bb87a21d94b": true, strings.Repeat("c", MaxCheckpointBytes): true,
		strings.Repeat("c", MaxCheckpointBytes+1): false, strings.Repeat("<", MaxCheckpointBytes): false,
	} {
		if stored := StorableCheckpoint(checkpoint); (stored == checkpoint) != want {
			t.Errorf("%q is stored as %q", checkpoint, stored)
		}
	}
}
