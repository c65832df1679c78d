package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// slowLeader simulates the processor of a cluster's leader: a step takes longer the
// more checks of workers it makes, and events wait until it ends.
type slowLeader struct {
	// checks counts the checks of a worker for a task in this step; maxChecks is the
	// highest count of any step.
	checks, maxChecks int
	// drainUntil is when the step has handled its events.
	drainUntil, busyUntil time.Time
	waiting               []Event
	// checkCost, eventCost and startCost are the times of a check of a worker for a
	// task, an event and a start, pause that between two steps. spent is what else this
	// step has taken, total what all steps have.
	checkCost, eventCost, startCost, pause, spent time.Duration
	steps                                         int
	total                                         time.Duration
}

const (
	// checkCost is the time of a check of a worker for a task on a leader with a fifth
	// of a core.
	checkCost = 5 * checkTime
	// leaderBatch is how many events the daemon handles before it advances the
	// machine.
	leaderBatch = 1024
)

// newSlowLeader returns a slow leader that counts the checks until the test ends.
func newSlowLeader(t testing.TB) *slowLeader {
	l := &slowLeader{checkCost: checkCost}
	count := func(*Machine, *task, *worker) bool {
		l.checks++
		return true
	}
	fit, room, names := fitFilters, roomFilters, namedFilters
	t.Cleanup(func() { fitFilters, roomFilters, namedFilters = fit, room, names })
	fitFilters = append([]placementFilter{count}, fit...)
	roomFilters = append([]placementFilter{count}, room...)
	namedFilters = append([]namedFilter{{"", count}}, names...)
	return l
}

// begin handles the waiting events, and returns false while the previous step has
// not ended.
func (l *slowLeader) begin(c *cluster) bool {
	if c.now.Before(l.busyUntil) {
		return false
	}
	n := min(len(l.waiting), leaderBatch)
	for _, ev := range l.waiting[:n] {
		c.machine.Handle(c.now, ev)
	}
	l.waiting = l.waiting[n:]
	l.spent += time.Duration(n) * l.eventCost
	l.drainUntil = c.now.Add(l.spent)
	return true
}

// receive takes an event for the leader.
func (l *slowLeader) receive(c *cluster, ev Event) {
	switch ev.(type) {
	case Committed, CommitRefused:
		l.handleOutcome(c, ev)
	default:
		l.waiting = append(l.waiting, ev)
	}
}

// handleOutcome handles the outcome of a commit, for which the leader does not wait until
// its step ends if it still handles events.
func (l *slowLeader) handleOutcome(c *cluster, ev Event) {
	if !c.now.Before(l.drainUntil) && c.now.Before(l.busyUntil.Add(-l.pause)) {
		l.waiting = append([]Event{ev}, l.waiting...)
		return
	}
	c.machine.Handle(c.now, ev)
	for _, e := range c.machine.AdvanceCommit(c.now, c.wall) {
		c.execute(e)
	}
}

func (l *slowLeader) end(c *cluster, effects []Effect) {
	l.maxChecks = max(l.maxChecks, l.checks)
	l.spent += time.Duration(l.checks) * l.checkCost
	for _, e := range effects {
		if _, ok := e.(Start); ok {
			l.spent += l.startCost
		}
	}
	l.steps++
	l.total += l.spent
	l.busyUntil = c.now.Add(l.spent + l.pause)
	l.checks, l.spent = 0, 0
}

// fullCluster returns 350 workers that are almost filled with long-running tasks,
// and the first of the jobs.
func fullCluster(t testing.TB) (*cluster, job.ID) {
	c := newCluster(t, 1, 350)
	c.run(200 * time.Millisecond)
	first := c.submit(1, "urgent", longRunning(7, 2200))
	for i := range 349 {
		c.submit(i+2, "urgent", longRunning(7, 2200))
	}
	c.run(time.Second)
	return c, first
}

// TestCancelIsTakenInBesideHundredsOfWaitingSteps guards against cancellations that
// are delayed by placement. If each round checks every worker for each of hundreds
// of waiting steps, events arrive faster than they are handled, and tasks of
// canceled jobs run on.
func TestCancelIsTakenInBesideHundredsOfWaitingSteps(t *testing.T) {
	for name, step := range map[string]func(i int) job.Step{
		"steps that fit nowhere": func(i int) job.Step {
			s := makeStep(6, int64(2000+i%7*300), 800*time.Millisecond)
			if i%4 == 0 {
				s.MaxPerWorker = 2
			}
			return s
		},
		"steps that require the label of a rack": func(i int) job.Step {
			s := makeStep(6, int64(1900+i), 800*time.Millisecond)
			s.Label = string(rackOfWorker(i % 350))
			return s
		},
	} {
		t.Run(name, func(t *testing.T) { checkCancelBesideWaiting(t, step) })
	}
}

