package jobsched

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/runpace"
)

// runTimeOf returns how long a task of the step takes.
func (c *cluster) runTimeOf(step *job.Step, id job.ID) time.Duration {
	return time.Duration(step.EstimateMs) * time.Millisecond * time.Duration(cmp.Or(c.lengths[id], 1))
}

// saveInterval is the work between two checkpoints of a task.
const saveInterval = 500 * time.Millisecond

// checkpointOf returns the attempt's last checkpoint, which names the work done.
func (c *cluster) checkpointOf(a *fakeAttempt) string {
	if saved := a.worked.Truncate(saveInterval); c.saves && a.step.Checkpointing && saved > 0 {
		return saved.String()
	}
	return ""
}

// savedWork returns the work that a checkpoint names.
func (c *cluster) savedWork(checkpoint string) time.Duration {
	if checkpoint == "" {
		return 0
	}
	saved, err := time.ParseDuration(checkpoint)
	if err != nil {
		c.t.Errorf("checkpoint %q: %v", checkpoint, err)
	}
	return saved
}

// submitLong submits a job whose tasks take times as long as estimated.
func (c *cluster) submitLong(number, times int, step job.Step) job.ID {
	c.lengths[job.ID(fmt.Sprintf("%016x", number))] = times
	return c.submit(number, "batch", step)
}

// runUntilFinal runs until the job is final, for at most limit, and returns how long
// that took. each is called once a second.
func (c *cluster) runUntilFinal(id job.ID, limit time.Duration, each func(second int)) time.Duration {
	begun := c.now
	for second := 0; !c.state(id).Final() && c.now.Sub(begun) < limit; second++ {
		c.run(time.Second)
		each(second)
	}
	return c.now.Sub(begun)
}

// closedWorkers counts the workers that get no tasks because of failures.
func (c *cluster) closedWorkers() int {
	n := 0
	for _, w := range c.machine.workers.All() {
		if !w.health.IsAvailable(c.now) {
			n++
		}
	}
	return n
}

// TestLongTasksEnd guards against tasks of more than 150 s that are stopped for ever
// because a percent of their run takes longer than any attempt might stand still, and
// against healthy workers that are quarantined for it.
func TestLongTasksEnd(t *testing.T) {
	tests := []struct {
		name     string
		estimate time.Duration
		times    int
		// starts is how many starts of each task are allowed.
		starts     int
		bestEffort bool
	}{
		{"as estimated", 300 * time.Second, 1, 1, false},
		{"ten times as long", 20 * time.Second, 10, 1, false},
		{"a hundred times as long", 4 * time.Second, 100, 4, false},
		{"a hundred times as long, best effort", 8 * time.Second, 100, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const tasks = 2
			c := newCluster(t, 1, 4)
			c.run(200 * time.Millisecond)
			step := makeStep(tasks, 500, test.estimate)
			step.BestEffort = test.bestEffort
			id := c.submitLong(1, test.times, step)
			c.starts = 0
			need := c.runTimeOf(&step, id)
			closed := 0
			took := c.runUntilFinal(id, 2*need, func(int) { closed = max(closed, c.closedWorkers()) })
			if allowed := need + need/20 + 2*time.Second; c.state(id) != job.Completed || took > allowed {
				t.Errorf("the job is %s after %s, want completed after at most %s", c.state(id), took, allowed)
			}
			if c.starts > tasks*test.starts {
				t.Errorf("%d starts of %d tasks, want at most %d of each", c.starts, tasks, test.starts)
			}
			if closed > 0 {
				t.Errorf("%d workers were quarantined", closed)
			}
		})
	}
}

// TestLongTasksEndOverTakeovers guards against a stall limit that each new leader has to
// learn anew, so that long tasks are stopped for ever while leaders change.
func TestLongTasksEndOverTakeovers(t *testing.T) {
	for name, change := range map[string]func(*cluster){"planned": (*cluster).handOver, "lost": (*cluster).replaceLeader} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 4)
			c.run(200 * time.Millisecond)
			step := makeStep(2, 500, 4*time.Second)
			id := c.submitLong(1, 100, step)
			c.starts = 0
			need := c.runTimeOf(&step, id)
			c.runUntilFinal(id, 2*need, func(second int) {
				if second%10 == 9 {
					change(c)
				}
			})
			if c.state(id) != job.Completed || c.starts > 8 {
				t.Errorf("the job is %s after %d starts of its 2 tasks", c.state(id), c.starts)
			}
		})
	}
}

