package jobsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/joborder"
	"github.com/guavarill/guavarill/core/ordered"
	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/speculation"
)

// speculationState tracks the attempts that might get a copy, and the copies.
type speculationState struct {
	// attempts holds the attempts of steps that allow copies, copies those of them that
	// are copies.
	attempts, copies ordered.Map[*attempt, struct{}]
	counts           CopyCounts
}

// maxCopiesOfTask is how many copies of a task a leader starts, one after the other. It
// keeps the attempts between two commits below attemptGap.
const maxCopiesOfTask = 2

// allowsCopies reports whether tasks of the step may have a copy. Best-effort work runs
// at a varying share, and a task that saves checkpoints would mix those of two attempts.
func (m *Machine) allowsCopies(s *step) bool {
	spec := s.spec
	other := spec.Gang || spec.LongRunning || spec.BestEffort || spec.Checkpointing
	return m.options.Policies.CopyStragglers && spec.Speculative && !other
}

// trackCopyable adds an attempt to those that might get a copy.
func (m *Machine) trackCopyable(a *attempt) {
	if m.allowsCopies(a.step()) {
		m.speculation.attempts.Set(a, struct{}{})
	}
}

// straggler is an attempt whose task is to get a copy.
type straggler struct {
	attempt *attempt
	speculation.Candidate
	rank speculation.Rank
}

// copyStragglers starts copies of slow tasks in room that nobody waits for. It runs after
// a placement round that has seen all changes: only then is it known which steps wait.
func (m *Machine) copyStragglers() {
	if !m.options.Policies.CopyStragglers || m.pass.IsOpen() || m.changed || m.speculation.attempts.Len() == 0 {
		return
	}
	found := m.stragglers()
	if len(found) == 0 {
		return
	}
	room := m.newCopyRoom()
	for _, s := range found {
		if m.starting >= m.options.StartsInFlight {
			return
		}
		m.copyStraggler(s, room)
	}
}

// maxSearchesPerSweep bounds the searches for a worker in a sweep, each of which checks
// all workers.
const maxSearchesPerSweep = 4

// stragglers returns the attempts that are worth a copy, the first to be copied first,
// and at most maxSearchesPerSweep.
func (m *Machine) stragglers() []straggler {
	var found []straggler
	slow := make(map[*step]int)
	for a := range m.speculation.attempts.All() {
		if a.copy {
			slow[a.step()]++
			continue
		}
		if !m.mayBeCopied(a) {
			continue
		}
		c := speculation.Candidate{Progress: m.copyProgress(a), Usual: m.usualRun(a.step()), CopySlowness: 1}
		if gain, ok := c.Gain(); ok && m.copyMatters(a.step(), &c) {
			found = append(found, straggler{attempt: a, Candidate: c, rank: speculation.Rank{Gain: gain}})
			slow[a.step()]++
		}
	}
	for i := range found {
		s := found[i].attempt.step()
		found[i].rank.Last = s.left <= slow[s]
	}
	slices.SortStableFunc(found, func(a, b straggler) int { return a.rank.Compare(b.rank) })
	return found[:min(len(found), maxSearchesPerSweep)]
}

// mayBeCopied reports whether the task of the attempt may get a copy, worthwhile or not.
// A copy can fail as well: were both attempts to fail, the task must not have failed more
// often than it may.
func (m *Machine) mayBeCopied(a *attempt) bool {
	t, j := a.task, a.step().job()
	alone := a.phase == phaseRunning && len(t.attempts) == 1
	switch {
	case !alone || t.done || j.state.Final() || m.now.Before(t.nextCopyAt) || t.copies >= maxCopiesOfTask:
		return false
	case len(t.failed)+2 > m.queue(j).MaxAttempts:
		return false
	case len(t.crashes) > 0 || t.trial.number > 0 || m.needsTrial(t):
		return false
	case m.mayBeDone(t) || m.restarts.requested[j.id][t.key()] > 0:
		// Its next start has to be recorded first.
		return false
	case !a.worker.unreachableSince.IsZero() && !m.isPartitioned(a.worker):
		// The task may have crashed it, and would crash the worker of the copy too.
		return false
	}
	return a.percent < runpace.FullPercent && !m.startsHeldBack(t.step, m.now)
}

