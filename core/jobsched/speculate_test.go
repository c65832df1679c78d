package jobsched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// newCopyCluster returns a cluster with room whose leader copies stragglers or not.
func newCopyCluster(t *testing.T, seed uint64, workers int, policy bool) *cluster {
	c := newCluster(t, seed, workers)
	c.options.Policies.CopyStragglers = policy
	c.replaceLeader()
	c.run(time.Second)
	return c
}

// submitShortCopyable submits a job of one or two steps of short tasks that allow copies.
func (c *cluster) submitShortCopyable(rnd *rand.Rand, number int) *shortJob {
	j := &shortJob{at: c.now}
	var steps []job.Step
	for i := range 1 + rnd.IntN(2) {
		runTime := time.Duration(drawLogNormal(rnd, 700, 0.3, 1600)) * time.Millisecond
		step := makeStep(2+rnd.IntN(10), 1000, runTime)
		step.Size.MemoryMB, step.Speculative = 100, true
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.chain += runTime
		steps = append(steps, step)
	}
	j.allowance = allowanceOf(c.config.Queues["urgent"], j.chain)
	j.id = c.submit(number, "urgent", steps...)
	return j
}

// playStragglers plays 20 s of short jobs at the given rate on 32 workers, of which they
// fill a part.
func playStragglers(t *testing.T, seed uint64, policy bool, jobsPerSecond float64, prepare func(*cluster)) ([]*shortJob, *cluster) {
	c := newCopyCluster(t, seed, 32, policy)
	prepare(c)
	rnd := rand.New(rand.NewPCG(seed, 7))
	var jobs []*shortJob
	next := c.now
	for end := c.now.Add(20 * time.Second); c.now.Before(end); c.tick() {
		for !c.now.Before(next) {
			next = next.Add(time.Duration(rnd.ExpFloat64() / jobsPerSecond * float64(time.Second)))
			jobs = append(jobs, c.submitShortCopyable(rnd, len(jobs)+1))
		}
		c.noteCompleted(jobs)
	}
	for end := c.now.Add(6 * time.Second); c.now.Before(end); c.tick() {
		c.noteCompleted(jobs)
	}
	return jobs, c
}

// slowByChance makes 3% of the attempts take seven times as long.
func slowByChance(c *cluster) {
	c.copies.slowing, c.copies.slowShare, c.copies.slowFactor = rand.New(rand.NewPCG(3, 9)), 0.03, 7
}

// TestCopiesOfTasksSlowByChance guards against steps that wait for one task that takes
// seven times as long by chance, as 3% do: most of their jobs are then of no use.
func TestCopiesOfTasksSlowByChance(t *testing.T) {
	served, inTime, lost := 0.0, 0.0, 0.0
	withoutServed, withoutInTime := 0.0, 0.0
	const seeds = 3
	for seed := range uint64(seeds) {
		jobs, _ := playStragglers(t, seed+1, false, 12, slowByChance)
		withoutServed, withoutInTime = withoutServed+servedShare(jobs)/seeds, withoutInTime+inTimeShare(jobs)/seeds
		jobs, c := playStragglers(t, seed+1, true, 12, slowByChance)
		served, inTime = served+servedShare(jobs)/seeds, inTime+inTimeShare(jobs)/seeds
		counts := c.machine.Copies()
		lost += counts.LostCoreSeconds / seeds
		t.Logf("seed %d: %+v", seed+1, counts)
	}
	t.Logf("with copies %.3f served and %.3f in time, without %.3f and %.3f; %.1f core-s lost", served, inTime, withoutServed, withoutInTime, lost)
	if served < 0.97 || served < withoutServed+0.1 {
		t.Errorf("%.3f of the jobs are served, %.3f without copies", served, withoutServed)
	}
	if inTime < withoutInTime+0.1 {
		t.Errorf("%.3f of the jobs are in time, %.3f without copies", inTime, withoutInTime)
	}
}

