package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// audit sees each start and end at the workers, in the order in which they happen.
type audit struct {
	rig *rig

	mu      sync.Mutex
	running map[string][]*taskRun
	noticed map[string]time.Time
	// lastEnd is when the last run of each task has ended.
	lastEnd map[string]time.Time
	// startsWith counts the starts by their specification.
	startsWith map[string]int
	broken     []string
}

func newAudit(r *rig) *audit {
	return &audit{rig: r, running: make(map[string][]*taskRun), noticed: make(map[string]time.Time), lastEnd: make(map[string]time.Time), startsWith: make(map[string]int)}
}

// breaks records that a rule is broken.
func (a *audit) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	a.mu.Lock()
	a.broken = append(a.broken, text)
	a.mu.Unlock()
	a.rig.note("BROKEN %s", text)
}

func (a *audit) brokenRules() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.broken...)
}

// started records a start and checks it.
func (a *audit) started(run *taskRun, o order) {
	a.mu.Lock()
	others := append([]*taskRun(nil), a.running[run.task]...)
	a.running[run.task] = append(a.running[run.task], run)
	a.startsWith[o.Specification]++
	noticed, settled := a.noticed[run.task]
	a.mu.Unlock()
	a.rig.note("worker %s starts %s run %d (token %d)", run.worker.id, run.task, run.number, o.FencingToken)
	for _, other := range others {
		a.breaks("TWICE", "%s runs as %d on %s and as %d on %s", run.task, other.number, other.worker.id, run.number, run.worker.id)
	}
	if settled {
		a.breaks("TWICE", "%s starts %s after its end was taken note of", run.task, time.Since(noticed).Round(time.Millisecond))
	}
	id, _, _ := strings.Cut(run.task, ".")
	switch j := a.rig.job(id); {
	case j == nil:
		a.breaks("UNASKED", "%s starts, and no client sent it", run.task)
	case j.specification != o.Specification:
		a.breaks("UNASKED", "%s starts with another specification", run.task)
	}
}

// ended records the end of a run.
func (a *audit) ended(run *taskRun, how string) {
	a.mu.Lock()
	var rest []*taskRun
	for _, other := range a.running[run.task] {
		if other != run {
			rest = append(rest, other)
		}
	}
	a.running[run.task] = rest
	a.lastEnd[run.task] = time.Now()
	a.mu.Unlock()
	a.rig.note("worker %s ends %s run %d: %s", run.worker.id, run.task, run.number, how)
}

// runs reports whether a task runs, and when its last run has ended.
func (a *audit) runs(task string) (bool, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running[task]) > 0, a.lastEnd[task]
}

// startedWith returns how many starts had a specification.
func (a *audit) startedWith(specification string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startsWith[specification]
}

// noted records that an end was taken note of.
func (a *audit) noted(task string, run int, how, worker string) {
	a.rig.note("the end of %s run %d on %s is taken note of", task, run, worker)
	if how != "done" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.noticed[task].IsZero() {
		a.noticed[task] = time.Now()
	}
}
