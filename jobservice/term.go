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

// loop is the control goroutine of a term. It returns whether a later leader
// has been seen.
func (t *term) loop(ctx context.Context) (deposed bool) {
	timer := time.NewTimer(jobsched.TickInterval)
	defer timer.Stop()
	if t.pending != nil {
		t.sendCommit(ctx, *t.pending)
	}
	clock := t.leader.o.Clock
	pace := pace{log: t.leader.log.WithField("epoch", t.epoch), metrics: t.leader.o.Metrics}
	for {
		var ev jobsched.Event
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		case ask := <-t.leader.questions:
			ask(t.machine)
		case ev = <-t.stored:
		case ev = <-t.events:
		}
		if ev != nil {
			if t.handle(ev) {
				return true
			}
			// What comes within a moment is handled together: to act costs far
			// more than to take an event in.
			time.Sleep(gatherTime)
		}
		began, waiting := clock.Now(), len(t.events)+len(t.stored)
		over, deposed := t.step(ctx)
		pace.step(began, clock.Now(), waiting)
		if over {
			return deposed
		}
		timer.Reset(jobsched.TickInterval)
	}
}

// step takes in the events that wait and acts on them. It returns whether the
// term is over, and whether because a later leader has been seen.
func (t *term) step(ctx context.Context) (over, deposed bool) {
	if t.drain() {
		return true, true
	}
	l := t.leader
	if !l.mayAct() {
		return true, false
	}
	if t.carryOut(ctx, t.machine.Advance(l.o.Clock.Now(), l.o.Clock.Wall())) {
		return true, true
	}
	jobs, attempts := t.machine.Jobs()
	l.o.Metrics.jobs.Set(float64(jobs))
	l.o.Metrics.attempts.Set(float64(attempts))
	l.o.Metrics.unheard.Set(float64(t.machine.UnansweredWorkers()))
	return false, false
}

// drain handles the events that wait, first what was read from the store, and
// returns whether the term is over. Cancels must not wait among the answers of
// hundreds of workers.
func (t *term) drain() bool {
	return t.drainFrom(t.stored) || t.drainFrom(t.events)
}

func (t *term) drainFrom(events <-chan jobsched.Event) bool {
	for range eventBatch {
		select {
		case ev := <-events:
			if t.handle(ev) {
				return true
			}
		default:
			return false
		}
	}
	return false
}

// commitFailed says that another leader has written the ledger.
type commitFailed struct{ jobsched.Committed }

func (t *term) handle(ev jobsched.Event) (over bool) {
	switch ev := ev.(type) {
	case commitFailed:
		return true
	case committedAt:
		t.ledger = ev.revision
		t.pending = nil
		t.machine.Handle(t.leader.o.Clock.Now(), ev.Committed)
	default:
		t.machine.Handle(t.leader.o.Clock.Now(), ev)
	}
	return false
}

// carryOut carries out effects, and returns whether the machine is deposed.
func (t *term) carryOut(ctx context.Context, effects []jobsched.Effect) (deposed bool) {
	for _, e := range effects {
		switch e := e.(type) {
		case jobsched.Note:
			t.note(e)
		case jobsched.Deposed:
			deposed = true
		case jobsched.Commit:
			t.pending = &e
			t.sendCommit(ctx, e)
		default:
			t.order(ctx, e)
		}
	}
	return deposed
}

