package eviction

import (
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
)

// FullSpeed is the throttle percentage of a task that is not throttled.
const FullSpeed = 100

// Task is a batch task on a worker.
type Task struct {
	Key      model.TaskKey
	Class    string
	Priority model.Priority
	// Size is the resources committed for the task now.
	Size model.Resources
	// FullSize is the resources to commit for the task at full speed; zero
	// means that the committed size does not depend on the throttle. See
	// ThrottledSize.
	FullSize    model.Resources
	LongRunning bool
	// Percent is the percentage of its full processors that the task may use,
	// FullSpeed if it is not throttled.
	Percent uint32
	// ThrottledAt is the time at which Percent was last changed.
	ThrottledAt time.Time
	// SavedAt is the time of the latest checkpoint, or of the start if there is
	// none. Progress since then is lost if the task stops without a checkpoint.
	SavedAt time.Time
	// CanCheckpoint is true if the task can write a checkpoint when it stops.
	CanCheckpoint bool
	Evictions     uint32
	// Stopping is true once the task was requested to stop.
	Stopping bool
}

// Service is the latest measurement of an instance of a service.
type Service struct {
	Key   model.TaskKey
	Class string
	// Slowdown is the measured slowdown factor; 1 means undisturbed.
	Slowdown   float64
	MeasuredAt time.Time
	// Limit is the largest acceptable slowdown; 0 selects Options.Limit.
	Limit float64
}

// Shortage is the resources that a task needs beyond its committed size and the
// free resources of its worker; see interference.SplitGrowth.
type Shortage struct {
	Task    model.TaskKey
	Service bool
	Missing model.Resources
}

// WorkerView is the state of one worker that decisions are based on.
type WorkerView struct {
	Worker model.WorkerID
	// Load is the utilization of the worker's processors, from 0 to 1.
	Load float64
	// Free is the uncommitted resources.
	Free     model.Resources
	Services []Service
	// Batch holds the batch tasks on the worker.
	Batch     []Task
	Shortages []Shortage
}

// Predictor predicts how much one task (the aggressor) slows another (the
// victim) on the same worker; see interference.Model.
type Predictor interface {
	// PredictWorkload predicts for any task of the aggressor's workload.
	PredictWorkload(victimClass, aggressorClass, workload string, load float64) interference.Estimate
	// PredictTask predicts for one task, from what was learned about it.
	PredictTask(victimClass, aggressorClass string, aggressor model.TaskKey, load float64) interference.Estimate
}

// Kind is the kind of an action.
type Kind string

// The kinds of action.
const (
	Throttle   Kind = "throttle"
	Unthrottle Kind = "unthrottle"
	Evict      Kind = "evict"
)

// Reason is the reason for an action.
type Reason string

// The reasons for an action.
const (
	// SlowedService means that a service is slowed beyond its limit.
	SlowedService Reason = "slowed service"
	// PredictedSlowdown means that the task could slow a service far beyond its
	// limit.
	PredictedSlowdown Reason = "slowdown predicted"
	// CalmServices means that the services have been calm long enough.
	CalmServices Reason = "services calm"
	// MemoryShort means that a task needs memory that the worker does not have.
	MemoryShort Reason = "memory short"
	// CPUShort means that the task needs processors that the worker does not
	// have.
	CPUShort Reason = "processors short"
	// RoomForUrgent means that an urgent task needs the room.
	RoomForUrgent Reason = "room for urgent work"
	// NoServiceToSlow means that the worker has no service any more.
	NoServiceToSlow Reason = "no service left to slow"
)

// Action is an action on one task.
type Action struct {
	Kind   Kind
	Worker model.WorkerID
	Task   model.TaskKey
	// Percent is the new throttle percentage, for Throttle and Unthrottle.
	Percent uint32
	Reason  Reason
}