// TestCopiesOfTasksOnSlowWorkers guards against steps that wait for the tasks on a few
// workers that are six times as slow.
func TestCopiesOfTasksOnSlowWorkers(t *testing.T) {
	slowTwo := func(c *cluster) { c.copies.slowWorkers = map[model.WorkerID]int{"w003": 6, "w017": 6} }
	without, _ := playStragglers(t, 1, false, 8, slowTwo)
	with, c := playStragglers(t, 1, true, 8, slowTwo)
	t.Logf("with copies %.3f served and %.3f in time, without %.3f and %.3f; %+v",
		servedShare(with), inTimeShare(with), servedShare(without), inTimeShare(without), c.machine.Copies())
	if servedShare(with) < servedShare(without)+0.05 {
		t.Errorf("%.3f of the jobs are served, %.3f without copies", servedShare(with), servedShare(without))
	}
}

// TestNoCopiesWithoutSlowTasks guards against copies of tasks that take as long as the
// others, which cost room and gain nothing.
func TestNoCopiesWithoutSlowTasks(t *testing.T) {
	_, c := playStragglers(t, 1, true, 12, func(*cluster) {})
	if counts := c.machine.Copies(); counts.Started > 0 {
		t.Errorf("%+v, want none started", counts)
	}
}

// slowFirst submits a job whose tasks' first attempts take seven times as long, waits until
// one of them has a copy, and returns the job.
func (c *cluster) slowFirst(t *testing.T) job.ID {
	c.keepNotes = true
	step := makeStep(3, 1000, time.Second)
	step.Speculative = true
	c.copies.slowing, c.copies.slowShare, c.copies.slowFactor = rand.New(rand.NewPCG(1, 1)), 1, 7
	id := c.submit(1, "urgent", step)
	c.run(100 * time.Millisecond)
	c.copies.slowing = nil
	for range 600 {
		c.tick()
		if len(c.notesOf(joblog.MessageCopyWon)) > 0 {
			t.Fatal("a copy has ended already")
		}
		if c.machine.Copies().Running > 0 && c.running(id) > 3 {
			return id
		}
	}
	t.Fatalf("no copy is started: %s", c.describe(id))
	return id
}

// running counts the attempts of a job that run.
func (c *cluster) running(id job.ID) int {
	n := 0
	for key, truth := range c.truth {
		if key.Job == id {
			n += len(truth.running)
		}
	}
	return n
}

// TestBothAttemptsStayAfterTakeOver guards against a new leader that stops a copy, or
// counts the first attempt as over because a later one runs.
func TestBothAttemptsStayAfterTakeOver(t *testing.T) {
	for name, change := range map[string]func(*cluster){"lost": (*cluster).replaceLeader, "handed over": (*cluster).handOver} {
		t.Run(name, func(t *testing.T) {
			c := newCopyCluster(t, 1, 8, true)
			id := c.slowFirst(t)
			before := c.running(id)
			change(c)
			c.run(300 * time.Millisecond)
			if n := c.running(id); n < before {
				t.Errorf("%d attempts run after the take-over, %d before", n, before)
			}
			c.run(6 * time.Second)
			if s := c.state(id); s != job.Completed || c.running(id) > 0 {
				t.Errorf("the job is %s with %d attempts: %s", s, c.running(id), c.describe(id))
			}
		})
	}
}

// TestCancelStopsCopies guards against copies that run on after their job was canceled.
func TestCancelStopsCopies(t *testing.T) {
	c := newCopyCluster(t, 1, 8, true)
	id := c.slowFirst(t)
	c.cancel(id)
	c.run(time.Second)
	if n := c.running(id); n > 0 {
		t.Errorf("%d attempts run on", n)
	}
}

