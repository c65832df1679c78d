package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// Evaluator evaluates the outcomes of attempts and keeps the state of workers.
// It is not safe for concurrent use.
type Evaluator struct {
	options   Options
	fleetSize int
	workers   map[model.WorkerID]*workerRecord
	tasks     map[model.TaskKey]*history
	workloads map[string]*history
	prunedAt  time.Time
}

// NewEvaluator returns an evaluator without evidence.
func NewEvaluator(o Options) *Evaluator {
	return &Evaluator{
		options:   o,
		workers:   make(map[model.WorkerID]*workerRecord),
		tasks:     make(map[model.TaskKey]*history),
		workloads: make(map[string]*history),
	}
}

// SetFleetSize sets the number of workers to which Options.MaxShare applies.
func (ev *Evaluator) SetFleetSize(workers int) { ev.fleetSize = workers }

// Restore sets a quarantine from the ledger after the shard changed its owner.
func (ev *Evaluator) Restore(w model.WorkerID, until time.Time, level uint32) {
	r := ev.worker(w)
	r.state, r.until, r.level = Quarantined, until, level
	r.evidenceFrom = until
}

// Forget deletes the evidence about a worker that is gone for good. It must not
// be called for a worker that only restarts, because the fault may be in its
// machine.
func (ev *Evaluator) Forget(w model.WorkerID) { delete(ev.workers, w) }

// State returns the state of a worker at a time. An unknown worker is open.
func (ev *Evaluator) State(now time.Time, w model.WorkerID) State {
	r, ok := ev.workers[w]
	if !ok {
		return Open
	}
	if r.state == Quarantined && !now.Before(r.until) {
		return Probation
	}
	return r.state
}

// MayStart reports whether a worker may get another task when it already has
// the given number of running tasks of any kind.
func (ev *Evaluator) MayStart(now time.Time, w model.WorkerID, running int) bool {
	switch ev.State(now, w) {
	case Quarantined:
		return false
	case Probation:
		return running == 0
	}
	return true
}

// Observe evaluates one outcome and returns what follows for its task, its worker
// and other workers.
func (ev *Evaluator) Observe(now time.Time, o Outcome) Verdict {
	ev.prune(now)
	r := ev.worker(o.Worker)
	ev.updateState(now, r)
	if o.Result != Failed {
		return ev.observeSuccess(now, o, r)
	}
	r.recordFailure(now, o.Task)
	h := ev.task(o.Task)
	h.failed[o.Worker] = now
	h.consecutiveFailures++
	ev.workload(o.Task.Workload).failed[o.Worker] = now
	var v Verdict
	v.Worker = ev.evaluateWorker(now, o.Worker, r)
	v.Task = ev.evaluateTask(now, o)
	v.Others = ev.reevaluateOthers(now, o)
	return v
}

func (ev *Evaluator) observeSuccess(now time.Time, o Outcome, r *workerRecord) Verdict {
	r.recordSuccess(now, o.Task)
	h := ev.task(o.Task)
	h.succeeded[o.Worker] = now
	delete(h.failed, o.Worker)
	h.consecutiveFailures = 0
	ev.workload(o.Task.Workload).succeeded[o.Worker] = now
	var v Verdict
	if r.state == Probation {
		v.Worker = ev.countProbationTask(now, o, r)
	}
	v.Others = ev.reevaluateOthers(now, o)
	return v
}

// countProbationTask counts a task that succeeded during a probation, and ends
// the probation when enough distinct tasks have.
func (ev *Evaluator) countProbationTask(now time.Time, o Outcome, r *workerRecord) *WorkerVerdict {
	r.probationTasks[o.Task] = struct{}{}
	if len(r.probationTasks) < ev.options.ProbationTasks {
		return nil
	}
	r.state, r.openSince = Open, now
	clear(r.probationTasks)
	return &WorkerVerdict{Worker: o.Worker, State: Open, Level: r.level}
}

// updateState moves a worker whose quarantine has expired to probation, and
// lowers the level of an open worker by one for each Options.LevelDecay.
func (ev *Evaluator) updateState(now time.Time, r *workerRecord) {
	if r.state == Quarantined && !now.Before(r.until) {
		r.state = Probation
		clear(r.probationTasks)
	}
	for r.state == Open && r.level > 0 && now.Sub(r.openSince) >= ev.options.LevelDecay {
		r.level--
		r.openSince = r.openSince.Add(ev.options.LevelDecay)
	}
}

// reevaluateOthers evaluates the other workers on which the task of an outcome
// failed, because the outcome changes the evidence against them. It returns the
// workers whose state changed.
func (ev *Evaluator) reevaluateOthers(now time.Time, o Outcome) []WorkerVerdict {
	var changed []WorkerVerdict
	for _, w := range slices.Sorted(maps.Keys(ev.task(o.Task).failed)) {
		if w == o.Worker {
			continue
		}
		r := ev.worker(w)
		ev.updateState(now, r)
		if v := ev.evaluateWorker(now, w, r); v != nil {
			changed = append(changed, *v)
		}
	}
	return changed
}

