package jobsched

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

const (
	unevenWorkers = 32
	// servingJobs each have a task on servingTasks workers.
	servingJobs, servingTasks = 12, 8
	// slownessOfSome is how many times as long as elsewhere each fourth worker takes.
	slownessOfSome = 6
	// slowFor is how long these are slow, normalFor the time in which that is forgotten
	// where they get no work that shows it.
	slowFor, normalFor = 25 * time.Second, 22 * time.Second
	submitInterval     = 200 * time.Millisecond
	// learningTime is the time that a leader has to find them.
	learningTime = 6 * time.Second
)

// unevenDay is a day on which a quarter of the workers takes several times as long as the
// others for a while, without failing. They run serving tasks, short urgent jobs and
// best-effort work.
type unevenDay struct {
	*cluster
	rnd   *rand.Rand
	short []*shortJob
	// overTarget and served sum the times of serving tasks, above the target and in all,
	// once the slow workers could be known.
	overTarget, served time.Duration
	// mostAbsent is the largest number of tasks of a serving step without an attempt.
	mostAbsent int
	number     int
	// jobsAtOnce is how many short jobs are submitted each submitInterval.
	jobsAtOnce int
	// seenNotes is how many notes checkNewMoves has looked at.
	seenNotes int
	// cutAt holds since when workers are out of reach.
	cutAt map[model.WorkerID]time.Time
}

// newUnevenDay starts the serving tasks.
func newUnevenDay(t *testing.T, seed uint64, jobsAtOnce int, speeds bool) *unevenDay {
	d := &unevenDay{cluster: newCluster(t, seed, unevenWorkers), rnd: rand.New(rand.NewPCG(seed, 11)), number: 1000, jobsAtOnce: jobsAtOnce, cutAt: make(map[model.WorkerID]time.Time)}
	d.keepNotes = true
	d.options.Policies.WorkerSpeeds = speeds
	d.replaceLeader()
	d.run(200 * time.Millisecond)
	for i := range servingJobs {
		step := longRunning(servingTasks, 2500)
		step.LatencyTargetMs, step.MaxUnavailable, step.MaxPerWorker = 1000, 1, 1
		step.Image = fmt.Sprint("serving-", i%3)
		d.submit(1+i, "urgent", step)
	}
	d.play(8*time.Second, false)
	return d
}

// playSlow plays the time in which workers are slow by the given factor. The leader is
// lost halfway if replace is set.
func (d *unevenDay) playSlow(slowness float64, replace bool) {
	d.setSlowness(slowness)
	d.play(learningTime, false)
	if replace {
		d.play(slowFor/2-learningTime, true)
		d.replaceLeader()
		d.play(learningTime, false)
		d.play(slowFor/2-learningTime, true)
		return
	}
	d.play(slowFor-learningTime, true)
}

// setSlowness sets how many times as long each fourth worker takes.
func (d *unevenDay) setSlowness(slowness float64) {
	for i, id := range d.workerIDs() {
		if i%4 == 0 {
			d.workers[id].slowness = slowness
		}
	}
}

// play runs the load for a while, and counts what is served if measured is set.
func (d *unevenDay) play(duration time.Duration, measured bool) {
	for end := d.now.Add(duration); d.now.Before(end); {
		if d.now.Sub(testEpoch)%submitInterval == 0 {
			for range d.jobsAtOnce {
				d.submitLoad(measured)
			}
		}
		d.tick()
		d.noteCompleted(d.short)
		d.checkNewMoves()
		if measured {
			d.measureServing()
		}
	}
}

// submitLoad submits a short job and, less often, best-effort work. Jobs that are not
// measured are not kept.
func (d *unevenDay) submitLoad(measured bool) {
	d.number++
	step := makeStep(6, 1000, time.Duration(600+d.rnd.IntN(400))*time.Millisecond)
	step.Image = fmt.Sprint("short-", d.number%2)
	chain := time.Duration(step.EstimateMs) * time.Millisecond
	allowance := allowanceOf(d.config.Queues["urgent"], chain)
	j := &shortJob{at: d.now, chain: chain, allowance: allowance, id: d.submit(d.number, "urgent", step)}
	if measured {
		d.short = append(d.short, j)
	}
	if d.number%4 == 0 {
		filling := makeStep(4, 1000, 2*time.Second)
		filling.BestEffort, filling.Image = true, "filling"
		d.submit(100_000+d.number, "batch", filling)
	}
}

// measureServing counts the serving tasks that run, and those over their target.
func (d *unevenDay) measureServing() {
	for i := range servingJobs {
		absent := servingTasks
		for index := range servingTasks {
			truth := d.task(job.TaskKey{Job: job.ID(fmt.Sprintf("%016x", 1+i)), Index: index})
			for id := range truth.running {
				absent--
				d.served += clusterTick
				if cmp.Or(d.workers[id].slowness, 1)*float64(d.tail) > 100 {
					d.overTarget += clusterTick
				}
			}
		}
		d.mostAbsent = max(d.mostAbsent, absent)
	}
}

