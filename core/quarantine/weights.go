package quarantine

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// The weights of the failure of a task as evidence against its worker. Each
// task counts once.
const (
	// provenWeight applies if the same task later succeeded elsewhere.
	provenWeight = 1.0
	// siblingWeight applies if other tasks of its workload succeeded elsewhere.
	siblingWeight = 0.5
	// unknownWeight applies if nothing is known about its workload yet.
	unknownWeight = 0.5
	// maxSiblingWeight and maxUnknownWeight limit the unproven weight that one
	// workload adds. Otherwise a release that breaks a whole workload would
	// quarantine every worker that runs one of its tasks.
	maxSiblingWeight = 1.5
	maxUnknownWeight = 0.5
)

// evidence is the evidence against a worker.
type evidence struct {
	// proven is the weight of tasks that later succeeded elsewhere. unproven is
	// the weight of the other tasks.
	proven, unproven float64
}

// weight returns the total weight to compare with a threshold. Unproven evidence
// alone stays below the threshold: bad tasks that happen to run on one worker
// look the same as a bad worker until they are retried elsewhere.
func (e evidence) weight(threshold float64) float64 {
	return e.proven + min(e.unproven, maxUnprovenShare*threshold)
}

// maxUnprovenShare is the share of a threshold that unproven evidence can reach.
const maxUnprovenShare = 2.0 / 3

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

// failureWeight returns the weight of one failure as evidence against its worker,
// and the largest weight that such failures of its workload can add in total. A
// limit of 0 means that the failure is proven and its weight is not limited. A
// task that failed on another trusted worker too has no weight.
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

// failedOnTrusted reports whether a task failed on another worker that was not
// quarantined recently.
func (ev *Evaluator) failedOnTrusted(task *history, than model.WorkerID) bool {
	for w := range task.failed {
		if w != than && !ev.recentlyQuarantined(w) {
			return true
		}
	}
	return false
}

// recentlyQuarantined reports whether a worker is quarantined, or was and its
// level has not fallen back to 0.
func (ev *Evaluator) recentlyQuarantined(w model.WorkerID) bool {
	r, ok := ev.workers[w]
	return ok && (r.state == Quarantined || r.level > 0)
}

// isSignificant reports whether the weight of the evidence is at least
// Options.MinFailureShare of the sum of that weight and the tasks that succeeded
// on the worker in the same period.
func (ev *Evaluator) isSignificant(weight float64, r *workerRecord) bool {
	succeeded := 0
	for _, at := range r.succeeded {
		if !at.Before(r.evidenceFrom) {
			succeeded++
		}
	}
	return weight >= ev.options.MinFailureShare*(weight+float64(succeeded))
}

// suspicionShare is the share of Options.EvidenceThreshold from which on a worker
// is suspect.
const suspicionShare = 0.5

// isSuspect reports whether a worker is quarantined, on probation after a
// quarantine, or close to a quarantine. Failures on a suspect worker are not
// counted against tasks. Being close to a quarantine requires some proven
// evidence; otherwise a bad task would make each of its workers suspect and
// would never be blamed.
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

// commonCause reports whether the latest outcome of most recently active workers
// is a failure, and more than one workload fails. The assumed cause is then a
// service that all tasks depend on. Blaming the tasks would end every job, and
// blaming the workers would quarantine every worker.
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

// failingWorkloads returns the number of workloads that failed after horizon and
// have not succeeded on any worker since.
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