// TestPaceOutlastsTheLeader guards against attempts that are stopped, and lose all their
// work, because a new leader does not know the pace that allowed for them: the task from
// which it was learned is done, or was of another job.
func TestPaceOutlastsTheLeader(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	step := makeStep(1, 500, time.Second)
	step.Image = "slow"
	c.submitLong(1, 400, step)
	c.run(100 * time.Second)
	c.starts = 0
	id := c.submitLong(2, 400, step)
	c.run(200 * time.Second)
	c.replaceLeader()
	c.runUntilFinal(id, 210*time.Second, func(int) {})
	if c.state(id) != job.Completed || c.starts != 1 {
		t.Errorf("the job is %s after %d starts of its task", c.state(id), c.starts)
	}
}

// TestLongTasksResumeFromCheckpoints guards against the jump to the percent that a
// checkpoint restores being taken for the pace of the task.
func TestLongTasksResumeFromCheckpoints(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.saves = true
	c.run(200 * time.Millisecond)
	step := makeStep(1, 500, 20*time.Second)
	step.Checkpointing = true
	id := c.submitLong(1, 10, step)
	c.run(81 * time.Second)
	leaving := c.workers[c.firstWorkerOf(id)]
	c.drain(leaving)
	c.after(2500*time.Millisecond, func() { c.depart(leaving) })
	c.runUntilFinal(id, 130*time.Second, func(int) {})
	if c.state(id) != job.Completed || c.starts > 2 {
		t.Errorf("the job is %s after %d starts, want completed after 2", c.state(id), c.starts)
	}
}

// throttleAll holds the share of all best-effort work at percent, until the leader
// changes.
func (c *cluster) throttleAll(percent int) {
	for _, w := range c.machine.workers.All() {
		w.throttle.Hold(percent, c.now.Add(time.Hour))
	}
}

// TestThrottledTasksEnd guards against throttled attempts that are judged by the time
// they would take at full speed, also when the throttle has just ended.
func TestThrottledTasksEnd(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	step := makeStep(2, 500, 20*time.Second)
	step.BestEffort = true
	id := c.submitLong(1, 10, step)
	c.run(time.Second)
	c.throttleAll(10)
	c.run(58 * time.Second)
	c.throttleAll(100)
	c.runUntilFinal(id, 210*time.Second, func(int) {})
	if c.state(id) != job.Completed || c.starts != 2 {
		t.Errorf("the job is %s after %d starts of its 2 tasks", c.state(id), c.starts)
	}
}

// TestThrottledTaskThatStandsStillIsFound guards against attempts that are never found
// because they are throttled: at a tenth of the speed it may take ten times as long.
func TestThrottledTaskThatStandsStillIsFound(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	step := makeStep(1, 500, 2*time.Second)
	step.BestEffort = true
	id := c.submit(1, "batch", step)
	c.run(300 * time.Millisecond)
	c.throttleAll(10)
	c.workers[c.firstWorkerOf(id)].freeze = true
	limit := 10*bestEffortStallTimeout + 2*time.Second
	c.run(limit)
	if c.starts < 2 {
		t.Errorf("the task was not started elsewhere within %s", limit)
	}
}

// TestLongTaskThatStopsIsFound checks that an attempt which advanced steadily and then
// stands still is found within the time of ten percents.
func TestLongTaskThatStopsIsFound(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	id := c.submitLong(1, 10, makeStep(1, 500, 20*time.Second))
	c.run(41 * time.Second)
	c.workers[c.firstWorkerOf(id)].freeze = true
	const limit = 10*2*time.Second + 3*time.Second
	c.run(limit)
	if c.starts != 2 {
		t.Errorf("%d starts %s after the task stopped at a percent in 2 s, want 2", c.starts, limit)
	}
}

// TestWorkerThatStandsStillIsClosed checks that a worker on which all tasks stand still
// is found by the first tasks there that others of their steps show to be late.
func TestWorkerThatStandsStillIsClosed(t *testing.T) {
	for name, width := range map[string]int{"steps over all workers": 8, "steps of one task": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 4)
			c.run(200 * time.Millisecond)
			c.workers["w000"].freeze = true
			for i := range 16 / width {
				step := makeStep(width, 1000, 600*time.Millisecond)
				c.submit(1+i, "batch", step)
			}
			limit := stallTimeout + 2*time.Second
			for begun := c.now; c.closedWorkers() == 0 && c.now.Sub(begun) < limit; {
				c.tick()
			}
			if w := c.machine.worker(c.workers["w000"].entry.Incarnation); w.health.IsAvailable(c.now) {
				t.Errorf("the worker is not quarantined after %s", limit)
			}
			if n := c.closedWorkers(); n > 1 {
				t.Errorf("%d workers are quarantined, want 1", n)
			}
		})
	}
}

