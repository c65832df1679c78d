package soak

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/guavarill/guavarill/core/job"
	standin "github.com/guavarill/guavarill/standin/platform"
)

// report collects the violations that a run found.
type report struct {
	mu     sync.Mutex
	broken []string
}

// mostReported is the maximum number of reported violations. The first ones show the
// cause.
const mostReported = 20

func (r *report) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) < mostReported {
		r.broken = append(r.broken, fmt.Sprintf(format, args...))
	}
}

func (r *report) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

// cancelGrace is how long after a cancel tasks of the job may still start or run: until
// the lease of the last worker to be told has ended, and the length of a take-over.
const cancelGrace = 9 * time.Second

// check checks the whole run against the events at the workers and the callers' view
// of their jobs.
func check(r *report, events []standin.AuditEvent, twice []string, jobs []*submitted) {
	for _, t := range twice {
		r.add("ran twice at a time: %s", t)
	}
	byID := make(map[string]*submitted, len(jobs))
	for _, j := range jobs {
		byID[j.id] = j
	}
	h := history{
		report: r, jobs: byID, done: make(map[string]bool), settled: make(map[string]time.Time),
		crashes: make(map[string]int), further: make(map[string]int),
	}
	for _, e := range events {
		h.take(e)
	}
	for _, j := range jobs {
		h.end(j)
	}
}

// history checks the events at the workers in order.
type history struct {
	report *report
	jobs   map[string]*submitted
	done   map[string]bool
	// settled holds when it was acknowledged that a task was done.
	settled map[string]time.Time
	// crashes counts the workers that each task has crashed, further its starts after
	// crashesMost of them.
	crashes, further map[string]int
}

func (h *history) take(e standin.AuditEvent) {
	switch e.Kind {
	case standin.AuditDone:
		h.done[e.Task] = true
	case standin.AuditSettled:
		if h.settled[e.Task].IsZero() {
			h.settled[e.Task] = e.At
		}
	case standin.AuditCrashed:
		h.crashes[e.Task]++
	case standin.AuditStarted:
		h.started(e)
		h.startedWhenGone(e)
		h.startedAgain(e)
	}
}

// started checks that a start is of a job that may have been accepted and of a task
// that is not done, that the previous step is done, and that the job was not canceled
// more than cancelGrace before.
func (h *history) started(e standin.AuditEvent) {
	id, step, ok := parseTask(e.Task)
	j := h.jobs[id]
	switch {
	case !ok || j == nil:
		h.report.add("%s was started, and nobody submitted it", e.Task)
		return
	case j.fate == refused:
		h.report.add("%s was started, and its caller was told that it was refused", e.Task)
	case h.startedSettled(e, j):
		h.report.add("%s was started on %s after it was done", e.Task, e.Worker)
	case !j.canceledAt.IsZero() && e.At.After(j.canceledAt.Add(cancelGrace)):
		h.report.add("%s was started %s after its job was canceled", e.Task, e.At.Sub(j.canceledAt).Round(time.Millisecond))
	}
	if step == 0 {
		return
	}
	for index := range j.steps[step-1] {
		before := fmt.Sprintf("%s.0.%d.%d", id, step-1, index)
		if !h.done[before] {
			h.report.add("%s was started before %s was done", e.Task, before)
		}
	}
}

// copyGrace is how long after a task was done a copy of it may still be started: as long
// as the lease that an order on its way grants.
const copyGrace = 3 * time.Second

// startedSettled reports whether a start comes after its task was done, or after
// copyGrace more if copies of it may run.
func (h *history) startedSettled(e standin.AuditEvent, j *submitted) bool {
	at := h.settled[e.Task]
	if j.copyable {
		at = at.Add(copyGrace)
	}
	return !h.settled[e.Task].IsZero() && e.At.After(at)
}

const (
	// crashesMost is the number of workers that a task may crash before its further
	// starts are limited; furtherMost is that limit. Both are the users' rule.
	crashesMost = 3
	furtherMost = 2
)

// startedAgain checks that a task is not started too often after it has crashed
// workers.
func (h *history) startedAgain(e standin.AuditEvent) {
	if h.crashes[e.Task] < crashesMost {
		return
	}
	h.further[e.Task]++
	if h.further[e.Task] > furtherMost {
		h.report.add("%s was started %d times more after it had crashed %d workers", e.Task, h.further[e.Task], crashesMost)
	}
}

// end checks the final state of a job.
func (h *history) end(j *submitted) {
	switch {
	case j.fate != accepted:
	case j.final == "":
		h.report.add("job %s was accepted and has no final state", j.id)
	case j.final == job.Completed:
		for step, count := range j.steps {
			for index := range count {
				if task := fmt.Sprintf("%s.0.%d.%d", j.id, step, index); !h.done[task] {
					h.report.add("job %s is completed, and %s was never done", j.id, task)
				}
			}
		}
	case !j.canceledAt.IsZero() && j.final != job.Canceled:
		h.report.add("job %s was canceled and is told as %s", j.id, j.final)
	}
}

// parseTask parses a task's name, which is job.occurrence.step.index.
func parseTask(name string) (id string, step int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	step, err := strconv.Atoi(parts[2])
	return parts[0], step, err == nil
}

// stillRunning returns the running tasks, sorted.
func stillRunning(audit *standin.Audit) []string {
	return slices.Sorted(maps.Keys(audit.Running()))
}
