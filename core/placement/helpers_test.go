package placement

import (
	"fmt"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
)

func res(cpu, memory, accelerators int64) model.Resources {
	return model.Resources{MilliCPU: cpu, MemoryMB: memory, Accelerators: accelerators}
}

var big = res(16000, 60000, 0)

// fleet returns n empty workers, perRack of them in each rack, with the racks
// distributed over the zones in turn.
func fleet(n, perRack, zones int, capacity model.Resources) []Worker {
	workers := make([]Worker, n)
	for i := range workers {
		rack := i / perRack
		workers[i] = Worker{Free: capacity, VM: model.VM{
			ID:       model.WorkerID(fmt.Sprintf("w%04d", i)),
			State:    model.VMLive,
			Rack:     model.Rack(fmt.Sprintf("r%03d", rack)),
			Zone:     model.Zone(fmt.Sprintf("z%d", rack%zones)),
			Capacity: capacity,
		}}
	}
	return workers
}

func batch(index uint32, size model.Resources) *Request {
	return &Request{Key: model.TaskKey{Workload: "job", Generation: 1, Index: index}, Workload: "job", Class: "job", Size: size}
}

func instance(index uint32, n int) *Request {
	return &Request{
		Key:      model.TaskKey{Workload: "orders", Generation: 1, Index: index},
		Workload: "orders", Class: "orders", Service: true, Instances: n, Size: res(1000, 1000, 0),
	}
}

// fixedEffects is a Predictor that returns an effect by aggressor class only.
type fixedEffects map[string]float64

func (f fixedEffects) PredictWorkload(_, aggressor, _ string, _ float64) interference.Estimate {
	return interference.Estimate{Mean: f[aggressor]}
}

func (fixedEffects) Version() uint64 { return 0 }

// newSnapshotOf returns a snapshot of the given workers, and its first worker.
func newSnapshotOf(workers ...Worker) (*Snapshot, *Worker) {
	s := NewSnapshot(workers, nil)
	return s, s.workers[0]
}
