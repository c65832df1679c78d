package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// Evaluator weighs the outcomes of attempts. It is not safe for concurrent use.
type Evaluator struct {
	options   Options
	fleet     int
	workers   map[model.WorkerID]*record
	tasks     map[model.TaskKey]*history
	workloads map[string]*history
	prunedAt  time.Time
}

// NewEvaluator returns a judge without evidence.
func NewEvaluator(o Options) *Evaluator {
	return &Evaluator{
		options:   o,
		workers:   make(map[model.WorkerID]*record),
		tasks:     make(map[model.TaskKey]*history),
		workloads: make(map[string]*history),
	}
}

// SetFleetSize tells how many workers there are, for Options.MaxShare.
func (j *Evaluator) SetFleetSize(workers int) { j.fleet = workers }

// Restore takes over a quarantine from the ledger after a change of owner.
func (j *Evaluator) Restore(w model.WorkerID, until time.Time, level uint32) {
	r := j.worker(w)
	r.state, r.until, r.level = Quarantined, until, level
	r.strikesFrom = until
}

// Forget drops a worker that is gone for good. A worker that only restarts is
// kept: the fault may be in its machine.
func (j *Evaluator) Forget(w model.WorkerID) { delete(j.workers, w) }

// State returns what new work a worker may get at a time.
func (j *Evaluator) State(now time.Time, w model.WorkerID) State {
	r, ok := j.workers[w]
	if !ok {
		return Open
	}
	if r.state == Quarantined && !now.Before(r.until) {
		return Probation
	}
	return r.state
}

// MayStart reports whether a worker that has running tasks of any kind may get
// one more.
func (j *Evaluator) MayStart(now time.Time, w model.WorkerID, running int) bool {
	switch j.State(now, w) {
	case Quarantined:
		return false
	case Probation:
		return running == 0
	}
	return true
}

// Observe weighs one outcome.
func (j *Evaluator) Observe(now time.Time, o Outcome) Verdict {
	j.prune(now)
	r := j.worker(o.Worker)
	j.advance(now, r)
	if o.Result != Failed {
		return j.observeWorked(now, o, r)
	}
	r.fail(now, o.Task)
	h := j.task(o.Task)
	h.failed[o.Worker] = now
	h.streak++
	j.workload(o.Task.Workload).failed[o.Worker] = now
	var v Verdict
	v.Worker = j.weigh(now, o.Worker, r)
	v.Task = j.judgeTask(now, o)
	v.Others = j.reconsider(now, o)
	return v
}

func (j *Evaluator) observeWorked(now time.Time, o Outcome, r *record) Verdict {
	r.work(now, o.Task)
	h := j.task(o.Task)
	h.worked[o.Worker] = now
	delete(h.failed, o.Worker)
	h.streak = 0
	j.workload(o.Task.Workload).worked[o.Worker] = now
	var v Verdict
	if r.state == Probation {
		v.Worker = j.probe(now, o, r)
	}
	v.Others = j.reconsider(now, o)
	return v
}

// probe counts a task that worked during a probation, and ends the probation
// once enough distinct ones have.
func (j *Evaluator) probe(now time.Time, o Outcome, r *record) *WorkerVerdict {
	r.probed[o.Task] = struct{}{}
	if len(r.probed) < j.options.ProbationTasks {
		return nil
	}
	r.state, r.openSince = Open, now
	clear(r.probed)
	return &WorkerVerdict{Worker: o.Worker, State: Open, Level: r.level}
}

// advance moves a worker from quarantine to probation when its time is up, and
// lowers the level of one that has long been open.
func (j *Evaluator) advance(now time.Time, r *record) {
	if r.state == Quarantined && !now.Before(r.until) {
		r.state = Probation
		clear(r.probed)
	}
	for r.state == Open && r.level > 0 && now.Sub(r.openSince) >= j.options.LevelDecay {
		r.level--
		r.openSince = r.openSince.Add(j.options.LevelDecay)
	}
}

// reconsider weighs again the other workers on which the task of an outcome
// failed: what it did here is evidence for or against them.
func (j *Evaluator) reconsider(now time.Time, o Outcome) []WorkerVerdict {
	var changed []WorkerVerdict
	for _, w := range slices.Sorted(maps.Keys(j.task(o.Task).failed)) {
		if w == o.Worker {
			continue
		}
		r := j.worker(w)
		j.advance(now, r)
		if v := j.weigh(now, w, r); v != nil {
			changed = append(changed, *v)
		}
	}
	return changed
}

