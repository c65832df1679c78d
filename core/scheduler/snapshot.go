package scheduler

import (
	"iter"
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/placement"
)

// Options are the scheduler's fixed settings.
type Options struct {
	// DrainDelay is how long entries may take to stop sending to an instance
	// after its stop was committed.
	DrainDelay time.Duration
	// RequestTimeout is how long a request may take when its service declares
	// no timeout, and MaxDrain the longest that is waited for.
	RequestTimeout time.Duration
	MaxDrain       time.Duration
	// MaxStartsPerCycle bounds the placements of one cycle, and so the time
	// it takes and the size of its commit.
	MaxStartsPerCycle int
	// MaxPreemptionsPerCycle bounds the victims of one cycle.
	MaxPreemptionsPerCycle int
}

// DefaultOptions suit shards of some tens of workers.
func DefaultOptions() Options {
	return Options{
		DrainDelay:             3 * time.Second,
		RequestTimeout:         10 * time.Second,
		MaxDrain:               60 * time.Second,
		MaxStartsPerCycle:      512,
		MaxPreemptionsPerCycle: 8,
	}
}

// Worker is what a cycle knows of one worker of the shard.
type Worker struct {
	VM          model.VM
	Leaving     bool
	Unreachable bool
	Quarantined bool
	// Load is the worker's measured use of its processors, 0 to 1.
	Load float64
}

// Snapshot is everything that a cycle decides on.
type Snapshot struct {
	Now   time.Time
	Shard model.ShardID
	// Shards is how many shards the cluster has.
	Shards uint32
	Config *config.Accepted
	// Synced is the configuration revision whose tasks the ledger already
	// holds completely; the comparison is passed over while it is Config's.
	Synced model.Revision
	// Ledger is the effective contents: committed and assumed.
	Ledger Ledger
	// Workers are the shard's workers, ordered by VM id.
	Workers []Worker
	// LargestCapacities are the capacities of the cluster's largest workers: a task
	// that fits none of them can never run.
	LargestCapacities []model.Resources
	// ShardRoom is the free room of other shards as far as their owners told.
	ShardRoom map[model.ShardID]model.Resources
	// CommitSize returns the size to commit for a workload's next task.
	CommitSize func(workload string, declared model.Resources) model.Resources
	// Predictor tells how much tasks slow each other; nil predicts nothing.
	Predictor placement.Predictor
	// Costs weighs the tasks that urgent work may displace.
	Costs eviction.Costs
	// Placer decides where a task goes.
	Placer *placement.Placer
	// Random is a number for this cycle's random choices.
	Random uint64
}

// Ledger is the part of a ledger's contents that a cycle reads.
type Ledger interface {
	Task(model.TaskKey) (ledger.Task, bool)
	Tasks() iter.Seq[ledger.Task]
	OnWorker(model.WorkerID) []ledger.Task
	Committed(model.WorkerID) model.Resources
	Pending() []ledger.Task
}
