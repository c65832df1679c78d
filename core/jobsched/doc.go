// Package jobsched schedules the tasks of jobs on workers. Machine is the state of
// the daemon that leads. It receives timestamped events, does no I/O, and returns
// the effects that the daemon has to carry out.
//
// The workers are the source of truth for what is running. The leader sends an
// order without storing a record of it. A worker keeps the end of an attempt until
// the leader acknowledges it, and the leader acknowledges an end only after its
// consequence is stored. A daemon that takes over queries every worker under its
// own, higher epoch before it starts anything that an earlier leader may have
// started.
package jobsched
