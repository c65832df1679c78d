package jobsched

import (
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobforecast"
	"github.com/guavarill/guavarill/core/joborder"
)

// measureDemand measures what the attempts of the queues hold and which of their steps
// wait for workers.
func (m *Machine) measureDemand() {
	for _, qf := range m.forecaster.queues {
		qf.demand, qf.longestWait = jobforecast.Demand{}, 0
		qf.waitsForCommitted, qf.waitsForBestEffort = false, false
	}
	for _, w := range m.workers.All() {
		for _, a := range w.attempts.All() {
			if s := a.step(); s != nil && !a.longRunning {
				m.queueForecast(m.queue(s.job())).demand.Held += float64(s.spec.Size.MilliCPU)
			}
		}
	}
	for s := range m.pending.All() {
		if s.ready() {
			m.measureWaitingStep(s)
		}
	}
}

// measureWaitingStep adds the step's tasks that wait for a worker to the demand of its
// queue.
func (m *Machine) measureWaitingStep(s *step) {
	idle := 0
	for _, t := range s.tasks {
		if t.idle() {
			idle++
		}
	}
	if idle == 0 {
		return
	}
	qf := m.queueForecast(m.queue(s.job()))
	waits := !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= roomEvidenceTime
	if s.spec.LongRunning {
		if waits {
			qf.longestWait = max(qf.longestWait, m.now.Sub(s.waitingSince))
			qf.evidenceAt = m.now
		}
		return
	}
	work := float64(idle) * s.spec.TaskWork()
	switch m.lateness(s.occurrence) {
	case joborder.InTime:
		qf.demand.Ahead += work
		qf.demand.AheadOfUse += work
	case joborder.Late:
		qf.demand.AheadOfUse += work
	}
	if waits && isUnconstrained(s.spec, qf.queue) {
		qf.demand.Waiting = jobforecast.AddSmallest(qf.demand.Waiting, jobforecast.KindOf(s.spec))
		qf.evidenceAt = m.now
		qf.waitsForBestEffort = qf.waitsForBestEffort || s.spec.BestEffort
		qf.waitsForCommitted = qf.waitsForCommitted || !s.spec.BestEffort
	}
}

// isUnconstrained reports whether only the lack of room can keep the step's tasks from
// any worker, so that larger tasks find none either.
func isUnconstrained(s *job.Step, q *job.Queue) bool {
	return !s.Gang && s.Label == "" && s.MaxPerWorker == 0 && !q.Advised
}

// measureFree counts the workers by what is free there, for the kinds of tasks of the
// queue that wait.
func (m *Machine) measureFree(qf *queueForecast) {
	if !qf.waitsForCommitted && !qf.waitsForBestEffort {
		return
	}
	for _, w := range m.workers.All() {
		if w.entry.Service != qf.queue.Service || !w.isUsable(m.now) || m.isCordoned(w) {
			continue
		}
		if qf.waitsForCommitted {
			qf.demand.Free.Add(w.room().MilliCPU + m.preemptible(w, qf.queue))
		}
		if qf.waitsForBestEffort {
			qf.demand.FreeBestEffort.Add(w.freeCPU())
		}
	}
}

// preemptible returns the processor capacity on a worker, in thousandths of a core, that
// is committed to tasks of less urgent queues.
func (m *Machine) preemptible(w *worker, q *job.Queue) int64 {
	sum := int64(0)
	for _, a := range w.attempts.All() {
		if s := a.step(); s != nil && !a.longRunning && m.queue(s.job()).Priority > q.Priority {
			sum += a.size.MilliCPU
		}
	}
	return sum
}

// forecastLongRunning returns the forecast for the long-running jobs of a queue, nil
// unless their tasks have waited for longer than such a job may.
func (m *Machine) forecastLongRunning(qf *queueForecast) *jobforecast.LongRunning {
	if waitMs := qf.longestWait.Milliseconds(); waitMs > 0 && waitMs >= qf.queue.LatencyTargetMs {
		return &jobforecast.LongRunning{Room: m.longRunningRoom(qf.queue.Service), WaitMs: waitMs}
	}
	return nil
}
