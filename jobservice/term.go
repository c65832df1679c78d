package jobservice

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// loop is the control goroutine of a term. It runs until ctx ends or the term is
// over, and reports whether a later leader has deposed this one.
func (t *term) loop(ctx context.Context) (deposed bool) {
	timer := time.NewTimer(jobsched.TickInterval)
	defer timer.Stop()
	if t.pending != nil {
		t.sendCommit(ctx, *t.pending)
	}
	clock := t.leader.o.Clock
	log := t.leader.log.WithField("epoch", t.epoch)
	monitor := stepMonitor{log: log, metrics: t.leader.o.Metrics}
	t.load.start(log)
	for {
		var arrived queuedEvent
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		case query := <-t.leader.queries:
			query(t.machine)
		case outcome := <-t.commitOutcomes:
			if t.handleOutcome(ctx, outcome) {
				return true
			}
			t.load.begin(partIdle)
			continue
		case arrived = <-t.storeEvents:
		case arrived = <-t.events:
		}
		if arrived.event != nil {
			t.load.begin(jobsched.PartOther)
			if t.handle(arrived) {
				return true
			}
			t.load.begin(partIdle)
			// Events that arrive within gatherTime are handled in one step, because a
			// step costs far more than handling an event.
			time.Sleep(gatherTime)
		}
		began, waiting := clock.Now(), len(t.events)+len(t.storeEvents)
		over, deposed := t.runStep(ctx)
		monitor.record(began, clock.Now(), waiting)
		t.load.recordStep(t.machine.UnstoredJobs(), t.machine.UnacknowledgedWorkers(), t.machine.JobMemory().UsedBytes)
		if over {
			return deposed
		}
		timer.Reset(jobsched.TickInterval)
	}
}

// runStep handles the pending events and executes the effects of the machine. over
// reports whether the term has ended, deposed whether it ended because a later leader
// was seen.
func (t *term) runStep(ctx context.Context) (over, deposed bool) {
	t.load.begin(jobsched.PartOther)
	if t.drain(func(outcome queuedEvent) bool { return t.handleOutcome(ctx, outcome) }) {
		return true, true
	}
	l := t.leader
	if !l.mayAct() {
		return true, false
	}
	effects := t.machine.Advance(l.o.Clock.Now(), l.o.Clock.Wall())
	t.load.begin(partEffects)
	if t.execute(ctx, effects) {
		return true, true
	}
	t.load.begin(jobsched.PartOther)
	jobs, attempts := t.machine.Jobs()
	l.o.Metrics.jobs.Set(float64(jobs))
	l.o.Metrics.jobMemory.Set(float64(t.machine.JobMemory().UsedBytes))
	l.o.Metrics.attempts.Set(float64(attempts))
	l.o.Metrics.unansweredWorkers.Set(float64(t.machine.UnansweredWorkers()))
	running, waiting := t.machine.Trials()
	l.o.Metrics.trialsRunning.Set(float64(running))
	l.o.Metrics.trialsWaiting.Set(float64(waiting))
	l.o.Metrics.slowWorkers.Set(float64(t.machine.SlowWorkers()))
	l.o.Metrics.setLongestWaits(t.machine.LongestWaits())
	l.o.Metrics.setRoomShares(t.machine.RoomShares())
	l.o.Metrics.copies.set(t.machine.Copies())
	return false, false
}

// handleOutcome handles the outcome of a commit, after which the next one can be sent,
// and reports whether the machine has been deposed.
func (t *term) handleOutcome(ctx context.Context, outcome queuedEvent) (deposed bool) {
	if t.handle(outcome) {
		return true
	}
	l := t.leader
	if !l.mayAct() {
		return false
	}
	deposed = t.execute(ctx, t.machine.AdvanceCommit(l.o.Clock.Now(), l.o.Clock.Wall()))
	t.load.begin(jobsched.PartOther)
	return deposed
}

// drain handles the pending events and reports whether the term is over. Events read
// from the store come first, so that cancellations do not queue behind the responses
// of hundreds of workers. The outcome of a commit is passed to onOutcome before any other
// event, and not at the end of the batch.
func (t *term) drain(onOutcome func(queuedEvent) (over bool)) bool {
	return t.drainFrom(t.storeEvents, onOutcome) || t.drainFrom(t.events, onOutcome)
}

