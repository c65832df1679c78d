package jobservice

import (
	"context"
	"fmt"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
)

// NotLeadingError reports that a daemon cannot answer a request because only the
// leader can.
type NotLeadingError struct{ Daemon string }

// Error implements error.
func (e *NotLeadingError) Error() string { return fmt.Sprintf("daemon %s does not lead", e.Daemon) }

// Inspect returns the leader's view of a job. An error is a *NotLeadingError, or an
// *UnknownJobError for a job that has ended or was never accepted.
func (l *Leader) Inspect(ctx context.Context, id job.ID) (jobsched.JobView, error) {
	var view jobsched.JobView
	var known bool
	err := l.query(ctx, func(m *jobsched.Machine) { view, known = m.Inspect(id) })
	if err == nil && !known {
		err = &UnknownJobError{ID: id}
	}
	return view, err
}

// List returns the jobs that have not ended, the earliest accepted first and at most
// limit of them. An error is a *NotLeadingError.
func (l *Leader) List(ctx context.Context, limit int) ([]jobsched.JobView, error) {
	var views []jobsched.JobView
	err := l.query(ctx, func(m *jobsched.Machine) { views = m.List(limit) })
	return views, err
}

// query runs a function on the machine between two of its steps. An error is a
// *NotLeadingError.
func (l *Leader) query(ctx context.Context, question func(*jobsched.Machine)) error {
	if !l.Leads() {
		return &NotLeadingError{Daemon: l.o.Daemon}
	}
	answered := make(chan struct{})
	run := func(m *jobsched.Machine) {
		question(m)
		close(answered)
	}
	select {
	case l.queries <- run:
		<-answered
		return nil
	case <-ctx.Done():
		// Leadership was lost in the meantime, or the leader is too busy to answer.
		return &NotLeadingError{Daemon: l.o.Daemon}
	}
}
