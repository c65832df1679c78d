// Package scheduler decides what a shard's ledger should become. Decide is a
// pure function of a Snapshot and returns a plan; Observe turns what a worker
// reported into changes. Neither does I/O nor keeps state: what must last is
// in the ledger, and what is learned lives with the learners that the snapshot
// refers to.
//
// A cycle runs in a fixed order:
//
//  1. tasks that the configuration wants and the ledger lacks become pending;
//     tasks whose generation is gone or cancelled are stopped or removed;
//  2. services whose declaration changed are replaced step by step;
//  3. tasks on leaving workers are moved;
//  4. pending tasks are placed, urgent ones first and teams in fair order;
//  5. urgent tasks that found no room preempt.
//
// One rule holds throughout: a task gets a new attempt only from the pending
// state, and it becomes pending only when its last attempt is known to be
// over.
package scheduler