func (t *term) drainFrom(events <-chan queuedEvent, onOutcome func(queuedEvent) (over bool)) bool {
	for range eventBatch {
		select {
		case outcome := <-t.commitOutcomes:
			if onOutcome(outcome) {
				return true
			}
		default:
		}
		select {
		case arrived := <-events:
			if t.handle(arrived) {
				return true
			}
		default:
			return false
		}
	}
	return false
}

// queuedEvent is an event for the control goroutine, and when it arrived.
type queuedEvent struct {
	event jobsched.Event
	at    time.Time
}

// newQueuedEvent returns an event that arrives now.
func newQueuedEvent(ev jobsched.Event) queuedEvent { return queuedEvent{event: ev, at: time.Now()} }

func (t *term) handle(arrived queuedEvent) (over bool) {
	t.load.recordEvent(time.Since(arrived.at))
	return t.handleEvent(arrived.event)
}

func (t *term) handleEvent(ev jobsched.Event) (over bool) {
	switch ev := ev.(type) {
	case commitSuperseded:
		return true
	case committedAt:
		t.ledger = ev.revision
		t.pending = nil
		t.machine.Handle(t.leader.o.Clock.Now(), ev.Committed)
	case jobsched.CommitRefused:
		t.pending = nil
		t.machine.Handle(t.leader.o.Clock.Now(), ev)
	default:
		t.machine.Handle(t.leader.o.Clock.Now(), ev)
	}
	return false
}

// execute executes effects and reports whether the machine has been deposed.
func (t *term) execute(ctx context.Context, effects []jobsched.Effect) (deposed bool) {
	for _, e := range effects {
		switch e := e.(type) {
		case jobsched.Note:
			t.note(e)
		case jobsched.Deposed:
			deposed = true
		case jobsched.Commit:
			t.pending = &e
			t.load.recordCommit()
			t.sendCommit(ctx, e)
		default:
			t.dispatch(ctx, e)
		}
	}
	return deposed
}

// note counts a decision and logs it. The lines of routine decisions are
// rate-limited: those left out are counted, and the next line that is written gives
// their number in the field leftOut.
func (t *term) note(n jobsched.Note) {
	l := t.leader
	l.o.Metrics.decisions.WithLabelValues(n.Decision).Inc()
	if n.Lag > 0 {
		l.o.Metrics.lag.WithLabelValues(n.Decision).Observe(n.Lag.Seconds())
	}
	if n.Routine && !l.routineLimiter.Allow() {
		l.suppressed++
		return
	}
	fields := logrus.Fields{"decision": n.Decision, "reason": n.Reason, "epoch": t.epoch}
	if l.suppressed > 0 {
		fields["leftOut"] = l.suppressed
		l.suppressed = 0
	}
	if n.Job != "" {
		fields["job"] = n.Job
	}
	if n.Task != "" {
		fields["task"] = n.Task
		fields["attempt"] = n.Attempt
	}
	if n.Worker.ID != "" {
		fields["worker"] = n.Worker.ID
	}
	if n.Worker.StartedMs != 0 {
		fields["startedMs"] = n.Worker.StartedMs
	}
	l.log.WithFields(fields).Info(n.Decision)
}

// post passes the outcome of a commit to the control goroutine.
func (t *term) post(ctx context.Context, ev jobsched.Event) { deliver(ctx, t.commitOutcomes, ev) }

// postStored passes an event read from the store to the control goroutine.
func (t *term) postStored(ctx context.Context, ev jobsched.Event) { deliver(ctx, t.storeEvents, ev) }

// deliver sends an event on a channel unless ctx ends first.
func deliver(ctx context.Context, events chan<- queuedEvent, ev jobsched.Event) {
	select {
	case events <- newQueuedEvent(ev):
	case <-ctx.Done():
	}
}

// encodeRecord encodes a record of this package as JSON. All these records can be
// encoded, so a failure panics.
func encodeRecord(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// isKind reports whether err is a *port.StoreError of the given kind.
func isKind(err error, kind port.StoreErrorKind) bool {
	var failure *port.StoreError
	return errors.As(err, &failure) && failure.Kind == kind
}
