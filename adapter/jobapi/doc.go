// Package jobapi contains the server and the client of guavarill's own interface
// for jobs, HTTP with JSON, for callers and operators. Every daemon serves it. It
// offers the operations of the platform's protocol and, in addition, the state
// and the decisions of the daemon.
//
//	POST   /v1/queues/QUEUE/jobs/ID  submits a job, idempotent by its id
//	GET    /v1/queues/QUEUE          counts the queue's pending jobs
//	GET    /v1/jobs                  lists the jobs that are not final (leader only)
//	GET    /v1/jobs/ID               returns a job's state
//	GET    /v1/jobs/ID/tasks         returns the states of a job's tasks (leader only)
//	DELETE /v1/jobs/ID               cancels a job
//	GET    /v1/status                returns the daemon's status
//	GET    /v1/log                   returns the daemon's latest log lines
package jobapi
