package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/interference"
)

// DefaultLearnBudget is the number of readings from which a step may learn on a leader
// with a whole core: two thousandths of a second.
//
// Without the bound, a leader with a thousand workers learns from their reports in most of
// its time, and the longer its steps take the more reports wait at the next one. Ends,
// answers to starts and outcomes of commits wait among them, so that a job with little
// time to spare ends late. Readings that are not learned from are replaced by the next.
const DefaultLearnBudget = 300

// learnInterval is the least time between two reports of a worker whose readings are
// learned from. Readings cover half a second: sooner ones tell mostly the same again, and
// would count as evidence of their own.
const learnInterval = 400 * time.Millisecond

// learnFromReadings learns from the latest readings of workers, those first that have
// waited longest, until the step's budget is used up.
func (m *Machine) learnFromReadings() {
	left := m.options.LearnBudget
	for w := range m.unlearned.All() {
		if left <= 0 {
			return
		}
		m.unlearned.Delete(w)
		left -= max(w.servingTasks, 1)
		if !w.ended && m.now.Sub(w.lastReportAt) < maxReadingAge {
			m.learnFromWorker(w)
		}
	}
}

// learnFromWorker passes the readings of a worker's last report to the learner.
func (m *Machine) learnFromWorker(w *worker) {
	if w.maybeSlow(m.now) {
		// The work beside its serving tasks would be blamed for the worker.
		return
	}
	m.begin(PartLearning)
	w.learnedAt = m.now
	for _, a := range w.attempts.All() {
		if !a.serving() || a.learnKey.Generation == 0 || !a.readAt.Equal(w.lastReportAt) {
			continue
		}
		calm := m.baselineReading(a.step())
		if calm == 0 {
			continue
		}
		m.learner.Observe(m.now, interference.Observation{
			Worker: w.learnID(), Victim: a.learnKey, Class: a.step().spec.Image, MeasuredAt: a.readAt.Add(-readingDelay),
			Slowdown: max(float64(a.reading)/calm, 1),
		})
	}
}