// checkNewMoves checks that the other tasks of a step from which one is moved all run, began
// long enough ago, and that their workers' last reports are recent.
func (d *unevenDay) checkNewMoves() {
	for _, n := range d.notes[d.seenNotes:] {
		if n.Decision != joblog.MessageTaskMoved {
			continue
		}
		for index := range servingTasks {
			key := job.TaskKey{Job: n.Job, Index: index}
			truth := d.task(key)
			available := key.String() == n.Task
			for id := range truth.running {
				available = available || d.isHeard(id) && d.now.Sub(truth.lastStart) >= unavailableNotice
			}
			if !available {
				d.t.Errorf("%s: %s is moved while %s is unavailable", d.now.Sub(testEpoch), n.Task, key)
			}
		}
	}
	d.seenNotes = len(d.notes)
}

// isHeard reports whether a report of the worker may be no older than maxReportAge.
func (d *unevenDay) isHeard(id model.WorkerID) bool {
	at, cut := d.cutAt[id]
	return !cut || d.now.Sub(at) <= maxReportAge
}

// stopsOf counts the attempts that were stopped for a reason.
func (d *unevenDay) stopsOf(reason string) int {
	n := 0
	for _, stopped := range d.notesOf(joblog.MessageAttemptStopped) {
		if stopped == reason {
			n++
		}
	}
	return n
}

// checkMoves checks that no task was moved to and fro.
func (d *unevenDay) checkMoves() {
	moves := make(map[string]int)
	for _, n := range d.notes {
		if n.Decision == joblog.MessageTaskMoved {
			moves[n.Task]++
		}
	}
	for task, n := range moves {
		if n > 1 {
			d.t.Errorf("task %s was moved %d times", task, n)
		}
	}
	if len(moves) == 0 {
		d.t.Error("no task was moved")
	}
}

// TestUnevenWorkers guards against a leader that does not notice that a quarter of the
// workers takes six times as long: short jobs wait for tasks there, serving tasks stay
// there over their targets, and what runs beside these is throttled and moved in vain.
// As many short jobs must be in time as where all workers are alike.
func TestUnevenWorkers(t *testing.T) {
	for _, test := range []struct {
		name       string
		jobsAtOnce int
		replaced   bool
	}{{"with room to spare", 1, false}, {"nearly full", 5, false}, {"leader lost", 3, true}} {
		t.Run(test.name, func(t *testing.T) {
			even := newUnevenDay(t, 1, test.jobsAtOnce, true)
			even.playSlow(1, test.replaced)
			d := newUnevenDay(t, 1, test.jobsAtOnce, true)
			d.playSlow(slownessOfSome, test.replaced)
			if slow := d.machine.doubtfulWorkers; slow != unevenWorkers/4 {
				t.Errorf("%d workers are slow, or were and were not seen since, want %d", slow, unevenWorkers/4)
			}
			if got, want := inTimeShare(d.short), inTimeShare(even.short); got < want-0.02 {
				t.Errorf("%.2f of the short jobs are in time, and %.2f where all workers are alike", got, want)
			}
			if over := d.overTarget.Seconds() / d.served.Seconds(); over > 0.1 {
				t.Errorf("serving tasks are over their target for %.2f of the time, want 0.1", over)
			}
			if d.mostAbsent > 1 {
				t.Errorf("%d tasks of a step were unavailable at once, allowed is 1", d.mostAbsent)
			}
			if n := d.stopsOf("it slows down the tasks beside it"); n > 0 {
				t.Errorf("%d best-effort attempts were stopped for tasks that they did not slow down", n)
			}
			d.checkMoves()
			t.Logf("%.2f in time, over target %.3f, moved %d", inTimeShare(d.short), d.overTarget.Seconds()/d.served.Seconds(), len(d.notesOf(joblog.MessageTaskMoved)))
		})
	}
}

// TestNothingIsMovedBesideAnUnavailableTask guards against more unavailable tasks than a
// step allows: workers are out of reach while others are slow.
func TestNothingIsMovedBesideAnUnavailableTask(t *testing.T) {
	d := newUnevenDay(t, 5, 1, true)
	d.setSlowness(slownessOfSome)
	for i, id := range d.workerIDs() {
		if i%8 == 1 {
			d.after(time.Duration(i)*300*time.Millisecond, func() { d.workers[id].partitioned, d.cutAt[id] = true, d.now })
		}
	}
	d.play(slowFor, false)
	d.checkMoves()
}

