package jobservice

import (
	"context"
	"fmt"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
)

// NotLeadingError says that a daemon cannot tell what only the leader knows.
type NotLeadingError struct{ Daemon string }

// Error implements error.
func (e *NotLeadingError) Error() string { return fmt.Sprintf("daemon %s does not lead", e.Daemon) }

// Inspect returns what the leader believes of a job. An error is a
// *NotLeadingError, or an *UnknownJobError for a job that is over or was never
// taken in.
func (l *Leader) Inspect(ctx context.Context, id job.ID) (jobsched.JobView, error) {
	var view jobsched.JobView
	var known bool
	err := l.query(ctx, func(m *jobsched.Machine) { view, known = m.Inspect(id) })
	if err == nil && !known {
		err = &UnknownJobError{ID: id}
	}
	return view, err
}

// List returns the jobs that are not over, the longest accepted first and at
// most limit of them. An error is a *NotLeadingError.
func (l *Leader) List(ctx context.Context, limit int) ([]jobsched.JobView, error) {
	var views []jobsched.JobView
	err := l.query(ctx, func(m *jobsched.Machine) { views = m.List(limit) })
	return views, err
}

// query puts a question to the machine between two of its steps.
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
		// The lead was lost meanwhile, or the leader is too busy to tell.
		return &NotLeadingError{Daemon: l.o.Daemon}
	}
}
