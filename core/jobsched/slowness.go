package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/workerspeed"
)

// workerSpeed is what is learned of the speed of a worker.
type workerSpeed struct {
	// learned is by evidence that other work on the worker did not influence, and by such
	// that shows a lower slowness in spite of other work. slow is whether the worker
	// counts as slow by it.
	learned workerspeed.Speed
	slow    bool
	// unproven is set once the worker no longer counts as slow only because nothing has
	// shown its speed for long, until something does.
	unproven bool
	// apparent is by all readings of serving tasks, whatever runs beside them;
	// seemsSlow is whether the worker would be slow by it. refutedUntil is until when
	// that does not count, after the readings became normal once best-effort work beside
	// them had stood still: it had been that work.
	apparent     workerspeed.Speed
	seemsSlow    bool
	refutedUntil time.Time
	// bestEffortAt is when best-effort work was last seen at work on the worker.
	bestEffortAt time.Time
}

const (
	// readingSpan is how long after best-effort work has stopped a reading may still
	// cover time in which it worked.
	readingSpan = renewWait + readingDelay
	// refutationTime is how long a refuted apparent slowness does not count again.
	refutationTime = 10 * time.Second
)

// slownessOf returns how many times as long as elsewhere tasks take on the worker, by
// what is learned of it; 1 if nothing is.
func (m *Machine) slownessOf(w *worker) float64 { return w.speed.learned.Slowness(m.now) }

// isSlow reports whether tasks on the worker are known to take longer than elsewhere by
// a margin.
func (w *worker) isSlow() bool { return w.speed.slow }

// isDoubtful reports whether the worker is slow, or was and has not shown its speed since.
func (w *worker) isDoubtful() bool { return w.speed.slow || w.speed.unproven }

// maybeSlow reports whether the worker is slow, or its serving tasks suggest so and it
// has not been seen yet whether best-effort work beside them is the cause.
func (w *worker) maybeSlow(now time.Time) bool {
	return w.speed.slow || w.speed.seemsSlow && !now.Before(w.speed.refutedUntil)
}

// isUndisturbed reports whether no best-effort work was at work on the worker in the time
// that its last readings cover.
func (w *worker) isUndisturbed(now time.Time) bool {
	return now.Sub(w.speed.bestEffortAt) > readingSpan
}

// SlowWorkers returns the number of workers that are known to be slow.
func (m *Machine) SlowWorkers() int { return m.slowWorkers }

// judgeSpeeds decides which workers are slow.
func (m *Machine) judgeSpeeds() {
	if !m.options.Policies.WorkerSpeeds {
		return
	}
	m.slowWorkers, m.doubtfulWorkers = 0, 0
	for _, w := range m.workers.All() {
		m.judgeSpeed(w)
		if w.isSlow() {
			m.slowWorkers++
		}
		if w.isDoubtful() {
			m.doubtfulWorkers++
		}
	}
}

// judgeSpeed decides whether the worker is slow.
func (m *Machine) judgeSpeed(w *worker) {
	speed := &w.speed
	seemsSlow := speed.apparent.Slowness(m.now) >= workerspeed.SlowFrom
	if speed.seemsSlow && !seemsSlow && !speed.slow && w.isUndisturbed(m.now) {
		speed.refutedUntil = m.now.Add(refutationTime)
	}
	speed.seemsSlow = seemsSlow
	speed.unproven = speed.unproven && !speed.learned.IsCurrent(m.now)
	switch slowness := m.slownessOf(w); {
	case !speed.slow && slowness >= workerspeed.SlowFrom:
		speed.slow = true
		m.noteSpeed(joblog.MessageWorkerSlow, w, slowness)
	case speed.slow && slowness < workerspeed.NormalBelow:
		speed.slow, speed.unproven = false, !speed.learned.IsCurrent(m.now)
		m.noteSpeed(joblog.MessageWorkerNormal, w, slowness)
	}
}

// noteSpeed notes that a worker has become slow or normal.
func (m *Machine) noteSpeed(decision string, w *worker, slowness float64) {
	reason := "nothing has shown its speed lately"
	if known := w.speed.learned.Confidence(m.now); known.Attempts > 0 {
		reason = fmt.Sprintf("tasks take %.1f times as long as elsewhere, by %d attempts, the latest seen %s ago",
			slowness, known.Attempts, known.Age.Round(time.Millisecond))
	}
	m.emit(Note{Decision: decision, Worker: w.id, Reason: reason})
}

// recoverSpeed takes over the slowness that an earlier leader knew of the worker, 0 if it
// knew of none. The roster was stored when that last changed, so it holds until now.
func (m *Machine) recoverSpeed(w *worker, slowness float64) {
	if !m.options.Policies.WorkerSpeeds || slowness < workerspeed.NormalBelow {
		return
	}
	if slowness < workerspeed.SlowFrom {
		w.speed.unproven = true
		return
	}
	w.speed.learned.Assume(m.recoveredAt, slowness)
	w.speed.slow = true
}