// note writes a decision to the log. Routine ones are bounded: what is left out
// is counted and told with the next that is not.
func (t *term) note(n jobsched.Note) {
	l := t.leader
	l.o.Metrics.decisions.WithLabelValues(n.Decision).Inc()
	if n.Lag > 0 {
		l.o.Metrics.lag.WithLabelValues(n.Decision).Observe(n.Lag.Seconds())
	}
	if n.Routine && !l.routine.Allow() {
		l.leftOut++
		return
	}
	fields := logrus.Fields{"decision": n.Decision, "reason": n.Reason, "epoch": t.epoch}
	if l.leftOut > 0 {
		fields["leftOut"] = l.leftOut
		l.leftOut = 0
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

// committedAt is a Committed with the revision that it left.
type committedAt struct {
	jobsched.Committed
	revision int64
}

// sendCommit stores a commit in the background.
func (t *term) sendCommit(ctx context.Context, c jobsched.Commit) {
	ledger := t.ledger
	go t.commit(ctx, c, ledger)
}

// commit stores a commit and posts its outcome.
func (t *term) commit(ctx context.Context, c jobsched.Commit, ledger int64) {
	if ev := t.store(ctx, c, ledger); ev != nil {
		t.post(ctx, ev)
	}
}

// store tries until the commit is certainly made, another leader has come, or ctx
// ends. It returns the event that tells which, nil for the last.
func (t *term) store(ctx context.Context, c jobsched.Commit, ledger int64) jobsched.Event {
	began := time.Now()
	defer func() { t.leader.o.Metrics.commitTime.Observe(time.Since(began).Seconds()) }()
	changes := t.changes(c)
	condition := []port.Condition{{Key: ledgerKey, Kind: port.CompareModRevision, Revision: ledger}}
	for ctx.Err() == nil {
		result, err := t.leader.o.Store.Txn(ctx, condition, changes)
		switch {
		case err != nil:
			t.leader.log.WithError(err).WithField("commit", c.Number).Debug("commit is tried again")
			Pause(ctx, commitPause)
		case result.Succeeded:
			return committedAt{jobsched.Committed{Number: c.Number}, result.Revision}
		default:
			if ev := t.settleCommit(ctx, c); ev != nil {
				return ev
			}
		}
	}
	return nil
}

// settleCommit finds out whether a commit whose condition no longer holds was
// made by an earlier try, or another leader has come. It returns nil when the
// store could not be asked.
func (t *term) settleCommit(ctx context.Context, c jobsched.Commit) jobsched.Event {
	kv, err := t.leader.get(ctx, ledgerKey)
	if err != nil {
		Pause(ctx, commitPause)
		return nil
	}
	record, err := decodeLedger(kv)
	if err != nil {
		// No leader writes such a value: another writer has put it over the ledger,
		// and with it what told whether the commit was made. The term ends, and the
		// next leader writes the ledger anew and reads what was stored.
		t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindLedger, kv, err, "another writer has written it, and the term ends")
	}
	if err == nil && record.Incarnation == t.leader.o.Incarnation && record.Number == c.Number {
		return committedAt{jobsched.Committed{Number: c.Number}, kv.ModRevision}
	}
	return commitFailed{}
}

// changes returns the writes of a commit.
func (t *term) changes(c jobsched.Commit) []port.Op {
	record := ledgerRecord{
		Incarnation: t.leader.o.Incarnation, Number: c.Number, Summary: c.Summary,
		RosterStands: c.RosterValid, RosterAge: c.RosterAge, UnseenCrash: c.UnseenCrash,
		RosterLostLeft: c.RosterLostLeft,
	}
	changes := []port.Op{{Key: ledgerKey, Value: encodeRecord(record)}}
	if c.Roster != nil {
		changes = append(changes, port.Op{Key: rosterKey, Value: encodeRecord(c.Roster)}, fleetChange(c.Roster))
	}
	if c.Learned != nil {
		changes = append(changes, port.Op{Key: learnedKey, Value: encodeRecord(c.Learned)})
	}
	for _, p := range c.Puts {
		changes = append(changes, port.Op{Key: progressKey(p.ID), Value: p.Progress.Encode()})
	}
	for _, id := range c.RemoveAccepted {
		changes = append(changes, port.Op{Key: acceptedKey(id), Delete: true})
	}
	for _, id := range c.RemoveProgress {
		changes = append(changes, port.Op{Key: progressKey(id), Delete: true})
	}
	return changes
}

// finish stores what the leader knows, after the commit in flight, so that the
// next one finds it: above all what may run on which worker. It returns whether
// that is certainly stored. It is given as long as the lead's lease lasts, since
// two commits in turn take long while the store is slow.
func (t *term) finish() bool {
	ctx, cancel := context.WithTimeout(context.Background(), t.leader.o.LeaderTTL)
	defer cancel()
	if t.drain() || !t.settlePending(ctx) {
		return false
	}
	clock := t.leader.o.Clock
	last, notes := t.machine.HandOver(clock.Now(), clock.Wall())
	for _, n := range notes {
		t.note(n)
	}
	_, stored := t.store(ctx, last, t.ledger).(committedAt)
	return stored
}

// settlePending waits for the commit in flight, and returns whether there is none
// any more and the term goes on.
func (t *term) settlePending(ctx context.Context) bool {
	if t.pending == nil {
		return true
	}
	ev := t.store(ctx, *t.pending, t.ledger)
	return ev != nil && !t.handle(ev)
}

// post hands the outcome of a commit to the control goroutine.
func (t *term) post(ctx context.Context, ev jobsched.Event) { hand(ctx, t.events, ev) }

// postStored hands it what was read from the store.
func (t *term) postStored(ctx context.Context, ev jobsched.Event) { hand(ctx, t.stored, ev) }

func hand(ctx context.Context, events chan<- jobsched.Event, ev jobsched.Event) {
	select {
	case events <- ev:
	case <-ctx.Done():
	}
}

// encodeRecord marshals the records of this package, which all have a JSON form.
func encodeRecord(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func isKind(err error, kind port.StoreErrorKind) bool {
	var failure *port.StoreError
	return errors.As(err, &failure) && failure.Kind == kind
}