// TestCopyRunsBesideUnreachableWorker guards against a task that waits until its attempt
// on an unreachable worker is declared lost although it may have a copy.
func TestCopyRunsBesideUnreachableWorker(t *testing.T) {
	c := newCopyCluster(t, 1, 8, true)
	step := makeStep(1, 1000, 2*time.Second)
	step.Speculative = true
	id := c.submit(1, "batch", step)
	c.run(500 * time.Millisecond)
	c.workers[c.firstWorkerOf(id)].partitioned = true
	c.run(8 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the job is %s after 8 s: %s", s, c.describe(id))
	}
}

// TestNoCopyBesideCrashedWorker guards against a copy of a task that has crashed its
// worker, which would crash another one before the first crash is known.
func TestNoCopyBesideCrashedWorker(t *testing.T) {
	c := newCopyCluster(t, 1, 8, true)
	step := makeStep(1, 1000, 2*time.Second)
	step.Speculative = true
	id := c.submit(1, "batch", step)
	c.run(500 * time.Millisecond)
	crashed := c.workers[c.firstWorkerOf(id)]
	crashed.crash()
	c.after(entryLife, func() { crashed.listed = false })
	c.run(4 * time.Second)
	if counts := c.machine.Copies(); counts.Started > 0 {
		t.Errorf("%+v, want none", counts)
	}
}

// TestFailedCopyLeavesTheFirstAttempt guards against a task that is started anew, or a
// job that fails, because a copy failed while the first attempt goes on.
func TestFailedCopyLeavesTheFirstAttempt(t *testing.T) {
	c := newCopyCluster(t, 1, 8, true)
	id := c.slowFirst(t)
	for key, truth := range c.truth {
		for worker, attempt := range truth.running {
			if key.Job == id && attempt > 1 {
				c.workers[worker].failAll = true
			}
		}
	}
	starts := c.starts
	c.run(1300 * time.Millisecond)
	if lost := c.notesOf(joblog.MessageCopyLost); len(lost) == 0 {
		t.Fatal("no copy has failed")
	}
	c.run(8 * time.Second)
	failed := 0
	for _, truth := range c.truth {
		failed += len(truth.failed)
	}
	if s := c.state(id); s != job.Completed || c.starts-starts > maxCopiesOfTask*3 {
		t.Errorf("the job is %s after %d failures and %d further starts", s, failed, c.starts-starts)
	}
}

// TestNoCopyThatCouldExceedMaxAttempts guards against a copy of a task whose next failure
// is its last: were both attempts to fail, it would have failed too often.
func TestNoCopyThatCouldExceedMaxAttempts(t *testing.T) {
	for _, c := range []struct {
		attempts int
		copied   bool
	}{{1, false}, {2, true}} {
		jobs, cluster := playStragglers(t, 1, true, 4, func(cluster *cluster) {
			slowByChance(cluster)
			cluster.config.Queues["urgent"].MaxAttempts = c.attempts
		})
		if started := cluster.machine.Copies().Started; (started > 0) != c.copied {
			t.Errorf("%d copies are started for %d jobs with %d attempts", started, len(jobs), c.attempts)
		}
	}
}

// TestNoCopiesInRoomThatIsWaitedFor guards against copies that take room from tasks that
// wait for it.
func TestNoCopiesInRoomThatIsWaitedFor(t *testing.T) {
	c := newCopyCluster(t, 1, 4, true)
	slowByChance(c)
	number := 0
	for range 20 {
		for range 10 {
			number++
			step := makeStep(12, 2000, 700*time.Millisecond)
			step.Speculative = true
			c.submit(number, "batch", step)
		}
		c.run(500 * time.Millisecond)
	}
	if counts := c.machine.Copies(); counts.Started > 0 {
		t.Errorf("%+v while tasks wait", counts)
	}
}

// TestCopiesKeepMaxPerWorker checks that a copy counts against the maximum number of
// tasks of its step on a worker.
func TestCopiesKeepMaxPerWorker(t *testing.T) {
	c := newCopyCluster(t, 1, 3, true)
	step := makeStep(3, 1000, time.Second)
	step.Speculative, step.MaxPerWorker = true, 1
	c.copies.slowing, c.copies.slowShare, c.copies.slowFactor = rand.New(rand.NewPCG(1, 1)), 1, 7
	id := c.submit(1, "urgent", step)
	c.run(3 * time.Second)
	if n := c.running(id); n > 3 {
		t.Errorf("%d attempts run on 3 workers with one each", n)
	}
}