// weigh quarantines a worker when the evidence against it suffices, and puts
// it on probation when it would but for the proof.
func (j *Evaluator) weigh(now time.Time, w model.WorkerID, r *record) *WorkerVerdict {
	if r.state == Quarantined || j.commonCause(now) {
		return nil
	}
	threshold := j.options.EvidenceThreshold
	if r.state == Probation {
		threshold = j.options.ProbationThreshold
	}
	e := j.against(w, r)
	strikes := e.strikes(threshold)
	if strikes >= threshold && j.large(strikes, r) {
		return j.close(now, w, r)
	}
	return j.weighUnproven(now, w, r, e)
}

// weighUnproven puts an open worker on probation on evidence without proof,
// and lifts that probation when the evidence has turned against the tasks.
func (j *Evaluator) weighUnproven(now time.Time, w model.WorkerID, r *record, e evidence) *WorkerVerdict {
	doubted := e.unproven >= j.options.EvidenceThreshold && j.large(e.unproven, r)
	switch {
	case r.state == Open && doubted:
		r.state = Probation
		clear(r.probed)
	case r.state == Probation && r.level == 0 && e.proven == 0 && !doubted:
		r.state, r.openSince = Open, now
	default:
		return nil
	}
	return &WorkerVerdict{Worker: w, State: r.state, Level: r.level}
}

// close quarantines a worker, or puts it on probation when too many are
// quarantined already.
func (j *Evaluator) close(now time.Time, w model.WorkerID, r *record) *WorkerVerdict {
	r.level++
	r.failures = r.failures[:0]
	clear(r.probed)
	if j.tooMany(now) {
		r.state, r.strikesFrom = Probation, now
		return &WorkerVerdict{Worker: w, State: Probation, Level: r.level}
	}
	r.state = Quarantined
	r.until = now.Add(j.length(r.level))
	r.strikesFrom = r.until
	return &WorkerVerdict{Worker: w, State: Quarantined, Until: r.until, Level: r.level}
}

func (j *Evaluator) length(level uint32) time.Duration {
	length := float64(j.options.BaseDuration) * math.Pow(2, float64(level-1))
	return time.Duration(min(length, float64(j.options.MaxDuration)))
}

func (j *Evaluator) tooMany(now time.Time) bool {
	quarantined := 0
	for w := range j.workers {
		if j.State(now, w) == Quarantined {
			quarantined++
		}
	}
	fleet := max(j.fleet, len(j.workers))
	return quarantined+1 > max(1, int(float64(fleet)*j.options.MaxShare))
}

func (j *Evaluator) worker(w model.WorkerID) *record { return ensure(j.workers, w, newRecord) }

func (j *Evaluator) task(key model.TaskKey) *history { return ensure(j.tasks, key, newHistory) }

func (j *Evaluator) workload(name string) *history { return ensure(j.workloads, name, newHistory) }

func ensure[K comparable, V any](m map[K]*V, key K, create func() *V) *V {
	v, ok := m[key]
	if !ok {
		v = create()
		m[key] = v
	}
	return v
}

// pruneEvery is how often old evidence is dropped.
const pruneEvery = time.Minute

func (j *Evaluator) prune(now time.Time) {
	if now.Sub(j.prunedAt) < pruneEvery {
		return
	}
	j.prunedAt = now
	horizon := now.Add(-j.options.Window)
	for _, r := range j.workers {
		r.prune(horizon)
	}
	pruneHistories(j.tasks, horizon)
	pruneHistories(j.workloads, horizon)
}

func pruneHistories[K comparable](histories map[K]*history, horizon time.Time) {
	for key, h := range histories {
		h.prune(horizon)
		if h.empty() {
			delete(histories, key)
		}
	}
}

// jitter returns a number from 0 to 1 that depends on the attempt alone, so
// that tasks that failed together do not return together.
func jitter(o Outcome) float64 {
	key := model.AttemptKey{Task: o.Task, Attempt: o.Attempt}
	return float64(xxhash.Sum64String(key.String())>>11) / (1 << 53)
}
