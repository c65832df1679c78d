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

// strikes returns the weight of the evidence against a worker.
func (j *Judge) strikes(w model.WorkerID, r *record) float64 {
	sum := 0.0
	unproven := make(map[string]float64)
	for _, f := range r.failures {
		if f.at.Before(r.strikesFrom) {
			continue
		}
		weight, limit := j.strike(w, f)
		if limit == 0 {
			sum += weight
			continue
		}
		before := unproven[f.task.Workload]
		after := max(before, min(limit, before+weight))
		unproven[f.task.Workload] = after
		sum += after - before
	}
	return sum
}

// strike returns the weight of one failure, and the most that its workload can
// add by such failures (0: no bound).
func (j *Judge) strike(w model.WorkerID, f taskFailure) (weight, limit float64) {
	task := j.tasks[f.task]
	if task.workedElsewhere(w, f.at) {
		return provenWeight, 0
	}
	if task != nil && j.failedOnTrusted(task, w) {
		return 0, 0
	}
	if j.workloads[f.task.Workload].workedElsewhere(w, time.Time{}) {
		return siblingWeight, maxSiblingWeight
	}
	return unknownWeight, maxUnknownWeight
}

// failedOnTrusted reports whether a task failed on another worker that is
// itself not known to be bad.
func (j *Judge) failedOnTrusted(task *history, than model.WorkerID) bool {
	for w := range task.failed {
		if w != than && !j.knownBad(w) {
			return true
		}
	}
	return false
}

func (j *Judge) knownBad(w model.WorkerID) bool {
	r, ok := j.workers[w]
	return ok && r.state != Open
}

// large reports whether strikes are a large enough part of what ran on a
// worker since they count.
func (j *Judge) large(strikes float64, r *record) bool {
	worked := 0
	for _, at := range r.worked {
		if !at.Before(r.strikesFrom) {
			worked++
		}
	}
	return strikes >= j.options.FailShare*(strikes+float64(worked))
}

// suspectShare is the part of Strikes from which a worker is under suspicion:
// its failures no longer count against tasks.
const suspectShare = 0.5

// suspect reports whether a worker is quarantined, on probation or on its way
// there.
func (j *Judge) suspect(w model.WorkerID) bool {
	r, ok := j.workers[w]
	if !ok {
		return false
	}
	if r.state != Open {
		return true
	}
	strikes := j.strikes(w, r)
	return strikes >= suspectShare*j.options.Strikes && j.large(strikes, r)
}

// commonCause reports whether most of the workers that had an outcome lately
// had a failure as their latest, over more than one workload. Then the cause
// is a service that all tasks need, not the tasks or the workers; blaming
// either would end every job or close every worker.
func (j *Judge) commonCause(now time.Time) bool {
	horizon := now.Add(-j.options.CommonWindow)
	active, failing := 0, 0
	for _, r := range j.workers {
		if r.latestAt.Before(horizon) {
			continue
		}
		active++
		if r.latestFailed {
			failing++
		}
	}
	if active < j.options.CommonWorkers || float64(failing) < j.options.CommonShare*float64(active) {
		return false
	}
	return j.failingWorkloads(horizon) > 1
}

// failingWorkloads counts the workloads that failed somewhere since horizon
// and worked nowhere since.
func (j *Judge) failingWorkloads(horizon time.Time) int {
	n := 0
	for _, h := range j.workloads {
		if latest(h.failed).After(horizon) && latest(h.worked).Before(latest(h.failed)) {
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
