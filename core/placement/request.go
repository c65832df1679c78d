package placement

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// The values of Request.Spread.
const (
	SpreadZone = "zone"
	SpreadRack = "rack"
)

// Request is one task to be placed.
type Request struct {
	Key                   model.TaskKey
	Workload, Class, Team string
	Service               bool
	Priority              model.Priority
	// Size is what is to be committed, learned or declared.
	Size   model.Resources
	Spread string
	// Instances is how many tasks of the workload the snapshot's workers are
	// to hold in all; the spread bounds are shares of it. Zero means that the
	// number is unknown and that the tasks already placed plus this one count.
	Instances int
	// FailedWorkers are the workers on which the task failed before.
	FailedWorkers []model.WorkerID
	// LastWorker is where the task's latest attempt ran, if any.
	LastWorker model.WorkerID
	// Evictions is how often the task was evicted.
	Evictions uint32
}

func (r *Request) failedOn(id model.WorkerID) bool {
	return slices.Contains(r.FailedWorkers, id)
}

// Decision is a chosen worker.
type Decision struct {
	Worker model.WorkerID
	// Score is the weighted mean of the scores, from 0 to 1.
	Score float64
	// Considered is how many workers passed the filters.
	Considered int
	// Relaxed names the soft filters that were given up, in order.
	Relaxed []string
}
