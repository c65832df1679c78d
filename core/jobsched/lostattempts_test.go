package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// shortTasks returns a cluster in which four tasks of a second each have been
// running on each worker for a moment, and their job.
func shortTasks(t *testing.T, workers int) (*cluster, job.ID) {
	c := newCluster(t, 1, workers)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(4*workers, 1000, time.Second))
	c.run(300 * time.Millisecond)
	return c, id
}

// TestEndsOfASilentWorkerWithNothingLeftToRun guards against attempts that are
// declared lost because their worker was silent for longer than its lease. They
// completed in the meantime, so that the lease ended nothing; when the worker
// answers again, their ends count beside those of the restarted tasks.
func TestEndsOfASilentWorkerWithNothingLeftToRun(t *testing.T) {
	c, id := shortTasks(t, 4)
	c.workers["w001"].partitioned = true
	c.run(8 * time.Second)
	c.workers["w001"].partitioned = false
	c.run(4 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("state %s, want completed", s)
	}
	if c.starts != 16 {
		t.Errorf("%d starts, want 16", c.starts)
	}
}

// TestTasksOfAWorkerThatLeftTheListAreStartedElsewhere checks that the tasks of a
// worker that has crashed and is no longer listed do not wait as long as those of a
// listed worker, which may answer again.
func TestTasksOfAWorkerThatLeftTheListAreStartedElsewhere(t *testing.T) {
	c, id := shortTasks(t, 4)
	c.workers["w001"].crash()
	c.workers["w001"].listed = false
	c.run(9 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("state %s, want completed", s)
	}
}

// TestEndOfAnAttemptThatWasGivenUp checks the same fault for a worker that is
// unreachable for longer than any grace period. Its task is started elsewhere. The
// end that the worker reports later must not be acknowledged, because it would count
// then, and ends of other workers must still be acknowledged.
func TestEndOfAnAttemptThatWasGivenUp(t *testing.T) {
	c, id := shortTasks(t, 2)
	c.workers["w001"].partitioned = true
	c.run(25 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Fatalf("state %s while the worker is unreachable, want completed", s)
	}
	c.workers["w001"].partitioned = false
	c.run(5 * time.Second)
	if n := len(c.workers["w001"].ended); n == 0 {
		t.Error("the ends of lost attempts are acknowledged")
	}
}

// TestEndsBehindALapseAreAcknowledged checks that deferred ends are acknowledged
// once they are void: an attempt is declared lost as above and its end is not
// acknowledged. Later the worker's lease ends while an attempt is running, which
// voids all earlier results there.
func TestEndsBehindALapseAreAcknowledged(t *testing.T) {
	c, _ := shortTasks(t, 2)
	c.workers["w001"].partitioned = true
	c.run(25 * time.Second)
	c.workers["w001"].partitioned = false
	c.run(time.Second)
	c.submit(2, "urgent", longRunning(4, 7000))
	c.run(time.Second)
	c.workers["w001"].partitioned = true
	c.run(8 * time.Second)
	c.workers["w001"].partitioned = false
	c.run(3 * time.Second)
	if n := len(c.workers["w001"].ended); n != 0 {
		t.Errorf("%d ends are not acknowledged, want 0", n)
	}
}

// TestRestartThatWasNotSentIsDropped guards against a task that is done on a worker
// that answers again, and is started once more because it had been declared lost and
// waited for room.
func TestRestartThatWasNotSentIsDropped(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 16000, time.Second))
	c.run(300 * time.Millisecond)
	w := c.workerRunning(job.TaskKey{Job: id})
	c.submit(2, "urgent", longRunning(1, 16000))
	c.run(300 * time.Millisecond)
	w.partitioned = true
	c.run(25 * time.Second)
	if n := c.machine.restarts.stored[id][job.TaskKey{Job: id}]; n == 0 || c.starts != 2 {
		t.Fatalf("restart %d is stored and %d starts are made, want a stored restart and 2 starts", n, c.starts)
	}
	w.partitioned = false
	c.run(3 * time.Second)
	if s := c.state(id); s != job.Completed || c.starts != 2 {
		t.Errorf("state %s after %d starts, want completed after 2", s, c.starts)
	}
	if n := len(w.ended); n > 0 {
		t.Errorf("%d ends are not acknowledged, want 0", n)
	}
}
