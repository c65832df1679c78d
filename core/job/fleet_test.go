package job

import (
	"errors"
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

func testFleet() *Fleet {
	f := new(Fleet)
	f.Add("pool", []string{"a", "r0"}, model.Resources{MilliCPU: 16000, MemoryMB: 64000})
	f.Add("pool", []string{"a", "r0"}, model.Resources{MilliCPU: 8000, MemoryMB: 128000})
	f.Add("pool", []string{"a", "r1"}, model.Resources{MilliCPU: 4000, MemoryMB: 16000})
	return f
}

// A job that no worker could ever run must be rejected when it is submitted. Such
// a job was once accepted and stayed pending forever, reported as queued.
func TestFleetRejectsInfeasibleSteps(t *testing.T) {
	size := func(cpu, memory, gpus int64) model.Resources {
		return model.Resources{MilliCPU: cpu, MemoryMB: memory, Accelerators: gpus}
	}
	tests := map[string]struct {
		step           Step
		wantInfeasible bool
	}{
		"fits on the largest":                     {Step{Count: 3, Size: size(16000, 64000, 0)}, false},
		"more processors than any worker":         {Step{Count: 1, Size: size(16001, 1, 0)}, true},
		"more memory than any worker":             {Step{Count: 1, Size: size(1, 128001, 0)}, true},
		"each dimension fits, on other workers":   {Step{Count: 1, Size: size(16000, 128000, 0)}, true},
		"accelerators that no worker has":         {Step{Count: 1, Size: size(1, 1, 1)}, true},
		"a label that a worker has":               {Step{Count: 1, Size: size(4000, 1, 0), Label: "r1"}, false},
		"a label that no worker has":              {Step{Count: 1, Size: size(1, 1, 0), Label: "b"}, true},
		"too large for the workers of a label":    {Step{Count: 1, Size: size(4001, 1, 0), Label: "r1"}, true},
		"a gang over more workers than there are": {Step{Count: 7, Size: size(1, 1, 0), Gang: true, MaxPerWorker: 2}, true},
		"a gang that can be spread":               {Step{Count: 6, Size: size(1, 1, 0), Gang: true, MaxPerWorker: 2}, false},
		"more tasks than fit at a time":           {Step{Count: 500, Size: size(16000, 1, 0)}, false},
		"best-effort tasks that are too large":    {Step{Count: 1, Size: size(20000, 1, 0), BestEffort: true}, true},
	}
	for name, test := range tests {
		err := testFleet().Check("pool", &Spec{Steps: []Step{{Count: 1}, test.step}})
		var infeasible *InfeasibleError
		if isInfeasible := errors.As(err, &infeasible); isInfeasible != test.wantInfeasible {
			t.Errorf("%s: %v, want infeasible %t", name, err, test.wantInfeasible)
		} else if isInfeasible && infeasible.Step != 1 {
			t.Errorf("%s: step %d is named, want 1", name, infeasible.Step)
		}
	}
}

// Jobs must be accepted before the first worker of their service is known, and
// when no leader has stored the fleet yet.
func TestFleetAcceptsUnknownServices(t *testing.T) {
	spec := &Spec{Steps: []Step{{Count: 1, Size: model.Resources{MilliCPU: 1 << 40}}}}
	for name, f := range map[string]*Fleet{"empty": new(Fleet), "another service": testFleet()} {
		if err := f.Check("other", spec); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
