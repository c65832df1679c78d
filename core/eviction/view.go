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
	// Size is what is committed for it now.
	Size model.Resources
	// FullSize is what is committed for it at full speed; zero stands for Size.
	// See ThrottledHold.
	FullSize    model.Resources
	LongRunning bool
	// Percent of its committed processors that it may use; FullSpeed when not
	// throttled.
	Percent uint32
	// ThrottledAt is when Percent was last changed.
	ThrottledAt time.Time
	// SavedAt is when its progress was last safe: its latest checkpoint, or
	// its start. Progress since then is lost when it is stopped without one.
	SavedAt time.Time
	// CanCheckpoint is whether it can be checkpointed when it is stopped.
	CanCheckpoint bool
	Evictions     uint32
	// Stopping is true once its end was asked for.
	Stopping bool
}

// Service is an instance of a service on a worker, as last measured.
type Service struct {
	Key   model.TaskKey
	Class string
	// Slowdown is 1 when undisturbed.
	Slowdown   float64
	MeasuredAt time.Time
	// Limit is the slowdown that its callers can bear; 0 stands for
	// Options.Limit.
	Limit float64
}

// Shortage is room that a task needs beyond what it holds and its worker has
// free; see interference.Grow.
type Shortage struct {
	Task    model.TaskKey
	Service bool
	Missing model.Resources
}

// WorkerView is what is known of one worker.
type WorkerView struct {
	Worker model.WorkerID
	Load   float64
	// Free is the room that is not committed.
	Free      model.Resources
	Services  []Service
	Batch     []Task
	Shortages []Shortage
}

// Predictor tells how much one aggressor slows a victim; see
// interference.Model.
type Predictor interface {
	PredictWorkload(victimClass, aggressorClass, workload string, load float64) interference.Estimate
	PredictTask(victimClass, aggressorClass string, aggressor model.TaskKey, load float64) interference.Estimate
}

// Kind says what an action does.
type Kind string

// The kinds of action.
const (
	Throttle   Kind = "throttle"
	Unthrottle Kind = "unthrottle"
	Evict      Kind = "evict"
)

// Reason says why an action is taken.
type Reason string

// The reasons for an action.
const (
	SlowedService Reason = "slowed service"
	// PredictedSlowdown: the task could slow a service far beyond its limit.
	PredictedSlowdown Reason = "slowdown predicted"
	CalmServices      Reason = "services calm"
	MemoryShort       Reason = "memory short"
	CPUShort          Reason = "processors short"
	RoomForUrgent     Reason = "room for urgent work"
	NoServiceToSlow   Reason = "no service left to slow"
)

// Action is one thing to do to one task.
type Action struct {
	Kind   Kind
	Worker model.WorkerID
	Task   model.TaskKey
	// Percent is the task's new throttle, for Throttle and Unthrottle.
	Percent uint32
	Reason  Reason
}
