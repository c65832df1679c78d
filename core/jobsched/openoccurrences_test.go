package jobsched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// submitSchedule stores a scheduled job whose first occurrence was due the given time
// ago, and notifies the leader.
func (c *cluster) submitSchedule(number, repetitions int, interval, overdue time.Duration, steps ...job.Step) job.ID {
	id := job.ID(fmt.Sprintf("%016x", number))
	c.accepted[id] = &job.Accepted{
		Spec: job.Spec{Payload: "p", Steps: steps, Schedule: &job.Schedule{
			StartMs: c.wall.Add(-overdue).UnixMilli(), IntervalMs: interval.Milliseconds(), Repetitions: repetitions,
		}},
		Queue: *c.config.Queues["batch"], ConfigVersion: 1, AcceptedAtMs: c.wall.UnixMilli(),
	}
	c.machine.Handle(c.now, JobAccepted{ID: id, Record: c.accepted[id]})
	return id
}

// checkSize checks that a record is not larger than the largest one of its job.
func (c *cluster) checkSize(p ProgressRecord) {
	record := c.accepted[p.ID]
	if record == nil {
		return
	}
	if size, limit := len(p.Progress.Encode()), record.Spec.LargestRecord(record.Queue.MaxAttempts); size > limit {
		c.t.Errorf("%s: the record of job %s has %d bytes, and its largest one should have %d", c.now.Sub(testEpoch), p.ID, size, limit)
	}
}

// checkAllDone checks that each occurrence of a job with one task has ended as done.
func (c *cluster) checkAllDone(id job.ID, repetitions int) {
	c.t.Helper()
	missing := 0
	for k := range repetitions {
		if truth := c.truth[job.TaskKey{Job: id, Occurrence: k}]; truth == nil || !truth.done {
			missing++
		}
	}
	if missing > 0 {
		c.t.Errorf("%d of %d occurrences are not done", missing, repetitions)
	}
}

// TestOverdueScheduleStaysStorable guards against a record that lists every occurrence
// that was due: a schedule that is a day late had one of 2 MB, which the store refuses.
func TestOverdueScheduleStaysStorable(t *testing.T) {
	c := newCluster(t, 1, 3)
	id := c.submitSchedule(1, 100_000, time.Second, 24*time.Hour, makeStep(1, 500, 300*time.Millisecond))
	c.run(2 * time.Second)
	other := c.submit(2, "batch", makeStep(2, 500, 300*time.Millisecond), makeStep(2, 500, 300*time.Millisecond, 0))
	c.run(10 * time.Second)
	if s := c.state(other); s != job.Completed {
		t.Errorf("the job beside the schedule is %s", s)
	}
	j := c.machine.jobs.Get(id)
	if open := j.next - j.done; open > job.MaxOpenOccurrences {
		t.Errorf("%d occurrences are open", open)
	}
	if j.done < 1000 {
		t.Errorf("%d occurrences are done", j.done)
	}
}

// TestLongScheduleRunsToItsEnd guards against a record that grows with what has ended:
// after some 50,000 occurrences it was too large, although all had begun on time.
func TestLongScheduleRunsToItsEnd(t *testing.T) {
	const repetitions = 100_000
	c := newCluster(t, 1, 2)
	id := c.submitSchedule(1, repetitions, time.Second, 0, makeStep(1, 500, 300*time.Millisecond))
	largest := 0
	for second := 0; second < repetitions+60 && !c.state(id).Final(); second++ {
		c.tickBy(time.Second)
		if second%5000 == 2500 {
			c.replaceLeader()
		}
		if p := c.progress[id]; p != nil && second%1000 == 0 {
			largest = max(largest, len(p.Encode()))
		}
	}
	if s := c.state(id); s != job.Completed {
		t.Fatalf("the schedule is %s", s)
	}
	c.checkAllDone(id, repetitions)
	t.Logf("its largest record had %d bytes", largest)
}

