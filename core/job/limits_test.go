package job

import (
	"errors"
	"math"
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

// stepsOf returns a declaration with steps of the given counts.
func stepsOf(counts ...int) *Spec {
	spec := &Spec{}
	for _, count := range counts {
		spec.Steps = append(spec.Steps, Step{Count: count})
	}
	return spec
}

// TestCountsWhoseSumIsOutOfRange guards against jobs that are accepted because the sum of
// their counts wraps, and which no leader can take in.
func TestCountsWhoseSumIsOutOfRange(t *testing.T) {
	for name, spec := range map[string]*Spec{
		"twice the largest":              stepsOf(math.MaxInt, math.MaxInt),
		"the largest and one":            stepsOf(math.MaxInt, 1),
		"twice half of it and one":       stepsOf(math.MaxInt/2+1, math.MaxInt/2+1),
		"four that wrap to 4":            stepsOf(1<<62+1, 1<<62+1, 1<<62+1, 1<<62+1),
		"one more than the limit":        stepsOf(MaxTasks + 1),
		"one more than the limit in all": stepsOf(MaxTasks-1, 2),
		"too many accelerators":          {Steps: []Step{{Count: 1, Size: model.Resources{Accelerators: math.MaxInt64}}}},
		"too many steps":                 {Steps: make([]Step, MaxSteps+1)},
	} {
		var limit *LimitError
		if err := spec.CheckLimits(); !errors.As(err, &limit) {
			t.Errorf("%s: %v, want a LimitError", name, err)
		}
		if size := spec.LargestRecord(maxQueueAttempts); size < 0 {
			t.Errorf("%s: a record of %d bytes", name, size)
		}
	}
	if err := stepsOf(MaxTasks-1, 1).CheckLimits(); err != nil {
		t.Errorf("as many tasks as allowed: %v", err)
	}
}
