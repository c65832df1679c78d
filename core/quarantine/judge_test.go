package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func key(workload string, index int) model.TaskKey {
	return model.TaskKey{Workload: workload, Generation: 1, Index: uint32(index)}
}

// ledger is the ledger's side of the tasks: what a verdict says is counted is
// handed back with the next outcome.
type ledger struct {
	failures    map[model.TaskKey]uint32
	workers     map[model.TaskKey][]model.WorkerID
	attempts    map[model.TaskKey]model.Attempt
	gaveUp      map[model.TaskKey]*GaveUpError
	quarantines map[model.WorkerID]WorkerVerdict
}

func newLedger() *ledger {
	return &ledger{
		failures: map[model.TaskKey]uint32{}, workers: map[model.TaskKey][]model.WorkerID{},
		attempts: map[model.TaskKey]model.Attempt{}, gaveUp: map[model.TaskKey]*GaveUpError{},
		quarantines: map[model.WorkerID]WorkerVerdict{},
	}
}

func (l *ledger) report(j *Evaluator, now time.Time, k model.TaskKey, w model.WorkerID, result Result) Verdict {
	l.attempts[k]++
	v := j.Observe(now, Outcome{
		Task: k, Attempt: l.attempts[k], Worker: w, Result: result,
		Failures: l.failures[k], FailedWorkers: l.workers[k],
	})
	if v.Task.Blame.Counts() {
		l.failures[k]++
		l.workers[k] = append(l.workers[k], w)
	}
	if v.Task.GaveUp != nil {
		l.gaveUp[k] = v.Task.GaveUp
	}
	if v.Worker != nil {
		l.record(*v.Worker)
	}
	for _, other := range v.Others {
		l.record(other)
	}
	return v
}

func (l *ledger) record(v WorkerVerdict) {
	delete(l.quarantines, v.Worker)
	if v.State != Open {
		l.quarantines[v.Worker] = v
	}
}

func worker(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("w%02d", i)) }

// runTasks deals tasks over workers round by round. A task that failed is tried on
// the next open worker. broken and poison say which workers and tasks fail.
func runTasks(j *Evaluator, l *ledger, workers, tasks int, broken func(model.WorkerID) bool, poison func(int) bool) {
	j.SetFleetSize(workers)
	done := map[int]bool{}
	for round := range 12 {
		for i := range tasks {
			k := key(fmt.Sprintf("job-%d", i%4), i)
			if done[i] || l.gaveUp[k] != nil {
				continue
			}
			now := at(60*round + i)
			w := worker((i + round) % workers)
			if j.State(now, w) == Quarantined {
				continue
			}
			if broken(w) || poison(i) {
				l.report(j, now, k, w, Failed)
				continue
			}
			l.report(j, now, k, w, Succeeded)
			done[i] = true
		}
	}
}

func never[T any](T) bool { return false }

// Symptom: a worker fails everything it starts, and because it is always free
// again it draws all work to it and ends every job.
func TestBadWorkerIsQuarantinedAndItsTasksAreNotBlamed(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	runTasks(j, l, 10, 40, func(w model.WorkerID) bool { return w == worker(3) }, never[int])
	if len(l.quarantines) != 1 || l.quarantines[worker(3)].State != Quarantined {
		t.Errorf("closed %v", l.quarantines)
	}
	if len(l.gaveUp) != 0 {
		t.Errorf("gave up %v", l.gaveUp)
	}
}

// Symptom: one job that can only fail closes worker after worker.
func TestBadTasksAreGivenUpAndTheirWorkersStayOpen(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	runTasks(j, l, 10, 40, never[model.WorkerID], func(i int) bool { return i%10 == 7 })
	if len(l.quarantines) != 0 {
		t.Errorf("closed %v", l.quarantines)
	}
	if len(l.gaveUp) != 4 {
		t.Fatalf("gave up %d tasks, want 4", len(l.gaveUp))
	}
	for k, e := range l.gaveUp {
		if e.Reason != FailsEverywhere || e.Workers != DefaultOptions().DistinctWorkers {
			t.Errorf("%s: %v", k, e)
		}
	}
}

