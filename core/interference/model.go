package interference

import (
	"maps"
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// NumLoadBuckets is the number of ranges of load that have terms of their own.
const NumLoadBuckets = 4

// LoadBucket returns the bucket of a load between 0 (idle) and 1 (full).
func LoadBucket(load float64) int {
	bucket := int(load * NumLoadBuckets)
	return min(max(bucket, 0), NumLoadBuckets-1)
}

// Estimate is a predicted effect: the slowdown above 1 that one unthrottled
// aggressor adds to a victim, and the standard deviation of the prediction.
type Estimate struct {
	Mean, Std float64
}

// Upper returns the mean plus z standard deviations, or 0 if that is negative.
func (e Estimate) Upper(z float64) float64 {
	return math.Max(0, e.Mean+z*e.Std)
}

type pairKey struct {
	victim, aggressor string
}

type bucketKey struct {
	pairKey
	bucket int
}

// Model learns slowdowns. See the package comment.
type Model struct {
	options   Options
	residency *Residency
	classes   map[string]*term
	pairs     map[pairKey]*term
	buckets   map[bucketKey]*term
	workloads map[string]*term
	intensity map[model.TaskKey]*term
	variances *variances
	version   uint64
	// aggressors holds those of the last measurement, so that the next one reuses it.
	aggressors []Resident
}

// New returns a model without observations, which predicts its priors.
func New(o Options) *Model {
	return &Model{
		options:   o,
		residency: NewResidency(o.Retain),
		classes:   make(map[string]*term),
		pairs:     make(map[pairKey]*term),
		buckets:   make(map[bucketKey]*term),
		workloads: make(map[string]*term),
		intensity: make(map[model.TaskKey]*term),
		variances: newVariances(o.IntensityStd),
	}
}

// TaskStarted records that a task runs unthrottled on a worker from now on.
func (m *Model) TaskStarted(now time.Time, w model.WorkerID, key model.TaskKey, class string) {
	m.residency.TaskStarted(now, w, key, class)
}

// TaskThrottled records the share of a task's effect that counts from now on, as
// in Resident.Share.
func (m *Model) TaskThrottled(now time.Time, w model.WorkerID, key model.TaskKey, share float64) {
	m.residency.TaskThrottled(now, w, key, share)
}

// TaskStopped records that a task is no longer on a worker.
func (m *Model) TaskStopped(now time.Time, w model.WorkerID, key model.TaskKey) {
	m.residency.TaskStopped(now, w, key)
	delete(m.intensity, key)
}

// DropWorker drops the residency of a worker that is gone.
func (m *Model) DropWorker(w model.WorkerID) { m.residency.DropWorker(w) }

// ForgetWorkload drops the terms of a workload that is retired. The terms of its
// class, which have learned from it, stay.
func (m *Model) ForgetWorkload(workload string) {
	delete(m.workloads, workload)
	delete(m.variances.workloads, workload)
}

// ForgetClass drops the terms of a class that no task has any more, and those of its pairs.
func (m *Model) ForgetClass(class string) {
	m.ForgetWorkload(class)
	delete(m.classes, class)
	m.variances.forgetClass(class)
	maps.DeleteFunc(m.pairs, func(pair pairKey, _ *term) bool { return pair.has(class) })
	maps.DeleteFunc(m.buckets, func(bucket bucketKey, _ *term) bool { return bucket.has(class) })
	m.version++
}

func (p pairKey) has(class string) bool { return p.victim == class || p.aggressor == class }

// Version returns a number that grows whenever predictions may have changed, so
// that callers can cache predictions.
func (m *Model) Version() uint64 { return m.version }
