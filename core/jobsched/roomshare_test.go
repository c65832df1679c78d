package jobsched

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// longJob is a long-running job of the simulated load.
type longJob struct {
	id job.ID
	// at is when the job was submitted, cancelAt when its caller cancels it, begun when
	// all of its tasks ran first.
	at, cancelAt, begun time.Time
	absent              absences
	// longestAbsence is the longest time that a task which ran before did not run.
	longestAbsence time.Duration
}

// longFlood is a load of long-running jobs that arrive at four times their usual rate
// beside short urgent jobs: together they want more than there is.
type longFlood struct {
	c    *cluster
	rnd  *rand.Rand
	long []*longJob
	// short holds the short jobs of the flood.
	short []*shortJob
	// replaceAt is when the leader is lost; never if zero.
	replaceAt time.Time
}

const (
	floodWorkers = 24
	// longTasks tasks of longCPU thousandths of a core each are a long-running job; it is
	// canceled after longLife.
	longTasks = 4
	longCPU   = 6000
	longLife  = 30 * time.Second
	// usualLongJobs run together at the usual rate. They take three tenths of the room.
	usualLongJobs = 19
	// floodLongRate and floodShortRate are jobs a second. Long-running jobs would take
	// 1.2 times the room, short ones a third of it.
	floodLongRate  = 4.0 * usualLongJobs / 30
	floodShortRate = 45
	floodTime      = 30 * time.Second
)

func newLongFlood(t *testing.T, seed uint64, share bool) *longFlood {
	c := newCluster(t, seed, floodWorkers)
	for _, w := range c.workers {
		w.entry.Capacity = model.Resources{MilliCPU: 64000, MemoryMB: 1 << 20}
	}
	c.options.Policies.ShareRoom = share
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	f := &longFlood{c: c, rnd: rand.New(rand.NewPCG(seed, 11))}
	for i := range usualLongJobs {
		f.submitLong(longLife * time.Duration(i+1) / usualLongJobs)
	}
	c.run(time.Second)
	return f
}

// submitLong submits a long-running job that its caller cancels after the given time.
func (f *longFlood) submitLong(life time.Duration) {
	j := &longJob{at: f.c.now, cancelAt: f.c.now.Add(life), absent: make(absences)}
	j.id = f.c.submit(100_000+len(f.long), "urgent", longRunning(longTasks, longCPU))
	f.long = append(f.long, j)
}

// play runs the flood for floodTime, and then lets the short jobs of it end.
func (f *longFlood) play() {
	nextLong, nextShort := f.c.now, f.c.now
	for end := f.c.now.Add(floodTime); f.c.now.Before(end); {
		for ; !f.c.now.Before(nextLong); nextLong = nextLong.Add(f.interval(floodLongRate)) {
			f.submitLong(longLife)
		}
		for ; !f.c.now.Before(nextShort); nextShort = nextShort.Add(f.interval(floodShortRate)) {
			f.short = append(f.short, f.c.submitShort(f.rnd, len(f.short)+1))
		}
		f.tick()
	}
	for end := f.c.now.Add(6 * time.Second); f.c.now.Before(end); {
		f.tick()
	}
}

// interval draws the time between two jobs that arrive at the given rate a second.
func (f *longFlood) interval(rate float64) time.Duration {
	return time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second))
}

func (f *longFlood) tick() {
	if !f.replaceAt.IsZero() && !f.c.now.Before(f.replaceAt) {
		f.c.replaceLeader()
		f.replaceAt = time.Time{}
	}
	f.c.tick()
	f.c.noteCompleted(f.short)
	if f.c.now.UnixMilli()%100 >= clusterTick.Milliseconds() {
		return
	}
	for _, j := range f.long {
		f.watch(j)
	}
}

// watch cancels a long-running job when it is time, and until then records when all its
// tasks ran first and for how long one did not run since.
func (f *longFlood) watch(j *longJob) {
	switch {
	case f.c.accepted[j.id] == nil:
	case !f.c.now.Before(j.cancelAt):
		f.c.cancel(j.id)
		j.cancelAt = f.c.now.Add(time.Hour)
		j.absent = nil
	case j.absent == nil:
	case j.begun.IsZero() && f.c.runningOf(j.id) == longTasks:
		j.begun = f.c.now
	case !j.begun.IsZero():
		j.longestAbsence = max(j.longestAbsence, j.absent.update(f.c, j.id, longTasks))
	}
}