// Symptom: with a bad worker and bad tasks at the same time, good tasks are
// given up or good workers closed. Both kinds must be found, and only they.
func TestBadWorkerAndBadTasksAreToldApart(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	runTasks(j, l, 10, 60, func(w model.WorkerID) bool { return w == worker(3) }, func(i int) bool { return i%10 == 7 })
	if len(l.quarantines) != 1 || l.quarantines[worker(3)].State != Quarantined {
		t.Errorf("closed %v", l.quarantines)
	}
	if len(l.gaveUp) != 6 {
		t.Errorf("gave up %d tasks, want 6", len(l.gaveUp))
	}
	for k := range l.gaveUp {
		if k.Index%10 != 7 {
			t.Errorf("gave up the good task %s", k)
		}
	}
}

// Symptom: a release breaks a whole workload, and every worker that its tasks
// reach is quarantined. Nothing speaks against the workers: what fails there
// fails everywhere.
func TestBrokenWorkloadClosesNoWorker(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	j.SetFleetSize(10)
	for i := range 200 {
		w := worker(i % 10)
		l.report(j, at(3*i), key("good", i), w, Succeeded)
		l.report(j, at(3*i+1), key("broken", i), w, Failed)
	}
	if len(l.quarantines) != 0 {
		t.Errorf("closed %v", l.quarantines)
	}
}

// Symptom: a service that all tasks need is down for a while; afterwards every
// job has been given up and every worker is quarantined.
func TestCommonCauseBlamesNobody(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	j.SetFleetSize(10)
	for i := range 40 {
		l.report(j, at(i), key(fmt.Sprintf("job-%d", i%4), i), worker(i%10), Succeeded)
	}
	for round := range 12 {
		for i := range 40 {
			l.report(j, at(60+60*round+i), key(fmt.Sprintf("job-%d", i%4), 100+i), worker((i+round)%10), Failed)
		}
	}
	if len(l.quarantines) != 0 || len(l.gaveUp) != 0 {
		t.Errorf("closed %d workers, gave up %d tasks", len(l.quarantines), len(l.gaveUp))
	}
}

// Symptom: half of the fleet is closed on the evidence of a bad hour.
func TestQuarantineIsBoundedToAPartOfTheFleet(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	j.SetFleetSize(10)
	for i := range 5 {
		failWorker(t, j, l, at(i), worker(i), i < 2)
	}
	for i := range 5 {
		if got, want := j.State(at(10), worker(i)), Quarantined; (got == want) != (i < 2) {
			t.Errorf("%s is %s", worker(i), got)
		}
	}
}

// failWorker has tasks fail on a worker and work elsewhere until it is no
// longer open, and checks whether it is quarantined or only on probation.
func failWorker(t *testing.T, j *Evaluator, l *ledger, now time.Time, w model.WorkerID, quarantined bool) WorkerVerdict {
	t.Helper()
	level := l.quarantines[w].Level
	for i := range 8 {
		k := key("job", int(now.Unix())*10+i)
		l.report(j, now, k, w, Failed)
		l.report(j, now, k, "other", Succeeded)
		if l.quarantines[w].Level > level {
			break
		}
	}
	if got := j.State(now, w) == Quarantined; got != quarantined {
		t.Fatalf("%s: quarantined %v, want %v", w, got, quarantined)
	}
	return l.quarantines[w]
}

// Symptom: a worker returns from quarantine, takes all waiting work at once and
// fails it. It must return one task at a time, and each time it fails again
// stay away longer.
func TestProbationAndGrowingLevels(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	j.SetFleetSize(10)
	now := at(0)
	length := time.Duration(0)
	for level := range uint32(4) {
		v := failWorker(t, j, l, now, "bad", true)
		if v.Level != level+1 || v.Until.Sub(now) <= length {
			t.Fatalf("level %d: %+v after %v", level+1, v, length)
		}
		length = v.Until.Sub(now)
		if j.MayStart(v.Until.Add(-time.Second), "bad", 0) {
			t.Error("may start during quarantine")
		}
		if !j.MayStart(v.Until, "bad", 0) || j.MayStart(v.Until, "bad", 1) {
			t.Error("probation is not one task at a time")
		}
		// One that was running when the quarantine began is part of it.
		running := key("running", int(level))
		l.report(j, now.Add(time.Second), running, "bad", Failed)
		now = v.Until
		l.report(j, now, running, "other", Succeeded)
		// A task of which nothing is known says little, and what the worker
		// was quarantined for is paid for.
		l.report(j, now, key(fmt.Sprintf("new-%d", level), 0), "bad", Failed)
		if j.State(now, "bad") != Probation {
			t.Error("quarantined again without new evidence")
		}
	}
	for i := range DefaultOptions().ProbationTasks {
		l.report(j, now.Add(time.Second), key("good", i), "bad", Succeeded)
	}
	if j.State(now.Add(time.Second), "bad") != Open {
		t.Error("not open after the probation's tasks worked")
	}
	v := failWorker(t, j, l, now.Add(time.Minute), "bad", true)
	if v.Level != 5 {
		t.Errorf("level after a clean minute: %d, want 5", v.Level)
	}
}

