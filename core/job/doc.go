// Package job defines the jobs that callers submit: the declaration of a job
// and its steps, the queue that accepts it, the identity of its tasks, and the
// stored records of the declaration and its progress. It does no I/O.
package job
