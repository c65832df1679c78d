// Package eviction decides what to do on a worker whose services are slowed,
// whose tasks outgrow their room, or whose room urgent work needs.
//
// Controller.Decide looks at one worker and returns at most one action for
// each report lag. Reports are old when they arrive, so an action's effect is
// unseen for a while; acting again on measurements made before it took effect
// would punish a second task for what the first did. Measurements made before
// the latest action has settled are therefore ignored.
//
// Actions are taken in order. A slowdown that two measurements confirm (or one
// that is severe) throttles the task whose throttling is expected to help most
// for its cost. Only when everything worth throttling is throttled and the
// slowdown has lasted is a task evicted. When the services have been calm for
// a while one task is unthrottled by one step; each time that brings the
// slowdown back, the calm that is asked for doubles. The gap between the
// pressure that throttles and the one that counts as calm is the hysteresis.
//
// Memory that a task needs and its worker does not have cannot be throttled
// away, so such a shortage evicts the cheapest task that makes the room.
//
// Preempt chooses the cheapest set of tasks whose eviction makes room for
// urgent work.
//
// Nothing here reads a clock; the control goroutine owns a Controller.
package eviction
