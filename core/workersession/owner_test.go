package workersession_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
)

// taskRow is a task's row in the ledger.
type taskRow struct {
	key        model.TaskKey
	attempt    model.Attempt
	worker     int // -1: pending
	running    bool
	stopping   bool
	discard    bool // stopping without a checkpoint
	checkpoint string
}

func (r taskRow) attemptKey() model.AttemptKey {
	return model.AttemptKey{Task: r.key, Attempt: r.attempt}
}

// owner is one daemon that owns or owned the shard.
type owner struct {
	host             *host
	epoch            model.Epoch
	acquired         time.Time
	predecessorsOver bool // the attempts of all its predecessors are over
	sessions         []*workersession.Session
	leaseEnd         time.Time
	lost             bool       // the store reported that its lease is gone
	inbox            []delivery // responses that are handled when it runs
	ledger           []taskRow  // its own view, which becomes stale once it is replaced
}

// takeOver creates a new owner from the committed ledger if a host can acquire the
// shard.
func (w *world) takeOver(clean bool) {
	h := w.nextHost()
	if h == nil {
		return
	}
	epoch := model.Epoch(1)
	if w.current != nil {
		epoch = w.current.epoch + 1
		w.old = append(w.old, w.current)
	}
	o := &owner{host: h, epoch: epoch, acquired: w.now, predecessorsOver: clean, leaseEnd: w.now.Add(storeLease)}
	for i := range w.agents {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		o.sessions = append(o.sessions, workersession.New(id, 0, epoch, w.now, clean, w.opt))
	}
	w.current = o
	w.sendDesired(o)
}

// takeOverIfLapsed replaces an owner whose lease lapsed in the store. A store that was
// down for all hosts extends its leases when it returns.
func (w *world) takeOverIfLapsed() {
	down := !slices.ContainsFunc(w.hosts, func(h *host) bool { return !w.now.Before(h.cutOff) })
	if w.storeDown && !down {
		w.current.leaseEnd = w.now.Add(storeLease)
	}
	w.storeDown = down
	if !down && w.now.After(w.current.leaseEnd) {
		w.takeOver(false)
	}
}

// drive runs one owner for a step, unless it is paused.
func (w *world) drive(o *owner) {
	if w.paused(o.host) {
		return
	}
	if w.hasStore(o.host) {
		o.lost = o.lost || o != w.current
		if !o.lost {
			o.leaseEnd = w.now.Add(storeLease)
		}
	}
	w.updatePredecessors(o)
	may := w.permission(o)
	for i := range o.sessions {
		w.step(o, i, may)
	}
	inbox := o.inbox
	o.inbox = nil
	for _, d := range inbox {
		ev := workersession.Answered{ID: d.id, Resp: d.resp, ReceivedAt: w.now}
		if d.failure {
			ev.Err = context.DeadlineExceeded
		}
		w.step(o, d.worker, ev)
	}
	for i := range o.sessions {
		w.step(o, i, workersession.Tick{})
	}
}

// permission returns the permission of an owner: everything while its lease is valid, and
// renewals without one while a majority of the hosts confirms an outage.
func (w *world) permission(o *owner) workersession.Permission {
	may := workersession.Permission{PredecessorsOver: o.predecessorsOver || w.skipProof}
	if o.lost {
		return may
	}
	may.Full, may.Until = w.now.Before(o.leaseEnd), o.leaseEnd
	if may.Full {
		return may
	}
	confirmed := o.host.machine.StoreSilentAt()
	may.Until = confirmed.Add(worldGrace)
	may.RenewOnly = !confirmed.IsZero() && w.now.Before(may.Until)
	return may
}

func (w *world) updatePredecessors(o *owner) {
	if o.predecessorsOver || o != w.current {
		return
	}
	end := w.opt.PredecessorExpiry()
	o.predecessorsOver = o.host.machine.OutageRenewalsEnded(o.acquired, end)
	o.host.awaits = !o.predecessorsOver && !w.now.Before(o.acquired.Add(end))
}

func (w *world) step(o *owner, i int, ev workersession.Event) {
	for _, c := range o.sessions[i].Step(w.now, ev) {
		switch c := c.(type) {
		case workersession.Send:
			w.send(o, i, c)
		case workersession.Observed:
			w.observed(o, c)
		case workersession.Over:
			w.ended(o, c.Attempt, "")
		}
	}
}

func (w *world) observed(o *owner, c workersession.Observed) {
	if c.State != workersession.StateRunning {
		w.ended(o, c.Attempt, c.Checkpoint)
		return
	}
	row := &w.ledger[c.Attempt.Task.Index]
	if o == w.current && row.attemptKey() == c.Attempt && !row.running {
		row.running = true
		w.sendDesired(o)
	}
}

// ended commits the end of an attempt if o is still the owner.
func (w *world) ended(o *owner, key model.AttemptKey, checkpoint string) {
	row := &w.ledger[key.Task.Index]
	if o != w.current || row.attemptKey() != key || row.worker < 0 {
		return
	}
	if checkpoint != "" {
		row.checkpoint = checkpoint
	}
	row.worker = -1
	row.running = false
	row.stopping = false
	row.discard = false
	w.sendDesired(o)
}

// sendDesired gives the owner's sessions the desired state of the committed ledger.
func (w *world) sendDesired(o *owner) {
	o.ledger = slices.Clone(w.ledger)
	for i := range o.sessions {
		w.step(o, i, workersession.Desired{Tasks: desiredTasks(o.ledger, i)})
	}
}

func desiredTasks(ledger []taskRow, worker int) []workersession.DesiredTask {
	var list []workersession.DesiredTask
	for _, row := range ledger {
		if row.worker != worker {
			continue
		}
		kind := workersession.Start
		switch {
		case row.stopping:
			kind = workersession.Stop
		case row.running:
			kind = workersession.Keep
		}
		list = append(list, workersession.DesiredTask{
			Attempt:    row.attemptKey(),
			Kind:       kind,
			Checkpoint: row.stopping && !row.discard,
			Start:      &workerv1.Start{MilliCpu: 1000, MemoryMb: 1000, Checkpoint: row.checkpoint},
		})
	}
	return list
}
