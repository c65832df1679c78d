package quarantine

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// The weights of a distinct task's failure as evidence against its worker.
const (
	// provenWeight: the same task later worked elsewhere.
	provenWeight = 1.0
	// siblingWeight: tasks of its workload work elsewhere.
	siblingWeight = 0.5
	// unknownWeight: nothing is known of its workload yet.
	unknownWeight = 0.5
	// maxSiblingWeight and maxUnknownWeight bound what one workload can add
	// without proof. A release that breaks a whole workload would otherwise
	// quarantine every worker that its tasks reach.
	maxSiblingWeight = 1.5
	maxUnknownWeight = 0.5
)

// evidence is what speaks against a worker.
type evidence struct {
	// proven is the weight of tasks that later worked elsewhere, unproven that
	// of tasks of which no more is known than that others like them work.
	proven, unproven float64
}

// weight returns the weight that may close a worker. Without proof it stays
// short of the threshold: bad tasks that happened to be dealt to one worker
// look just like a bad worker until they are tried elsewhere.
func (e evidence) weight(threshold float64) float64 {
	return e.proven + min(e.unproven, maxUnprovenShare*threshold)
}

// maxUnprovenShare is the part of a threshold that needs no proof.
const maxUnprovenShare = 2.0 / 3

// evidenceAgainst gathers the evidence evidenceAgainst a worker.
func (ev *Evaluator) evidenceAgainst(w model.WorkerID, r *workerRecord) evidence {
	var e evidence
	byWorkload := make(map[string]float64)
	for _, f := range r.failures {
		if f.at.Before(r.evidenceFrom) {
			continue
		}
		weight, limit := ev.failureWeight(w, f)
		if limit == 0 {
			e.proven += weight
			continue
		}
		before := byWorkload[f.task.Workload]
		after := max(before, min(limit, before+weight))
		byWorkload[f.task.Workload] = after
		e.unproven += after - before
	}
	return e
}

// failureWeight returns the weight of one failure, and the most that its workload can
// add by such failures (0: no bound).
func (ev *Evaluator) failureWeight(w model.WorkerID, f taskFailure) (weight, limit float64) {
	task := ev.tasks[f.task]
	if task.succeededElsewhere(w, f.at) {
		return provenWeight, 0
	}
	if task != nil && ev.failedOnTrusted(task, w) {
		return 0, 0
	}
	if ev.workloads[f.task.Workload].succeededElsewhere(w, time.Time{}) {
		return siblingWeight, maxSiblingWeight
	}
	return unknownWeight, maxUnknownWeight
}

// failedOnTrusted reports whether a task failed on another worker that is not
// itself known to be bad.
func (ev *Evaluator) failedOnTrusted(task *history, than model.WorkerID) bool {
	for w := range task.failed {
		if w != than && !ev.recentlyQuarantined(w) {
			return true
		}
	}
	return false
}

// recentlyQuarantined reports whether a worker was quarantined not long ago.
func (ev *Evaluator) recentlyQuarantined(w model.WorkerID) bool {
	r, ok := ev.workers[w]
	return ok && (r.state == Quarantined || r.level > 0)
}

// isSignificant reports whether strikes are a isSignificant enough part of what ran on a
// worker since they count.
func (ev *Evaluator) isSignificant(weight float64, r *workerRecord) bool {
	succeeded := 0
	for _, at := range r.succeeded {
		if !at.Before(r.evidenceFrom) {
			succeeded++
		}
	}
	return weight >= ev.options.MinFailureShare*(weight+float64(succeeded))
}

// suspicionShare is the part of Strikes from which a worker is under suspicion.
const suspicionShare = 0.5

// isSuspect reports whether a worker is quarantined or on its way there, so that
// failures on it do not count against tasks. Proof is needed for that: a task
// that makes its workers look bad would otherwise never be blamed.
func (ev *Evaluator) isSuspect(w model.WorkerID) bool {
	r, ok := ev.workers[w]
	if !ok {
		return false
	}
	if r.state != Open && r.level > 0 {
		return true
	}
	e := ev.evidenceAgainst(w, r)
	weight := e.weight(ev.options.EvidenceThreshold)
	return e.proven > 0 && weight >= suspicionShare*ev.options.EvidenceThreshold && ev.isSignificant(weight, r)
}

// commonCause reports whether most of the workers that had an outcome lately
// had a failure as their latest, over more than one workload. Then the cause
// is a service that all tasks need, not the tasks or the workers; blaming
// either would end every job or close every worker.
func (ev *Evaluator) commonCause(now time.Time) bool {
	horizon := now.Add(-ev.options.CommonWindow)
	active, failing := 0, 0
	for _, r := range ev.workers {
		if r.latestAt.Before(horizon) {
			continue
		}
		active++
		if r.latestFailed {
			failing++
		}
	}
	if active < ev.options.CommonWorkers || float64(failing) < ev.options.CommonShare*float64(active) {
		return false
	}
	return ev.failingWorkloads(horizon) > 1
}

// failingWorkloads counts the workloads that failed somewhere since horizon
// and worked nowhere since.
func (ev *Evaluator) failingWorkloads(horizon time.Time) int {
	n := 0
	for _, h := range ev.workloads {
		if latest(h.failed).After(horizon) && latest(h.succeeded).Before(latest(h.failed)) {
			n++
		}
	}
	return n
}

func latest(times map[model.WorkerID]time.Time) time.Time {
	var newest time.Time
	for _, at := range times {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}