// TestJobThatStandsStillClosesNoWorker guards against healthy workers that are
// quarantined because the tasks of some jobs stand still wherever they run.
func TestJobThatStandsStillClosesNoWorker(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	for i := range 4 {
		c.submitLong(1+i, 10000, makeStep(1+2*i, 500, time.Second))
	}
	for range 60 {
		c.run(time.Second)
		if n := c.closedWorkers(); n > 0 {
			t.Fatalf("%d workers are quarantined", n)
		}
	}
}

// lengthDays is the number of days that TestNothingRunsTwiceWithLongTasks plays.
const lengthDays = 8

// lengthStream is the stream of random numbers for tasks' lengths.
const lengthStream = 9

// TestNothingRunsTwiceWithLongTasks plays random days on which the tasks of some jobs
// take ten or 150 times as long as estimated. All jobs must end.
func TestNothingRunsTwiceWithLongTasks(t *testing.T) {
	for seed := range uint64(lengthDays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, seed, 8)
			c.keepFinalJobs()
			c.lengthening = rand.New(rand.NewPCG(seed, lengthStream))
			c.saves = seed%2 == 1
			c.loseAnswers, c.delayOrders = 0.03, 0.03
			ids := c.faultyDay(rand.New(rand.NewPCG(seed, 2)))
			c.endFaults()
			begun := c.now
			for _, id := range ids {
				c.runUntilFinal(id, longestDay-c.now.Sub(begun), func(int) {})
				if s := c.state(id); !s.Final() {
					t.Errorf("job %s is %s in the end: %s", id, s, c.describe(id))
				}
			}
		})
	}
}

// longestDay is longer than three steps take whose tasks are 1.6 s by their estimate and
// take 150 times as long.
const longestDay = 900 * time.Second

// lengthenAtRandom, at random, makes the tasks of the job that was just submitted take
// longer than estimated.
func (c *cluster) lengthenAtRandom(id job.ID) {
	if c.lengthening.IntN(6) == 0 {
		c.lengths[id] = []int{10, 150}[c.lengthening.IntN(2)]
	}
}

// TestPaceOfAFinalJobIsNotStored guards against the record of a final job being written
// again, perhaps after it was removed, because an attempt of it runs on and advances.
func TestPaceOfAFinalJobIsNotStored(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(200 * time.Millisecond)
	id := c.submitLong(1, 400, makeStep(1, 500, time.Second))
	c.run(time.Second)
	attempts := c.machine.worker(c.workers["w000"].entry.Incarnation).attempts
	c.machine.jobs.Get(id).state = job.Canceled
	for _, a := range attempts.All() {
		c.machine.notePace(a, 1, 4*time.Second)
	}
	if c.machine.dirty.Has(id) {
		t.Error("the record of a canceled job is to be written")
	}
}

// TestSlowWorkerIsGivenTime checks that a worker counts as slow by as much as its
// attempts are slower than others of their steps, up to a bound.
func TestSlowWorkerIsGivenTime(t *testing.T) {
	tests := []struct {
		took time.Duration
		want float64
	}{{time.Second, 1}, {500 * time.Millisecond, 1}, {6500 * time.Millisecond, 6.5}, {time.Minute, maxStallSlowness}}
	for _, test := range tests {
		c := newCluster(t, 1, 1)
		c.run(200 * time.Millisecond)
		c.submit(1, "batch", makeStep(1, 500, 10*time.Second))
		c.run(200 * time.Millisecond)
		w := c.machine.worker(c.workers["w000"].entry.Incarnation)
		for _, a := range w.attempts.All() {
			a.pace.own = runpace.Sum{Percents: 10, Took: test.took}
			a.step().pace.sum = runpace.Sum{Percents: 100, Took: 10 * time.Second}
		}
		if got := w.stallSlowness(); got != test.want {
			t.Errorf("10 percents in %s instead of 1s: slowness %.2f, want %.2f", test.took, got, test.want)
		}
	}
}