// TestFirstAttemptIsDoneBeforeItsCopy guards against an end that is not acknowledged, and
// a task that runs again, because a later attempt of it runs.
func TestFirstAttemptIsDoneBeforeItsCopy(t *testing.T) {
	for name, change := range map[string]func(*cluster){"one leader": func(*cluster) {}, "lost": (*cluster).replaceLeader, "handed over": (*cluster).handOver} {
		t.Run(name, func(t *testing.T) {
			c := newCopyCluster(t, 1, 8, true)
			id := c.slowFirst(t)
			for _, w := range c.workers {
				for key, a := range w.attempts {
					if key.attempt > 1 {
						a.need = time.Minute
					}
				}
			}
			c.run(200 * time.Millisecond)
			change(c)
			c.run(9 * time.Second)
			if s := c.state(id); s != job.Completed || c.running(id) > 0 {
				t.Errorf("the job is %s with %d attempts that run: %s", s, c.running(id), c.describe(id))
			}
			if kept := c.notesOf(joblog.MessageEndNotAcknowledged); len(kept) > 0 {
				t.Errorf("ends are not acknowledged: %v", kept)
			}
		})
	}
}

// copied returns a task of the job of which two attempts run, and their numbers by worker.
func (c *cluster) copied(t *testing.T, id job.ID) (job.TaskKey, map[model.WorkerID]int) {
	for key, truth := range c.truth {
		if key.Job == id && len(truth.running) == 2 {
			return key, truth.running
		}
	}
	t.Fatalf("no task runs twice: %s", c.describe(id))
	return job.TaskKey{}, nil
}

// TestBothAttemptsAreDone guards against an end as done that is not acknowledged because
// the other attempt of the task was done shortly before, and the job is over.
func TestBothAttemptsAreDone(t *testing.T) {
	for name, change := range map[string]func(*cluster){"one leader": func(*cluster) {}, "lost": (*cluster).replaceLeader, "handed over": (*cluster).handOver} {
		t.Run(name, func(t *testing.T) {
			c := newCopyCluster(t, 1, 8, true)
			id := c.slowFirst(t)
			change(c)
			c.run(300 * time.Millisecond)
			copied, _ := c.copied(t, id)
			for _, w := range c.workers {
				for key, a := range w.attempts {
					a.need = a.worked + 50*time.Millisecond
					if key.task == copied {
						a.need += time.Duration(60-5*min(key.attempt, 2)) * time.Millisecond
					}
				}
			}
			c.run(4 * time.Second)
			if s := c.state(id); s != job.Completed {
				t.Errorf("the job is %s: %s", s, c.describe(id))
			}
			for worker, w := range c.workers {
				if len(w.ended) > 0 {
					t.Errorf("%s has %d ends that are not acknowledged", worker, len(w.ended))
				}
			}
		})
	}
}

// TestUnreachableFirstAttemptIsKeptAfterTakeOver guards against a third attempt that a
// new leader starts after the copy has failed, while the first attempt may still run on a
// worker that does not answer.
func TestUnreachableFirstAttemptIsKeptAfterTakeOver(t *testing.T) {
	c := newCopyCluster(t, 1, 8, true)
	id := c.slowFirst(t)
	key, running := c.copied(t, id)
	for worker, attempt := range running {
		if attempt == 1 {
			c.workers[worker].partitioned = true
		} else {
			c.workers[worker].failAll = true
		}
	}
	c.handOver()
	c.run(2 * time.Second)
	if truth := c.task(key); len(truth.failed) != 1 || len(truth.running) != 1 {
		t.Errorf("%d attempts have failed and %v run, want one each", len(truth.failed), truth.running)
	}
}