// Symptom: good tasks are given up because they were dealt to bad workers.
func TestFailuresOnBadWorkersDoNotCount(t *testing.T) {
	j, l := NewEvaluator(DefaultOptions()), newLedger()
	j.SetFleetSize(20)
	failWorker(t, j, l, at(0), "bad1", true)
	failWorker(t, j, l, at(1), "bad2", true)
	o := Outcome{Task: key("good", 1), Attempt: 3, FailedWorkers: []model.WorkerID{"bad1", "bad2"}, Failures: 2}
	o.Worker = "bad1"
	if v := j.Observe(at(100), o); v.Task.Blame != BlameWorker || v.Task.GaveUp != nil {
		t.Errorf("on a bad worker: %+v", v.Task)
	}
	o.Worker = "fine"
	if v := j.Observe(at(101), o); v.Task.Blame != BlameUnclear || v.Task.GaveUp != nil {
		t.Errorf("on a third one: %+v", v.Task)
	}
}

// Symptom: after a change of owner a quarantined worker gets work at once.
func TestRestore(t *testing.T) {
	j := NewEvaluator(DefaultOptions())
	j.Restore("bad", at(100), 3)
	if j.MayStart(at(99), "bad", 0) || j.MayStart(at(101), "bad", 1) || !j.MayStart(at(101), "bad", 0) {
		t.Error("the quarantine was not taken over")
	}
}

// Symptom: tasks that failed together come back together, as fast as they fail.
func TestBackoffGrowsIsBoundedAndSpread(t *testing.T) {
	o := DefaultOptions()
	o.DistinctWorkers, o.MaxAttempts = 100, 100
	j, l := NewEvaluator(o), newLedger()
	last := time.Duration(0)
	for i := range 12 {
		wait := l.report(j, at(i), key("job", 1), "w", Failed).Task.NotBefore.Sub(at(i))
		if wait > o.MaxBackoff*5/4 || (i < 7 && wait <= last) {
			t.Errorf("failure %d waits %v after %v", i+1, wait, last)
		}
		last = wait
	}
	waits := map[time.Duration]bool{}
	for i := range 20 {
		waits[l.report(j, at(100), key("other", i), worker(i), Failed).Task.NotBefore.Sub(at(100))] = true
	}
	if len(waits) < 15 {
		t.Errorf("20 tasks wait only %d different times", len(waits))
	}
}

// A task whose attempts are used up ends with a typed reason.
func TestAttemptsAreBounded(t *testing.T) {
	j := NewEvaluator(DefaultOptions())
	v := j.Observe(at(0), Outcome{Task: key("job", 1), Attempt: 2, Worker: "w", Failures: 1, MaxAttempts: 2})
	if v.Task.GaveUp == nil || v.Task.GaveUp.Reason != AttemptsExhausted || v.Task.GaveUp.Failures != 2 {
		t.Errorf("got %+v", v.Task)
	}
}

// Symptom: a good task is given up, and its job never ends.
// Sequence: the only worker with room fails all that it is told to start; the
// task is tried there until its attempts are used up.
// Cause: failures on one bad worker are counted like failures on several.
func TestOneWorkerAloneDoesNotUseUpAttempts(t *testing.T) {
	j := NewEvaluator(DefaultOptions())
	failed := Outcome{Task: key("job", 1), Attempt: 9, Worker: "w", Failures: 8}
	failed.FailedWorkers = []model.WorkerID{"w"}
	if v := j.Observe(at(0), failed); v.Task.GaveUp != nil {
		t.Errorf("given up after failures on one worker: %v", v.Task.GaveUp)
	}
	failed.FailedWorkers = []model.WorkerID{"v", "w"}
	if v := j.Observe(at(1), failed); v.Task.GaveUp == nil {
		t.Error("not given up after failures on two workers")
	}
}
