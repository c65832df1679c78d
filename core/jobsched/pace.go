package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/workerspeed"
)

const (
	// untimedOnAdoption: the percent in which an attempt is adopted began before.
	untimedOnAdoption = 1
	// untimedOnResume: an attempt restores its checkpoint, and then goes on within a
	// percent.
	untimedOnResume = 2
)

// attemptPace is how an attempt advances. Its times are working times at full speed: at
// a tenth of its speed an attempt takes ten seconds for one of them.
type attemptPace struct {
	// stood is the working time since the last advance, as of stoodAt.
	stood   time.Duration
	stoodAt time.Time
	// untimed is how many of the next advances do not show how long a percent takes:
	// one restores a checkpoint, or is of a percent whose beginning was not seen.
	untimed int
	// advanced is set once a later percent was reported than the first.
	advanced bool
	// own sums the advances that were timed; slowest is the longest time that one of
	// them took for a percent.
	own     runpace.Sum
	slowest time.Duration
	// doublings is how often the stall limit of the attempt is doubled.
	doublings int
	// recent sums the latest advances, those before with half their weight. It is kept
	// while the speeds of workers are learned.
	recent runpace.Sum
}

// work adds the time until now, at the attempt's share, to the time that it stands. Time
// at an unknown share does not count.
func (a *attempt) work(now time.Time) {
	if passed := now.Sub(a.pace.stoodAt); passed > 0 && !a.throttleUnknown {
		a.pace.stood += passed * time.Duration(a.throttle) / fullSpeed
	}
	a.pace.stoodAt = now
}

// resetPace begins to count the time that the attempt stands.
func (a *attempt) resetPace(now time.Time) { a.pace.stood, a.pace.stoodAt = 0, now }

// observePercent takes in the percent that a report has of the attempt.
func (m *Machine) observePercent(a *attempt, percent int) {
	if percent == a.percent {
		return
	}
	a.work(m.now)
	rise, stood := percent-a.percent, a.pace.stood
	a.percent, a.advancedAt = percent, m.now
	a.resetPace(m.now)
	if rise < 0 || a.task == nil || a.step().spec.Gang {
		return
	}
	a.pace.advanced = true
	if a.pace.untimed > 0 {
		a.pace.untimed--
		a.step().pace.note(a.worker, m.now)
		return
	}
	a.pace.own.Add(rise, stood)
	a.pace.slowest = max(a.pace.slowest, stood/time.Duration(rise))
	m.notePace(a, rise, stood)
}

// observeWholeRun takes in that the attempt is done, if no part of it was timed.
func (m *Machine) observeWholeRun(a *attempt) {
	if a.task == nil || a.step().spec.Gang {
		return
	}
	seenWhole := a.pace.untimed == 0 && a.pace.own.Percents == 0 && !a.startedAt.IsZero()
	if !seenWhole || a.throttle < fullSpeed {
		a.step().pace.note(a.worker, m.now)
		return
	}
	m.notePace(a, runpace.FullPercent, m.now.Sub(a.startedAt))
}

// notePace takes in that the attempt has passed some percents of its run in the given
// working time.
func (m *Machine) notePace(a *attempt, percents int, took time.Duration) {
	s := a.step()
	s.pace.sum.Add(percents, took)
	s.pace.note(a.worker, m.now)
	if d := s.doublingsOfPace(); d > s.pace.doublings && !s.job().state.Final() {
		s.pace.doublings = d
		m.markDirty(s.job())
	}
	m.imagePaces.Observe(s.spec, took/time.Duration(percents))
	m.judgeSuspects(s, a.worker, took/time.Duration(percents))
	m.learnSpeedFromPace(a, percents, took)
}

// stepPace is how the attempts of a step advance.
type stepPace struct {
	sum runpace.Sum
	// last is the last advance, lastElsewhere the last one on another worker than that.
	last, lastElsewhere advance
	// doublings is how often the stall limit is doubled without a pace: the greatest number
	// of stops of any of the tasks, or what their pace requires. It is stored, so that
	// a new leader, which knows no pace, lets attempts run long enough to learn it.
	doublings int
	suspects  []suspectWorker
	// reference holds what a percent takes on which workers, in nanoseconds.
	reference workerspeed.Reference
}

// advance is that an attempt has advanced.
type advance struct {
	worker *worker
	at     time.Time
}

// note records that an attempt on the worker has advanced.
func (p *stepPace) note(w *worker, now time.Time) {
	if p.last.worker != w {
		p.lastElsewhere = p.last
	}
	p.last = advance{worker: w, at: now}
}

// lastElsewhereThan returns when an attempt on another worker has last advanced; zero if
// none has.
func (p *stepPace) lastElsewhereThan(w *worker) time.Time {
	if p.last.worker != w {
		return p.last.at
	}
	return p.lastElsewhere.at
}