// longestAbsence returns the longest time that a long-running task which ran before did
// not run.
func (f *longFlood) longestAbsence() time.Duration {
	longest := time.Duration(0)
	for _, j := range f.long {
		longest = max(longest, j.longestAbsence)
	}
	return longest
}

// longRunningUse returns the part of all processors that long-running tasks take now.
func (f *longFlood) longRunningUse() float64 {
	tasks := 0
	for _, j := range f.long {
		tasks += f.c.runningOf(j.id)
	}
	return float64(tasks*longCPU) / float64(floodWorkers*64000)
}

// checkFlood checks what callers are owed in the flood: short jobs want less than their
// share and are in time, long-running ones have at least the half that is theirs, and
// tasks that ran before run again soon.
func (f *longFlood) checkFlood(t *testing.T) {
	t.Helper()
	if got := inTimeShare(f.short); got < 0.9 {
		t.Errorf("%.2f of the short jobs are in time, want 0.90", got)
	}
	if got := f.longRunningUse(); got < 0.5 {
		t.Errorf("long-running tasks use %.2f of the room, want at least half", got)
	}
	if got := f.longestAbsence(); got > maxAbsence {
		t.Errorf("a task that ran before did not run for %s, want at most %s", got, maxAbsence)
	}
}

// TestShortJobsInAFloodOfLongRunningOnes guards against long-running jobs that fill all
// workers: short jobs that want less than their share then wait until they are late.
func TestShortJobsInAFloodOfLongRunningOnes(t *testing.T) {
	for seed := range uint64(2) {
		f := newLongFlood(t, seed+1, true)
		f.play()
		f.checkFlood(t)
	}
}

// TestInterruptedTasksInAFlood guards against shares that hold tasks back which ran
// before their worker left.
func TestInterruptedTasksInAFlood(t *testing.T) {
	f := newLongFlood(t, 3, true)
	leaving := f.c.workers["w001"]
	f.c.after(15*time.Second, func() { f.c.drain(leaving) })
	f.c.after(17500*time.Millisecond, func() { f.c.depart(leaving) })
	f.play()
	f.checkFlood(t)
}

// TestLeaderLostInAFlood guards against a new leader that stops work for long-running
// jobs which were held before, as it takes them for interrupted ones: of the attempts
// that run, it may stop a twentieth while it learns of them.
func TestLeaderLostInAFlood(t *testing.T) {
	f := newLongFlood(t, 4, true)
	f.replaceAt = f.c.now.Add(20 * time.Second)
	running := 0
	f.c.after(20*time.Second, func() {
		f.c.keepNotes = true
		_, running = f.c.machine.Jobs()
	})
	f.c.after(20*time.Second+2*f.c.options.Lease, func() { f.c.keepNotes = false })
	f.play()
	f.checkFlood(t)
	if preempted := f.c.preempted(); preempted > running/20 {
		t.Errorf("%d of %d attempts were preempted after the takeover", preempted, running)
	}
}

// preempted counts the attempts that were preempted while notes were kept.
func (c *cluster) preempted() int {
	count := 0
	for _, n := range c.notes {
		if n.Decision == joblog.MessageAttemptStopped && strings.HasPrefix(n.Reason, "preempted") {
			count++
		}
	}
	return count
}

// heldLongRunning returns a cluster with room for three more tasks like all of its tasks.
// Short tasks have lately used it, and long-running ones have the half that is theirs.
func heldLongRunning(t *testing.T) *cluster {
	c := newClusterWith(t, 1, 4, Policies{ShareRoom: true})
	c.checkRounds = true
	c.submit(1, "urgent", makeStep(5, 4000, time.Minute))
	c.submit(2, "urgent", makeStep(3, 4000, 2*time.Second))
	c.submit(3, "urgent", longRunning(8, 4000))
	c.run(6 * time.Second)
	return c
}

// TestNewLongRunningTaskWaitsForABoundedTime guards against a new long-running job that
// the reserve of short work holds for ever.
func TestNewLongRunningTaskWaitsForABoundedTime(t *testing.T) {
	c := heldLongRunning(t)
	id := c.submit(4, "urgent", longRunning(1, 4000))
	c.run(time.Second)
	if c.runningOf(id) != 0 {
		t.Fatal("the task runs in the room that short work has lately used")
	}
	c.run(maxStartWait)
	if c.runningOf(id) != 1 {
		t.Errorf("the task does not run after %s", maxStartWait)
	}
}

