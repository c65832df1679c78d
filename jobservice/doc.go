// Package jobservice takes callers' jobs in at any daemon and, at the one daemon
// that leads, drives the scheduling of their tasks. It is the shell around
// core/jobsched: it reads and writes the platform's store, carries the machine's
// orders to the workers and hands their answers back.
//
// Control state is touched by one goroutine, that of Leader.lead; store calls,
// orders and callers' requests have goroutines of their own.
package jobservice
