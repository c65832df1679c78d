package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// AuditKind is what happened to a task at a worker.
type AuditKind int

// The kinds of events.
const (
	AuditStarted AuditKind = iota
	// AuditDone: a run has done the task. It counts once it is settled: until
	// then its worker may be lost with it.
	AuditDone
	// AuditSettled: guavarill has acknowledged that it knows of a run that was
	// done, before its worker's lease ran out.
	AuditSettled
	// AuditStopped: a run ended undone.
	AuditStopped
	// AuditLost: a run ended with its worker.
	AuditLost
	// AuditCrashed: a run has crashed its worker; AuditLost follows.
	AuditCrashed
)

var auditNames = [...]string{"started", "done", "settled", "stopped", "lost", "crashed"}

// String returns the kind's name.
func (k AuditKind) String() string { return auditNames[k] }

// AuditEvent is one thing that happened at a worker.
type AuditEvent struct {
	At     time.Time
	Kind   AuditKind
	Task   string
	Worker string
}

// Audit sees what all workers run, in the order in which it happens. A nil
// Audit sees nothing.
type Audit struct {
	mu      sync.Mutex
	running map[string][]string
	// copied holds the jobs whose tasks may run twice at a time.
	copied map[string]bool
	twice  []string
	events []AuditEvent
}

// NewAudit makes an Audit.
func NewAudit() *Audit {
	return &Audit{running: make(map[string][]string), copied: make(map[string]bool)}
}

// AllowCopies allows the tasks of a job to run twice at a time, not more often.
func (a *Audit) AllowCopies(job string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.copied[job] = true
}

// most returns how often a task may run at a time.
func (a *Audit) most(task string) int {
	if job, _, _ := strings.Cut(task, "."); a.copied[job] {
		return 2
	}
	return 1
}

func (a *Audit) note(kind AuditKind, task, worker string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, AuditEvent{At: time.Now(), Kind: kind, Task: task, Worker: worker})
	switch kind {
	case AuditStarted:
		others := a.running[task]
		if len(others) >= a.most(task) {
			a.twice = append(a.twice, fmt.Sprintf("%s on %s and %s", task, strings.Join(others, " and "), worker))
			others = others[1:]
		}
		a.running[task] = append(others, worker)
	case AuditDone, AuditStopped, AuditLost:
		a.running[task] = slices.DeleteFunc(a.running[task], func(other string) bool { return other == worker })
		if len(a.running[task]) == 0 {
			delete(a.running, task)
		}
	}
}

// Twice returns the tasks that ran twice at a time, or three times if they may run twice.
func (a *Audit) Twice() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.twice
}

// Running returns the tasks that run now, with their workers.
func (a *Audit) Running() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	running := make(map[string]string, len(a.running))
	for task, workers := range a.running {
		running[task] = workers[0]
	}
	return running
}

// Events returns what has happened so far.
func (a *Audit) Events() []AuditEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.events[:len(a.events):len(a.events)]
}
