// Package jobapi is guavarill's own interface for jobs over HTTP with JSON, for
// callers and operators, and its client. It serves at every daemon what the
// platform's entry serves in the platform's form, and besides what the daemon
// believes and has decided.
//
//	POST   /v1/queues/QUEUE/jobs/ID  submits a job, idempotent by its id
//	GET    /v1/queues/QUEUE          counts the jobs that wait
//	GET    /v1/jobs                  lists jobs that are not over (leader only)
//	GET    /v1/jobs/ID               tells a job's state
//	GET    /v1/jobs/ID/tasks         tells what a job's tasks do (leader only)
//	DELETE /v1/jobs/ID               cancels a job
//	GET    /v1/status                tells the daemon's status
//	GET    /v1/log                   returns its latest log lines
package jobapi
