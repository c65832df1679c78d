// Package jobmemory bounds the memory that accepted jobs take at the daemon that schedules
// them, the leader.
//
// The leader sums up the Cost of the jobs that it has and publishes the Usage. Every daemon
// has an Account: the last usage that it knows, and what it has accepted itself that the
// leader did not know of by then. It accepts a job only if there is memory for it. Nothing
// here does I/O.
//
// The load that this answers: jobs that are accepted faster than they are carried out, for
// long. Each leader would run out of memory, and the next one with the same jobs again.
package jobmemory
