package jobsched

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// copyLoad makes attempts of a cluster slow at random.
type copyLoad struct {
	// allowing draws which steps allow copies; nil if only those do that are submitted
	// as such.
	allowing *rand.Rand
	// slowing draws which attempts take slowFactor times as long, slowShare of them; nil
	// for none.
	slowing    *rand.Rand
	slowShare  float64
	slowFactor int
	// slowWorkers maps workers to how many times as long all attempts take there.
	slowWorkers map[model.WorkerID]int
	// late is set while an order is carried out late.
	late bool
	// canceledAt is when jobs were canceled.
	canceledAt map[job.ID]time.Time
	// most is the largest number of attempts of a task that ran at the same time.
	most int
	// started counts the starts of copies, won those that were done first.
	started, won int
}

// count counts the notes about copies.
func (l *copyLoad) count(n Note) {
	switch {
	case n.Decision == joblog.MessageAttemptStarted && strings.HasPrefix(n.Reason, "copy of "):
		l.started++
	case n.Decision == joblog.MessageCopyWon:
		l.won++
	}
}

// allowSome makes each step allow copies with a probability of one half.
func (l *copyLoad) allowSome(steps []job.Step) {
	for i := range steps {
		if l.allowing != nil && !steps[i].LongRunning {
			steps[i].Speculative = l.allowing.IntN(2) == 0
		}
	}
}

// slowed returns how long an attempt takes on a worker that takes d on a usual one.
func (l *copyLoad) slowed(w *fakeWorker, d time.Duration) time.Duration {
	if l.slowing != nil && l.slowing.Float64() < l.slowShare {
		d *= time.Duration(l.slowFactor)
	}
	if factor := l.slowWorkers[w.entry.ID]; factor > 0 {
		d *= time.Duration(factor)
	}
	return d
}

// noteCanceled records when a job was canceled first.
func (l *copyLoad) noteCanceled(id job.ID, now time.Time) {
	if l.canceledAt == nil {
		l.canceledAt = make(map[job.ID]time.Time)
	}
	if _, known := l.canceledAt[id]; !known {
		l.canceledAt[id] = now
	}
}

// allowsCopies reports whether two attempts of a task of the step may run at the same
// time.
func (c *cluster) allowsCopies(step *job.Step) bool {
	return c.options.Policies.CopyStragglers && step.Speculative && !step.Gang
}

// copyGrace is how long after the acknowledgement of a task's last end, or of the cancel
// of its job, a start of it may still arrive by the platform's contract.
const copyGrace = time.Second

// checkCopyStart checks a start of a task that may have copies: at most two attempts run
// at the same time, and none starts over copyGrace after the task was settled or has
// failed as often as it may. Orders that are carried out late are exempt from the
// bounds in time.
func (c *cluster) checkCopyStart(s Start, w *fakeWorker, truth *taskTruth) {
	at := c.now.Sub(testEpoch)
	c.copies.most = max(c.copies.most, len(truth.running)+1)
	if len(truth.running) > 1 {
		c.t.Errorf("%s: %s attempt %d is started on %s while the task runs on %v", at, s.Key, s.Attempt, w.entry.ID, truth.running)
	}
	if c.copies.late {
		return
	}
	if truth.settled && c.now.Sub(truth.settledAt) > copyGrace {
		c.t.Errorf("%s: %s is started on %s after it is done", at, s.Key, w.entry.ID)
	}
	limit := c.config.Queues[c.queueOf(s.Key.Job)].MaxAttempts
	if truth.failures >= limit && c.now.Sub(truth.failedAt) > copyGrace {
		c.t.Errorf("%s: %s is started after %d failures", at, s.Key, truth.failures)
	}
}

// queueOf returns the queue of a job; that with the most attempts if its record is gone.
func (c *cluster) queueOf(id job.ID) string {
	if a := c.accepted[id]; a != nil {
		return a.Queue.Name
	}
	return "batch"
}

// checkCanceled checks that nothing is started of a job that was canceled over copyGrace
// before.
func (c *cluster) checkCanceled(s Start, w *fakeWorker) {
	at, canceled := c.copies.canceledAt[s.Key.Job]
	if canceled && !c.copies.late && c.now.Sub(at) > copyGrace {
		c.t.Errorf("%s: %s is started on %s, %s after its job was canceled", c.now.Sub(testEpoch), s.Key, w.entry.ID, c.now.Sub(at))
	}
}