// copyMatters reports whether a copy of a task of the step matters to its job. It sets
// the candidate's Objective and Useful.
func (m *Machine) copyMatters(s *step, c *speculation.Candidate) bool {
	rest := m.runTimes.Of(m.queue(s.job()).Name) * float64(s.pathAfterMs())
	left := m.objectiveMs(s.occurrence) - m.wall.UnixMilli() - int64(rest)
	late := (joborder.LateFactor - 1) * m.allowanceMs(s.occurrence)
	c.Objective, c.Useful = time.Duration(left)*time.Millisecond, time.Duration(left+late)*time.Millisecond
	return c.Matters()
}

// copyProgress returns what is known of the attempt's progress.
func (m *Machine) copyProgress(a *attempt) speculation.Progress {
	w := a.worker
	p := speculation.Progress{
		Percent: a.percent, Passed: a.percent, Worked: m.now.Sub(a.startedAt), Slowness: m.slownessOf(w),
	}
	if m.isPartitioned(w) {
		p.LostIn = max(w.leaseBound.Add(w.lossGrace()).Sub(m.now), time.Millisecond)
	}
	switch {
	case a.adopted:
		a.work(m.now)
		p.Passed, p.Took = a.pace.own.Percents, a.pace.own.Took+a.pace.stood
	case a.listed:
		p.SinceReport = m.now.Sub(w.lastReportAt)
		p.Took = max(w.lastReportAt.Sub(a.startedAt), 0)
	}
	return p
}

// partitionedAfter is how long a worker must be unreachable before it counts as
// partitioned if it is still listed: the entry of one that has crashed is gone by then.
const partitionedAfter = 3 * time.Second

// isPartitioned reports whether the worker does not answer although it runs, as it writes
// its entry.
func (m *Machine) isPartitioned(w *worker) bool {
	since := w.unreachableSince
	return w.listed && !since.IsZero() && m.now.Sub(since) >= partitionedAfter
}

// copyStraggler starts a copy of a slow task, if a worker is found on which it is worth
// it.
func (m *Machine) copyStraggler(s straggler, room *copyRoom) {
	t := s.attempt.task
	size := t.step.spec.Size.MilliCPU
	budget := room.budget(m.queue(t.step.job()).Service)
	if !budget.Allows(size) {
		return
	}
	t.nextCopyAt = m.now.Add(copyRetryDelay)
	w := room.workerFor(s.attempt)
	if w == nil {
		return
	}
	s.CopySlowness = m.slownessOf(w)
	gain, ok := s.Gain()
	if !ok || !s.Matters() {
		return
	}
	budget.Take(size)
	m.startCopy(s, w, gain)
}

// copyRetryDelay is the time until a copy is tried again for which there was no worker,
// or whose worker refused it.
const copyRetryDelay = 200 * time.Millisecond

// startCopy starts a copy of a task on a worker.
func (m *Machine) startCopy(s straggler, w *worker, gain time.Duration) {
	t, first := s.attempt.task, s.attempt
	reason := fmt.Sprintf("copy of attempt %d on %s, which is at %d%% after %s and expected to end in %s; the copy is expected to end in %s and gain %s; ",
		first.key.attempt, first.worker.id, first.percent, s.Worked.Round(time.Millisecond),
		s.Remaining(s.Usual).Round(time.Millisecond), s.CopyTime().Round(time.Millisecond), gain.Round(time.Millisecond))
	a := m.startAttemptBecause(t, w, t.last+1, reason)
	m.markCopy(a)
	t.copies++
	t.step.job().tally.copies++
	m.speculation.counts.Started++
	m.markDirty(t.step.job())
}

// markCopy records that an attempt is a copy.
func (m *Machine) markCopy(a *attempt) {
	a.copy = true
	m.speculation.copies.Set(a, struct{}{})
}