// evaluateWorker quarantines a worker if the evidence against it is sufficient,
// and puts it on probation if the evidence would be sufficient but is not
// proven. It returns nil if the state does not change.
func (ev *Evaluator) evaluateWorker(now time.Time, w model.WorkerID, r *workerRecord) *WorkerVerdict {
	if r.state == Quarantined || ev.commonCause(now) {
		return nil
	}
	threshold := ev.options.EvidenceThreshold
	if r.state == Probation {
		threshold = ev.options.ProbationThreshold
	}
	e := ev.evidenceAgainst(w, r)
	weight := e.weight(threshold)
	if weight >= threshold && ev.isSignificant(weight, r) {
		return ev.quarantine(now, w, r)
	}
	return ev.evaluateUnproven(now, w, r, e)
}

// evaluateUnproven puts an open worker on probation if there is enough unproven
// evidence against it. It ends such a probation when the evidence is no longer
// sufficient, for example because the tasks failed on other workers too.
func (ev *Evaluator) evaluateUnproven(now time.Time, w model.WorkerID, r *workerRecord, e evidence) *WorkerVerdict {
	suspected := e.unproven >= ev.options.EvidenceThreshold && ev.isSignificant(e.unproven, r)
	switch {
	case r.state == Open && suspected:
		r.state = Probation
		clear(r.probationTasks)
	case r.state == Probation && r.level == 0 && e.proven == 0 && !suspected:
		r.state, r.openSince = Open, now
	default:
		return nil
	}
	return &WorkerVerdict{Worker: w, State: r.state, Level: r.level}
}

// quarantine quarantines a worker one level higher than before. It puts the
// worker on probation instead if the share of quarantined workers is at its
// limit.
func (ev *Evaluator) quarantine(now time.Time, w model.WorkerID, r *workerRecord) *WorkerVerdict {
	r.level++
	r.failures = r.failures[:0]
	clear(r.probationTasks)
	if ev.atQuarantineLimit(now) {
		r.state, r.evidenceFrom = Probation, now
		return &WorkerVerdict{Worker: w, State: Probation, Level: r.level}
	}
	r.state = Quarantined
	r.until = now.Add(ev.quarantineDuration(r.level))
	r.evidenceFrom = r.until
	return &WorkerVerdict{Worker: w, State: Quarantined, Until: r.until, Level: r.level}
}

func (ev *Evaluator) quarantineDuration(level uint32) time.Duration {
	duration := float64(ev.options.BaseDuration) * math.Pow(2, float64(level-1))
	return time.Duration(min(duration, float64(ev.options.MaxDuration)))
}

func (ev *Evaluator) atQuarantineLimit(now time.Time) bool {
	quarantined := 0
	for w := range ev.workers {
		if ev.State(now, w) == Quarantined {
			quarantined++
		}
	}
	fleet := max(ev.fleetSize, len(ev.workers))
	return quarantined+1 > max(1, int(float64(fleet)*ev.options.MaxShare))
}

func (ev *Evaluator) worker(w model.WorkerID) *workerRecord {
	return ensure(ev.workers, w, newWorkerRecord)
}

func (ev *Evaluator) task(key model.TaskKey) *history { return ensure(ev.tasks, key, newHistory) }

func (ev *Evaluator) workload(name string) *history { return ensure(ev.workloads, name, newHistory) }

func ensure[K comparable, V any](m map[K]*V, key K, create func() *V) *V {
	v, ok := m[key]
	if !ok {
		v = create()
		m[key] = v
	}
	return v
}

// pruneInterval is the interval at which old evidence is deleted.
const pruneInterval = time.Minute

func (ev *Evaluator) prune(now time.Time) {
	if now.Sub(ev.prunedAt) < pruneInterval {
		return
	}
	ev.prunedAt = now
	horizon := now.Add(-ev.options.Window)
	for _, r := range ev.workers {
		r.prune(horizon)
	}
	pruneHistories(ev.tasks, horizon)
	pruneHistories(ev.workloads, horizon)
}

func pruneHistories[K comparable](histories map[K]*history, horizon time.Time) {
	for key, h := range histories {
		h.prune(horizon)
		if h.empty() {
			delete(histories, key)
		}
	}
}

// jitter returns a number from 0 up to 1 that depends only on the attempt. It
// spreads the retries of tasks that failed at the same time.
func jitter(o Outcome) float64 {
	key := model.AttemptKey{Task: o.Task, Attempt: o.Attempt}
	return float64(xxhash.Sum64String(key.String())>>11) / (1 << 53)
}
