// Package scheduler decides which changes to make to the ledger of one shard.
// Decide is a pure function of a Snapshot and returns a plan. Observer.Observe
// turns a report from a worker into ledger changes. Neither does I/O nor keeps
// state of its own: durable state is in the ledger, and learned sizes and
// slowdowns are kept by the estimators that the snapshot refers to.
//
// A scheduling cycle has a fixed order:
//
//  1. Declared tasks that the ledger does not hold yet become pending. Tasks
//     whose generation was replaced, removed or cancelled are stopped or
//     deleted.
//  2. Services whose declaration changed are replaced instance by instance.
//  3. Tasks on leaving workers, and tasks that have not started in cordoned
//     availability zones, are stopped, to be started elsewhere.
//  4. Pending tasks are placed: by priority, and within a priority in turns
//     between the teams.
//  5. Urgent tasks that do not fit preempt tasks of lower priority.
//
// A task gets a new attempt only when it is pending, and it becomes pending
// only after its previous attempt is known to have ended.
package scheduler
