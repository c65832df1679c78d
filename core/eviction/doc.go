// Package eviction decides which batch tasks of a worker to throttle or evict
// when its services are slowed down, when its tasks need more resources than it
// has, or when urgent work needs room.
//
// Controller.Decide evaluates one worker and returns at most one action per
// report lag. Reports are delayed, so the effect of an action shows only after
// some time. Acting on measurements made before that would throttle or evict a
// second task for the slowdown that the first one caused. Measurements made
// before the latest action has settled are therefore ignored.
//
// A slowdown that is confirmed by two measurements, or a severe one, first
// leads to a throttle of the task with the largest expected relief for its
// cost. A task is evicted only when no further throttle is worthwhile and the
// slowdown has lasted for some time. When the services have been calm for a
// while, one task is unthrottled by one step. Each time the slowdown then comes
// back, the required calm period doubles. The gap between the pressure that
// leads to a throttle and the pressure that counts as calm is the hysteresis.
//
// A shortage of memory cannot be relieved by a throttle, so it leads to an
// eviction of the task that frees the most missing memory for its cost.
//
// Preempt chooses the cheapest set of tasks whose eviction makes room for an
// urgent task.
//
// The package does not read a clock. A Controller is owned by the control
// goroutine and is not safe for concurrent use.
package eviction
