// Package job holds what a caller submits and what becomes of it: the
// declaration of a job and its steps, the queue that takes it, the identity of
// its tasks, and the records in which both are kept. It does no I/O.
package job