// TestWorkersThatRecoverAreUsed guards against workers that count as slow for good after
// they were.
func TestWorkersThatRecoverAreUsed(t *testing.T) {
	d := newUnevenDay(t, 2, 1, true)
	d.playSlow(slownessOfSome, false)
	d.setSlowness(1)
	d.play(normalFor, false)
	if slow := d.machine.SlowWorkers(); slow > 0 {
		t.Errorf("%d workers count as slow %s after they were", slow, normalFor)
	}
	moved := len(d.notesOf(joblog.MessageTaskMoved))
	id := d.submit(300_000, "urgent", makeStep(200, 1000, 2*time.Second))
	d.play(2*normalWorkerWait, false)
	onRecovered := 0
	for i, worker := range d.workerIDs() {
		for key := range d.workers[worker].attempts {
			if i%4 == 0 && key.task.Job == id {
				onRecovered++
			}
		}
	}
	if onRecovered == 0 {
		t.Error("none of 200 tasks runs on a worker that has recovered")
	}
	if again := len(d.notesOf(joblog.MessageTaskMoved)) - moved; again > 0 {
		t.Errorf("%d tasks were moved while all workers are normal", again)
	}
}

// TestSlowWorkersAreHandedOver guards against a new leader that takes slow workers for
// normal ones, because all work that shows their speed was moved.
func TestSlowWorkersAreHandedOver(t *testing.T) {
	for name, change := range map[string]func(*cluster){"planned": (*cluster).handOver, "lost": (*cluster).replaceLeader} {
		t.Run(name, func(t *testing.T) {
			d := newUnevenDay(t, 6, 1, true)
			d.playSlow(slownessOfSome, false)
			change(d.cluster)
			d.run(100 * time.Millisecond)
			if slow := d.machine.doubtfulWorkers; slow != unevenWorkers/4 {
				t.Errorf("%d workers are slow, or were and were not seen since, for the new leader, want %d", slow, unevenWorkers/4)
			}
		})
	}
}

// TestEvenWorkersAreNotSlow guards against workers that count as slow by chance.
func TestEvenWorkersAreNotSlow(t *testing.T) {
	d := newUnevenDay(t, 3, 3, true)
	d.play(20*time.Second, false)
	if n := len(d.notesOf(joblog.MessageWorkerSlow)) + len(d.notesOf(joblog.MessageTaskMoved)); n > 0 {
		t.Errorf("%d notes of slow workers or moved tasks, want none", n)
	}
}

// TestSpeedsAreNotUsedUnasked checks that nothing is learned or moved without the policy.
func TestSpeedsAreNotUsedUnasked(t *testing.T) {
	d := newUnevenDay(t, 1, 1, false)
	d.playSlow(slownessOfSome, false)
	if n := len(d.notesOf(joblog.MessageWorkerSlow)) + len(d.notesOf(joblog.MessageTaskMoved)); n > 0 || d.machine.SlowWorkers() > 0 {
		t.Errorf("%d notes of slow workers or moved tasks, want none", n)
	}
	t.Logf("%.2f in time, over target %.3f", inTimeShare(d.short), d.overTarget.Seconds()/d.served.Seconds())
}

// maxHarm is how long a task may be over its target because of the best-effort work
// beside it.
const maxHarm = 4 * time.Second

// TestBestEffortWorkIsThrottledOnUnevenWorkers guards against best-effort work that harms
// serving tasks for long because their worker is taken for the cause: on a slow worker,
// on one that has just recovered, and on one that was never slow.
func TestBestEffortWorkIsThrottledOnUnevenWorkers(t *testing.T) {
	for _, slowness := range []float64{1, 1.8, 6} {
		t.Run(fmt.Sprint("slowness ", slowness), func(t *testing.T) {
			d := newUnevenDay(t, 4, 2, true)
			d.disturbance = 1.5
			d.setSlowness(slowness)
			longest := d.longestHarm(15 * time.Second)
			d.setSlowness(1)
			longest = max(longest, d.longestHarm(15*time.Second))
			if longest > maxHarm {
				t.Errorf("a serving task was over its target for %s because of best-effort work, want at most %s", longest, maxHarm)
			}
			t.Logf("at most %s", longest)
		})
	}
}

// serves reports whether a serving task runs on the worker.
func (w *fakeWorker) serves() bool {
	for _, a := range w.attempts {
		if a.step.LatencyTargetMs > 0 {
			return true
		}
	}
	return false
}

// longestHarm plays the load and more best-effort work for a while, and returns for how
// long on end the serving tasks of a worker were over their target and would not have
// been without the best-effort work beside them.
func (d *unevenDay) longestHarm(duration time.Duration) time.Duration {
	longest := time.Duration(0)
	since := make(map[model.WorkerID]time.Time)
	for end := d.now.Add(duration); d.now.Before(end); {
		if d.now.Sub(testEpoch)%time.Second == 0 {
			d.number++
			filling := makeStep(40, 1000, 4*time.Second)
			filling.BestEffort, filling.Image = true, fmt.Sprint("loud-", d.number%2)
			d.submit(200_000+d.number, "batch", filling)
		}
		d.play(clusterTick, false)
		for id, w := range d.workers {
			alone := float64(d.tail) * cmp.Or(w.slowness, 1)
			if !w.serves() || alone > 100 || alone*w.disturbed() <= 100 {
				delete(since, id)
			} else if since[id].IsZero() {
				since[id] = d.now
			} else {
				longest = max(longest, d.now.Sub(since[id]))
			}
		}
	}
	return longest
}
