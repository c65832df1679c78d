package jobsched

import (
	"slices"
	"time"
)

// Several workers may end at once because of a rack, a zone or a power supply. Then
// hundreds of tasks lose their workers in the same moment, none of them the cause. If
// each of these ends counted as if a task of the worker had caused it, all of them
// would be tried after one another; this shows as tasks that stand still beside free
// workers, "wait to be tried".

const (
	// massCrashWindow is the period in which crashes of several workers count as
	// one event. massCrashWorkers is the number of other workers that it takes.
	massCrashWindow  = time.Second
	massCrashWorkers = 3
	// crashRetention is how long a lost worker is kept for detecting mass crashes.
	// Workers that crashed together come back within some seconds of each other.
	crashRetention = 15 * time.Second
)

// lostWorker is a worker that has crashed, or whose attempts were declared lost.
type lostWorker struct {
	worker *worker
	at     time.Time
	// steps holds the steps with attempts on the worker.
	steps map[*step]struct{}
	// sharedTrial is whether several tasks were on isolated trial there.
	sharedTrial bool
}

// recordLostWorker records that a worker is lost, with the steps that ran there. It is
// called before its attempts are dropped.
func (m *Machine) recordLostWorker(w *worker) {
	m.lostWorkers = slices.DeleteFunc(m.lostWorkers, func(l lostWorker) bool {
		return m.now.Sub(l.at) > crashRetention
	})
	i := slices.IndexFunc(m.lostWorkers, func(l lostWorker) bool { return l.worker == w })
	if i < 0 {
		i = len(m.lostWorkers)
		m.lostWorkers = append(m.lostWorkers, lostWorker{worker: w, steps: make(map[*step]struct{})})
	}
	m.lostWorkers[i].at = m.now
	m.lostWorkers[i].sharedTrial = m.lostWorkers[i].sharedTrial || w.countIsolatedTrials() > 1
	for _, a := range w.attempts.All() {
		m.lostWorkers[i].steps[a.step()] = struct{}{}
	}
}

// isMassCrash reports whether several other workers sent their last report at the
// same time as w and have ended or are unreachable, although no attempt of the step
// was there: then the step is not the common cause.
func (m *Machine) isMassCrash(s *step, w *worker) bool {
	others := 0
	for _, l := range m.lostWorkers {
		if _, there := l.steps[s]; l.worker != w && !there && endedTogether(w, l.worker) {
			others++
		}
	}
	for _, other := range m.workers.All() {
		silent := !other.ended && !other.unreachableSince.IsZero() && other.attempts.Len() > 0
		if silent && other != w && !m.isRecordedLost(other) && !other.mayRunStep(s) && endedTogether(w, other) {
			others++
		}
	}
	return others >= massCrashWorkers
}

// hadSharedTrial reports whether a lost worker had several tasks on isolated trial.
func (m *Machine) hadSharedTrial(w *worker) bool {
	return slices.ContainsFunc(m.lostWorkers, func(l lostWorker) bool { return l.worker == w && l.sharedTrial })
}

func (m *Machine) isRecordedLost(w *worker) bool {
	return slices.ContainsFunc(m.lostWorkers, func(l lostWorker) bool { return l.worker == w })
}

// endedTogether reports whether two workers may have ended in one event: their last
// reports came at the same time. If no leader has told when one of them was last
// heard, both ended around the take-over if neither has answered since.
func endedTogether(a, b *worker) bool {
	if a.lastReportAt.IsZero() || b.lastReportAt.IsZero() {
		return !a.answered && !b.answered
	}
	return a.lastReportAt.Sub(b.lastReportAt).Abs() <= massCrashWindow
}

// mayRunStep reports whether an attempt of the step may be running on the worker.
func (w *worker) mayRunStep(s *step) bool {
	for _, a := range w.attempts.All() {
		if a.step() == s {
			return true
		}
	}
	return false
}
