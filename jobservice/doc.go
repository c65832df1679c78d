// Package jobservice accepts callers' jobs at any daemon and, at the one daemon that
// leads, schedules their tasks. It is the I/O layer around the state machine of
// core/jobsched: it reads and writes the platform's store, sends the machine's orders
// to the workers and passes their responses back to it.
//
// The control state is accessed by a single goroutine, the one that runs Leader.lead.
// Store calls, orders and callers' requests run in goroutines of their own.
package jobservice
