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

// ledger simulates the ledger: the counted failures of a verdict are passed back
// with the next outcome of the task.
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

func (l *ledger) report(ev *Evaluator, now time.Time, k model.TaskKey, w model.WorkerID, result Result) Verdict {
	l.attempts[k]++
	v := ev.Observe(now, Outcome{
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

// runTasks runs tasks on workers in rounds. In each round, an unfinished task is
// tried on the next worker unless that is quarantined. broken and poison select
// the workers and the tasks that fail.
func runTasks(ev *Evaluator, l *ledger, workers, tasks int, broken func(model.WorkerID) bool, poison func(int) bool) {
	ev.SetFleetSize(workers)
	done := map[int]bool{}
	for round := range 12 {
		for i := range tasks {
			k := key(fmt.Sprintf("job-%d", i%4), i)
			if done[i] || l.gaveUp[k] != nil {
				continue
			}
			now := at(60*round + i)
			w := worker((i + round) % workers)
			if ev.State(now, w) == Quarantined {
				continue
			}
			if broken(w) || poison(i) {
				l.report(ev, now, k, w, Failed)
				continue
			}
			l.report(ev, now, k, w, Succeeded)
			done[i] = true
		}
	}
}

func never[T any](T) bool { return false }

// Guards against a worker that fails every task, is therefore always free, gets
// most of the work and makes every job fail.
func TestBadWorkerIsQuarantinedAndItsTasksAreNotBlamed(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	runTasks(ev, l, 10, 40, func(w model.WorkerID) bool { return w == worker(3) }, never[int])
	if len(l.quarantines) != 1 || l.quarantines[worker(3)].State != Quarantined {
		t.Errorf("not open: %v", l.quarantines)
	}
	if len(l.gaveUp) != 0 {
		t.Errorf("gave up %v", l.gaveUp)
	}
}

// Guards against one job that always fails causing the quarantine of one worker
// after the other.
func TestBadTasksAreGivenUpAndTheirWorkersStayOpen(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	runTasks(ev, l, 10, 40, never[model.WorkerID], func(i int) bool { return i%10 == 7 })
	if len(l.quarantines) != 0 {
		t.Errorf("not open: %v", l.quarantines)
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

// Guards against good tasks being given up, or good workers being quarantined,
// when there are a bad worker and bad tasks at the same time. Exactly the bad
// ones must be found.
func TestBadWorkerAndBadTasksAreToldApart(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	runTasks(ev, l, 10, 60, func(w model.WorkerID) bool { return w == worker(3) }, func(i int) bool { return i%10 == 7 })
	if len(l.quarantines) != 1 || l.quarantines[worker(3)].State != Quarantined {
		t.Errorf("not open: %v", l.quarantines)
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

// Guards against a release that breaks a whole workload causing the quarantine
// of every worker that runs one of its tasks. The tasks fail on every worker,
// which is no evidence against the workers.
func TestBrokenWorkloadQuarantinesNoWorker(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	ev.SetFleetSize(10)
	for i := range 200 {
		w := worker(i % 10)
		l.report(ev, at(3*i), key("good", i), w, Succeeded)
		l.report(ev, at(3*i+1), key("broken", i), w, Failed)
	}
	if len(l.quarantines) != 0 {
		t.Errorf("not open: %v", l.quarantines)
	}
}

// Guards against every job being given up and every worker being quarantined
// while a service that all tasks depend on is down.
func TestCommonCauseBlamesNobody(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	ev.SetFleetSize(10)
	for i := range 40 {
		l.report(ev, at(i), key(fmt.Sprintf("job-%d", i%4), i), worker(i%10), Succeeded)
	}
	for round := range 12 {
		for i := range 40 {
			l.report(ev, at(60+60*round+i), key(fmt.Sprintf("job-%d", i%4), 100+i), worker((i+round)%10), Failed)
		}
	}
	if len(l.quarantines) != 0 || len(l.gaveUp) != 0 {
		t.Errorf("%d workers are not open, %d tasks were given up", len(l.quarantines), len(l.gaveUp))
	}
}

// Guards against half of the fleet being quarantined because of many failures in
// a short time.
func TestQuarantineIsBoundedToAPartOfTheFleet(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	ev.SetFleetSize(10)
	for i := range 5 {
		failWorker(t, ev, l, at(i), worker(i), i < 2)
	}
	for i := range 5 {
		if got, want := ev.State(at(10), worker(i)), Quarantined; (got == want) != (i < 2) {
			t.Errorf("%s is %s", worker(i), got)
		}
	}
}

// failWorker lets tasks fail on a worker and succeed elsewhere until the level of
// the worker rises. It checks whether the worker is then quarantined, or only on
// probation, and returns the verdict.
func failWorker(t *testing.T, ev *Evaluator, l *ledger, now time.Time, w model.WorkerID, quarantined bool) WorkerVerdict {
	t.Helper()
	level := l.quarantines[w].Level
	for i := range 8 {
		k := key("job", int(now.Unix())*10+i)
		l.report(ev, now, k, w, Failed)
		l.report(ev, now, k, "other", Succeeded)
		if l.quarantines[w].Level > level {
			break
		}
	}
	if got := ev.State(now, w) == Quarantined; got != quarantined {
		t.Fatalf("%s: quarantined %v, want %v", w, got, quarantined)
	}
	return l.quarantines[w]
}

// Guards against a worker getting all pending work at once after a quarantine,
// and failing it. It must get one task at a time, and each further quarantine
// must be longer.
func TestProbationAndGrowingLevels(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	ev.SetFleetSize(10)
	now := at(0)
	length := time.Duration(0)
	for level := range uint32(4) {
		v := failWorker(t, ev, l, now, "bad", true)
		if v.Level != level+1 || v.Until.Sub(now) <= length {
			t.Fatalf("level %d: %+v after %v", level+1, v, length)
		}
		length = v.Until.Sub(now)
		if ev.MayStart(v.Until.Add(-time.Second), "bad", 0) {
			t.Error("may start during quarantine")
		}
		if !ev.MayStart(v.Until, "bad", 0) || ev.MayStart(v.Until, "bad", 1) {
			t.Error("probation is not one task at a time")
		}
		// The failure of a task that was already running when the quarantine
		// began does not count after it.
		running := key("running", int(level))
		l.report(ev, now.Add(time.Second), running, "bad", Failed)
		now = v.Until
		l.report(ev, now, running, "other", Succeeded)
		// The failure of a task of an unknown workload has little weight, and
		// the evidence that led to the quarantine no longer counts.
		l.report(ev, now, key(fmt.Sprintf("new-%d", level), 0), "bad", Failed)
		if ev.State(now, "bad") != Probation {
			t.Error("quarantined again without new evidence")
		}
	}
	for i := range DefaultOptions().ProbationTasks {
		l.report(ev, now.Add(time.Second), key("good", i), "bad", Succeeded)
	}
	if ev.State(now.Add(time.Second), "bad") != Open {
		t.Error("not open after the tasks of the probation succeeded")
	}
	v := failWorker(t, ev, l, now.Add(time.Minute), "bad", true)
	if v.Level != 5 {
		t.Errorf("level after a clean minute: %d, want 5", v.Level)
	}
}

// Guards against good tasks being given up because they ran on bad workers.
func TestFailuresOnBadWorkersDoNotCount(t *testing.T) {
	ev, l := NewEvaluator(DefaultOptions()), newLedger()
	ev.SetFleetSize(20)
	failWorker(t, ev, l, at(0), "bad1", true)
	failWorker(t, ev, l, at(1), "bad2", true)
	o := Outcome{Task: key("good", 1), Attempt: 3, FailedWorkers: []model.WorkerID{"bad1", "bad2"}, Failures: 2}
	o.Worker = "bad1"
	if v := ev.Observe(at(100), o); v.Task.Blame != BlameWorker || v.Task.GaveUp != nil {
		t.Errorf("on a bad worker: %+v", v.Task)
	}
	o.Worker = "fine"
	if v := ev.Observe(at(101), o); v.Task.Blame != BlameUnclear || v.Task.GaveUp != nil {
		t.Errorf("on a third one: %+v", v.Task)
	}
}

// Guards against a quarantined worker getting tasks after the shard changed its
// owner.
func TestRestore(t *testing.T) {
	ev := NewEvaluator(DefaultOptions())
	ev.Restore("bad", at(100), 3)
	if ev.MayStart(at(99), "bad", 0) || ev.MayStart(at(101), "bad", 1) || !ev.MayStart(at(101), "bad", 0) {
		t.Error("the quarantine was not taken over")
	}
}

// Guards against tasks that failed together being retried together and without
// a growing delay.
func TestBackoffGrowsIsBoundedAndSpread(t *testing.T) {
	o := DefaultOptions()
	o.DistinctWorkers, o.MaxAttempts = 100, 100
	ev, l := NewEvaluator(o), newLedger()
	last := time.Duration(0)
	for i := range 12 {
		wait := l.report(ev, at(i), key("job", 1), "w", Failed).Task.NotBefore.Sub(at(i))
		if wait > o.MaxBackoff*5/4 || (i < 7 && wait <= last) {
			t.Errorf("failure %d waits %v after %v", i+1, wait, last)
		}
		last = wait
	}
	waits := map[time.Duration]bool{}
	for i := range 20 {
		waits[l.report(ev, at(100), key("other", i), worker(i), Failed).Task.NotBefore.Sub(at(100))] = true
	}
	if len(waits) < 15 {
		t.Errorf("20 tasks wait only %d different times", len(waits))
	}
}

// A task that exhausted its attempts is given up with that reason.
func TestAttemptsAreBounded(t *testing.T) {
	ev := NewEvaluator(DefaultOptions())
	v := ev.Observe(at(0), Outcome{Task: key("job", 1), Attempt: 2, Worker: "w", Failures: 1, MaxAttempts: 2})
	if v.Task.GaveUp == nil || v.Task.GaveUp.Reason != AttemptsExhausted || v.Task.GaveUp.Failures != 2 {
		t.Errorf("got %+v", v.Task)
	}
}

// Guards against a good task being given up, so that its job never completes,
// because the only worker with room fails every task. Failures on one worker
// must not be counted like failures on several.
func TestOneWorkerAloneDoesNotUseUpAttempts(t *testing.T) {
	ev := NewEvaluator(DefaultOptions())
	failed := Outcome{Task: key("job", 1), Attempt: 9, Worker: "w", Failures: 8}
	failed.FailedWorkers = []model.WorkerID{"w"}
	if v := ev.Observe(at(0), failed); v.Task.GaveUp != nil {
		t.Errorf("given up after failures on one worker: %v", v.Task.GaveUp)
	}
	failed.FailedWorkers = []model.WorkerID{"v", "w"}
	if v := ev.Observe(at(1), failed); v.Task.GaveUp == nil {
		t.Error("not given up after failures on two workers")
	}
}