// TestShareIsTheReasonOfAWait guards against a step that its share holds and that is
// said to wait for room, of which there is enough.
func TestShareIsTheReasonOfAWait(t *testing.T) {
	c := heldLongRunning(t)
	c.keepNotes = true
	c.submit(4, "urgent", longRunning(1, 4000))
	c.run(2 * time.Second)
	if !c.hasNote(joblog.MessageStepWaits, "share of room taken 4") || !c.hasNote(joblog.MessageShareBinds, "reserve") {
		t.Errorf("the share is not noted: %v", c.notes)
	}
}

// TestLongRunningRoomLeavesTheReserve guards against long-running jobs that are accepted
// for room which is kept for short work.
func TestLongRunningRoomLeavesTheReserve(t *testing.T) {
	c := heldLongRunning(t)
	free := int64(0)
	for _, w := range c.machine.workers.All() {
		free += w.room().MilliCPU
	}
	if got := c.machine.longRunningRoom("pool"); free != 12000 || got > 1000 {
		t.Errorf("%d thousandths of a core are left for long-running tasks, of %d free ones", got, free)
	}
}

// TestSharesHoldNothingWhileHalfIsFree guards against a job without a running task
// although less than half of the capacity is in use: its queue has a third of the weight.
func TestSharesHoldNothingWhileHalfIsFree(t *testing.T) {
	c := newClusterWith(t, 1, 4, Policies{ShareRoom: true})
	c.submit(1, "urgent", makeStep(40, 2000, time.Second))
	c.run(3 * time.Second)
	id := c.submit(2, "batch", longRunning(7, 4000))
	c.run(time.Second)
	if n := c.runningOf(id); n != 7 {
		t.Errorf("%d of 7 tasks run, want all: nothing else is in use", n)
	}
}

// TestQueueBelowItsShareGoesFirst guards against a queue whose few jobs wait behind the
// backlog of another queue of the same priority, because that one's jobs are due earlier.
func TestQueueBelowItsShareGoesFirst(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.options.Policies.ShareRoom = true
	for _, name := range []string{"many", "few"} {
		c.config.Queues[name] = &job.Queue{Name: name, Service: "pool", MaxAttempts: 3, Stretch: 1, LatencyTargetMs: 20000}
	}
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	for i := range 150 {
		c.submit(100+i, "many", makeStep(1, 2000, time.Second))
	}
	c.run(500 * time.Millisecond)
	id := c.submit(1, "few", makeStep(4, 2000, time.Second))
	c.run(3 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the job is %s after the time that two tasks take, want completed", s)
	}
}

// TestLongRunningTaskAboveItsShareStopsNothing guards against a long-running job that may
// exceed its share after a long wait, and stops short work of its priority for that.
func TestLongRunningTaskAboveItsShareStopsNothing(t *testing.T) {
	c := heldLongRunning(t)
	c.keepNotes = true
	c.submit(4, "urgent", makeStep(3, 4000, time.Minute))
	c.run(time.Second)
	c.submit(5, "urgent", longRunning(1, 4000))
	c.run(maxStartWait + 5*time.Second)
	if n := c.preempted(); n > 0 {
		t.Errorf("%d attempts were preempted, want none", n)
	}
}

// TestHeldTasksMakeRoomOnceForTheSameShare guards against held tasks which all find that
// one more of them keeps to the share, and each stop short work to make room for itself.
func TestHeldTasksMakeRoomOnceForTheSameShare(t *testing.T) {
	c := newClusterWith(t, 1, 4, Policies{ShareRoom: true})
	c.submit(1, "urgent", longRunning(6, 4000))
	small := []job.ID{c.submit(2, "urgent", longRunning(1, 3000)), c.submit(3, "urgent", longRunning(1, 3000))}
	c.run(time.Second)
	c.submit(4, "urgent", makeStep(24, 2000, time.Minute))
	c.run(time.Second)
	for i := range 5 {
		c.submit(10+i, "urgent", longRunning(1, 4000))
	}
	c.run(2 * time.Second)
	c.keepNotes = true
	for _, id := range small {
		c.cancel(id)
	}
	c.run(5 * time.Second)
	// The half that is theirs has room for two more of 4 cores, where tasks of 2 cores run.
	if n := c.preempted(); n > 4 {
		t.Errorf("%d attempts were preempted, want at most 4", n)
	}
}