// TestWaitingGangsDoNotHoldUpTheLeader guards against gangs that are not remembered
// as unplaceable. If a place is searched for each of 600 waiting gangs in every
// round, and on each of 44 racks for those that need a single rack, a step makes
// 420,000 checks of workers. That takes 0.13 s of a core, and 0.7 s of a core in
// each second, so that cancellations are handled late as above.
func TestWaitingGangsDoNotHoldUpTheLeader(t *testing.T) {
	for name, step := range map[string]func(i int) job.Step{
		"gangs that fit on no rack": func(i int) job.Step {
			s := makeStep(20, int64(1900+i%7*300), 800*time.Millisecond)
			s.Gang, s.SameRack = true, true
			return s
		},
		"gangs that fit nowhere, some with a limit of tasks per worker": func(i int) job.Step {
			s := makeStep(20, int64(1900+i%7*300), 800*time.Millisecond)
			s.Gang = true
			s.MaxPerWorker = i % 2
			return s
		},
	} {
		t.Run(name, func(t *testing.T) { checkCancelBesideWaiting(t, step) })
	}
}

// TestRoundIsBoundedWithoutUnplaceableCache checks that the budget alone bounds a
// placement round. Steps with a limit of tasks per worker are not remembered as
// unplaceable while any worker has room, and other such cases are possible at any
// time.
func TestRoundIsBoundedWithoutUnplaceableCache(t *testing.T) {
	c := newCluster(t, 1, 350)
	c.run(200 * time.Millisecond)
	for i := range 300 {
		c.submit(i+1, "urgent", longRunning(7, 2200))
	}
	c.run(time.Second)
	c.slow = newSlowLeader(t)
	// The value for such a leader; with a higher one the simulation takes half a
	// minute.
	c.machine.options.StartsInFlight = DefaultStartsInFlight / 5
	for i := range 600 {
		s := makeStep(351, 10, time.Minute)
		s.MaxPerWorker = 1
		c.submit(1000+i, "urgent", s)
	}
	c.run(5 * time.Second)
	if c.slow.maxChecks > maxStepChecks {
		t.Errorf("a step made %d checks of workers, want at most %d", c.slow.maxChecks, maxStepChecks)
	}
}

// TestSweepOverWorkThatStandsStillIsBounded guards against sweeps that check every
// worker for each best-effort attempt throttled to a share of 0, in order to move
// it. All best-effort work of a cluster may be throttled so: 1,580 attempts on 350
// workers took 553,000 checks in a step of the leader, 22 times a second.
func TestSweepOverWorkThatStandsStillIsBounded(t *testing.T) {
	c := newCluster(t, 1, 350)
	c.run(200 * time.Millisecond)
	for i := range 250 {
		serving := makeStep(6, 3200, time.Second)
		serving.LongRunning, serving.LatencyTargetMs, serving.Image = true, 150, "serving"
		c.submit(i+1, "urgent", serving)
	}
	c.run(time.Second)
	for i := range 600 {
		s := makeStep(20, 1800, time.Minute)
		s.BestEffort, s.Checkpointing, s.Image = true, true, "filling"
		c.submit(1000+i, "batch", s)
	}
	c.run(500 * time.Millisecond)
	for _, w := range c.machine.workers.All() {
		w.throttle.Hold(0, c.now.Add(time.Hour))
	}
	c.run(2 * time.Second)
	c.slow = newSlowLeader(t)
	c.run(3 * time.Second)
	if c.slow.maxChecks > maxStepChecks {
		t.Errorf("a step made %d checks of workers, want at most %d", c.slow.maxChecks, maxStepChecks)
	}
}

// checkCancelBesideWaiting cancels a job in a full cluster with 600 waiting steps,
// and checks how long its tasks run on and how long the leader's steps take.
func checkCancelBesideWaiting(t *testing.T, step func(i int) job.Step) {
	c, first := fullCluster(t)
	c.slow = newSlowLeader(t)
	for i := range 600 {
		c.submit(1000+i, "urgent", step(i))
	}
	c.run(3 * time.Second)
	c.cancel(first)
	canceledAt := c.now
	for c.runningOf(first) > 0 && c.now.Sub(canceledAt) < 20*time.Second {
		c.run(10 * time.Millisecond)
	}
	if took := c.now.Sub(canceledAt); took > cancelBound {
		t.Errorf("the tasks of a canceled job ran on for %s, want at most %s", took, cancelBound)
	}
	if c.slow.maxChecks > maxStepChecks {
		t.Errorf("a step made %d checks of workers, want at most %d", c.slow.maxChecks, maxStepChecks)
	}
}

const (
	// cancelBound is a quarter of the time that the platform allows from a
	// cancellation to the end of the tasks, since a takeover may happen in between.
	cancelBound = 1100 * time.Millisecond
	// maxStepChecks corresponds to 160 ms on such a leader.
	maxStepChecks = 100_000
)
