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

// Options are the settings of the scheduler.
type Options struct {
	// DrainDelay is the longest time that entries take to stop sending
	// requests to an instance after its stop was committed.
	DrainDelay time.Duration
	// RequestTimeout is the longest time that a request takes if its service
	// declares no timeout. MaxDrain limits how long the requests of a stopping
	// instance are waited for.
	RequestTimeout time.Duration
	MaxDrain       time.Duration
	// MaxStartsPerCycle limits the placements of one cycle, and with them the
	// duration of the cycle and the size of its commit.
	MaxStartsPerCycle int
	// MaxPreemptionsPerCycle limits the tasks preempted in one cycle. It is
	// checked before each urgent task, so the last one may exceed it.
	MaxPreemptionsPerCycle int
}

// DefaultOptions returns settings for shards of some tens of workers.
func DefaultOptions() Options {
	return Options{
		DrainDelay:             3 * time.Second,
		RequestTimeout:         10 * time.Second,
		MaxDrain:               60 * time.Second,
		MaxStartsPerCycle:      512,
		MaxPreemptionsPerCycle: 8,
	}
}

// Worker is the state of one worker of the shard.
type Worker struct {
	VM          model.VM
	Leaving     bool
	Unreachable bool
	Quarantined bool
	// Cordoned is set for workers in a cordoned availability zone.
	Cordoned bool
	// Load is the measured utilization of the worker's processors, from 0 to
	// 1.
	Load float64
}

// Snapshot is the complete input of a scheduling cycle.
type Snapshot struct {
	Now   time.Time
	Shard model.ShardID
	// Shards is the number of shards of the cluster.
	Shards uint32
	Config *config.Accepted
	// Synced is the configuration revision whose tasks the ledger already
	// holds completely. The ledger is compared with the configuration only
	// when Synced is not the revision of Config.
	Synced model.Revision
	// Ledger is the effective contents of the ledger: committed changes and
	// changes whose commit is in flight.
	Ledger Ledger
	// Workers are the shard's workers, ordered by VM id.
	Workers []Worker
	// LargestCapacities are the capacities of the largest workers of the
	// cluster. A task that fits none of them cannot run.
	LargestCapacities []model.Resources
	// ShardRoom is the free room of the other shards whose owners reported it.
	ShardRoom map[model.ShardID]model.Resources
	// CommitSize returns the resources to commit for the next task of a
	// workload.
	CommitSize func(workload string, declared model.Resources) model.Resources
	// Predictor predicts how much tasks slow each other down. Nil predicts no
	// slowdown.
	Predictor placement.Predictor
	// Costs are the weights by which tasks to preempt are chosen.
	Costs eviction.Costs
	// Placer chooses the worker for a task.
	Placer *placement.Placer
	// Random is the random number of this cycle.
	Random uint64
}

// Ledger is the part of a ledger's contents that the scheduler reads.
type Ledger interface {
	Task(model.TaskKey) (ledger.Task, bool)
	Tasks() iter.Seq[ledger.Task]
	OnWorker(model.WorkerID) []ledger.Task
	Committed(model.WorkerID) model.Resources
	Pending() []ledger.Task
}