// TestAttemptsOfAnUnboundedLeaderAreKnown guards against attempts that the new version
// takes for unknown ones: a leader of the previous version began all occurrences that
// were due and could not store that.
func TestAttemptsOfAnUnboundedLeaderAreKnown(t *testing.T) {
	const repetitions = 3000
	c := newCluster(t, 1, 3)
	c.storeDown = true
	id := c.submitSchedule(1, repetitions, time.Second, 24*time.Hour, makeStep(1, 500, 300*time.Millisecond))
	c.machine.jobs.Get(id).openLimit = repetitions
	c.run(5 * time.Second)
	c.storeDown = false
	c.replaceLeader()
	for range 60 {
		c.run(time.Second)
		if c.state(id).Final() {
			break
		}
	}
	if s := c.state(id); s != job.Completed {
		t.Errorf("the schedule is %s: %s", s, c.describe(id))
	}
	c.checkAllDone(id, repetitions)
}

// scheduleStream is the stream of random numbers for schedules.
const scheduleStream = 7

// TestNothingRunsTwiceWithOverdueSchedules plays days of faults on which schedules are
// handed in as well, most of them overdue. All of their occurrences must run.
func TestNothingRunsTwiceWithOverdueSchedules(t *testing.T) {
	const days = 8
	for seed := range uint64(days) {
		playFaults(t, seed, func(c *cluster) {
			c.schedules = rand.New(rand.NewPCG(seed, scheduleStream))
			if seed%2 == 1 {
				c.planned = rand.New(rand.NewPCG(seed, plannedStream))
			}
		})
	}
}

// scheduleAtRandom, at random, submits a schedule and returns its id, or does nothing.
// One in four is a day late and is canceled after some seconds.
func (c *cluster) scheduleAtRandom(number int) []job.ID {
	if c.schedules.IntN(8) > 0 {
		return nil
	}
	if c.schedules.IntN(4) == 0 {
		id := c.submitSchedule(number, 100_000, time.Second, 24*time.Hour, makeStep(1, 1000, 200*time.Millisecond))
		c.after(time.Duration(1+c.schedules.IntN(8))*time.Second, func() { c.cancel(id) })
		return []job.ID{id}
	}
	interval := time.Duration(10+c.schedules.IntN(90)) * time.Millisecond
	overdue := time.Duration(c.schedules.IntN(60)) * time.Second
	repetitions := 1 + c.schedules.IntN(200)
	step := makeStep(1+c.schedules.IntN(2), 200, time.Duration(20+c.schedules.IntN(200))*time.Millisecond)
	return []job.ID{c.submitSchedule(number, repetitions, interval, overdue, step)}
}

// TestRecordOfThePreviousVersionIsContinued checks that a leader runs what a record of
// the previous version lists as open or not begun, and nothing else.
func TestRecordOfThePreviousVersionIsContinued(t *testing.T) {
	c := newCluster(t, 1, 3)
	id := c.submitSchedule(1, 8, time.Millisecond, time.Minute, makeStep(1, 500, 300*time.Millisecond))
	previous, err := job.DecodeProgress([]byte(`{"state":"running","occurrences":{"0":{"done":true},"1":{"steps":[{}]},"2":{"done":true},"3":{"steps":[{}]}}}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []int{0, 2} {
		c.task(job.TaskKey{Job: id, Occurrence: k}).done = true
	}
	c.progress[id] = previous
	c.replaceLeader()
	c.starts = 0
	c.run(5 * time.Second)
	c.checkAllDone(id, 8)
	if c.starts != 6 {
		t.Errorf("%d tasks were started, want 6", c.starts)
	}
	if s := c.state(id); s != job.Completed {
		t.Errorf("the schedule is %s", s)
	}
}

// TestLargeScheduleThroughALeaderOfThePreviousVersion checks that a job whose record the
// previous version sets aside is continued by the next leader, with nothing done twice
// or left out.
func TestLargeScheduleThroughALeaderOfThePreviousVersion(t *testing.T) {
	const repetitions = 2000
	c := newCluster(t, 1, 3)
	id := c.submitSchedule(1, repetitions, time.Second, 24*time.Hour, makeStep(1, 2000, 300*time.Millisecond))
	c.run(15 * time.Second)
	if p := c.progress[id]; p == nil || p.Begun < 700 {
		t.Fatalf("the record is %+v", p)
	}
	c.damaged[id] = true
	c.replaceLeader()
	c.run(10 * time.Second)
	c.damaged = make(map[job.ID]bool)
	c.replaceLeader()
	for second := 0; second < 60 && !c.state(id).Final(); second++ {
		c.run(time.Second)
	}
	if s := c.state(id); s != job.Completed {
		t.Errorf("the schedule is %s", s)
	}
	c.checkAllDone(id, repetitions)
}
