package ledger_test

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/port"
)

// answer is a response in transit to a daemon. Only a response that identifies its
// call may be delivered twice.
type answer struct {
	deliver    func(*daemon)
	repeatable bool
}

// request is a call in transit to the store.
type request struct {
	from    *daemon
	command any
	sentAt  time.Time
}

func (w *world) send(d *daemon, command any) {
	w.calls = append(w.calls, &request{from: d, command: command, sentAt: w.now})
}

// execute executes the call in the store. It returns a function that delivers the
// response, or nil if there is none.
func (w *world) execute(r *request) func(*daemon) {
	switch c := r.command.(type) {
	case ownership.GrantLease:
		id := w.store.grant(w.now, c.TTL)
		return w.toOwner(ownership.LeaseGranted{ID: id, TTL: c.TTL, SentAt: r.sentAt})
	case ownership.KeepAlive:
		ev := ownership.KeptAlive{ID: c.ID, TTL: leaseTTL, SentAt: r.sentAt}
		if !w.store.keepAlive(w.now, c.ID, leaseTTL) {
			ev.Err = &port.StoreError{Kind: port.StoreLeaseNotFound, Outcome: port.OutcomeNotDone}
		}
		return w.toOwner(ev)
	case ownership.RevokeLease:
		w.store.revoke(c.ID)
	case ownership.ReadOwner:
		return w.toOwner(ownership.OwnerRead{Shard: c.Shard, KVs: w.store.list(c.Prefix)})
	case ownership.Acquire:
		ev := ownership.AcquireAnswered{Shard: c.Shard}
		if _, ok := w.store.leases[c.Ops[0].Lease]; ok {
			ev.Result = w.store.txn(c.Conditions, c.Ops)
		} else {
			ev.Err = &port.StoreError{Kind: port.StoreLeaseNotFound, Outcome: port.OutcomeNotDone}
		}
		return w.toOwner(ev)
	case ownership.Release:
		w.store.txn(c.Conditions, c.Ops)
		return w.toOwner(ownership.ReleaseAnswered{Shard: c.Shard})
	case ledgerCall:
		return w.executeLedger(c)
	}
	return nil
}

func (w *world) executeLedger(c ledgerCall) func(*daemon) {
	var ev ledger.Event
	switch call := c.command.(type) {
	case ledger.Load:
		ev = ledger.LoadAnswered{KVs: w.store.list(call.Prefix), Revision: w.store.revision}
	case ledger.ReadBack:
		ev = ledger.ReadAnswered{ID: call.ID, KVs: w.store.list(call.Prefix)}
	case ledger.ListInbox:
		ev = ledger.InboxListed{KVs: w.store.list(call.Prefix)}
	case ledger.Commit:
		ev = ledger.TxnAnswered{ID: call.ID, Result: w.store.txn(call.Conditions, call.Ops)}
	}
	return func(d *daemon) { w.ledger(d, c.shard, ev) }
}

func (w *world) toOwner(ev ownership.Event) func(*daemon) {
	return func(d *daemon) { w.owner(d, ev) }
}

// timeout returns a function that delivers the error of a call with an unknown
// outcome.
func (w *world) timeout(r *request) func(*daemon) {
	err := &port.StoreError{Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
	switch c := r.command.(type) {
	case ownership.GrantLease:
		return w.toOwner(ownership.LeaseGranted{SentAt: r.sentAt, Err: err})
	case ownership.KeepAlive:
		return w.toOwner(ownership.KeptAlive{ID: c.ID, SentAt: r.sentAt, Err: err})
	case ownership.ReadOwner:
		return w.toOwner(ownership.OwnerRead{Shard: c.Shard, Err: err})
	case ownership.Acquire:
		return w.toOwner(ownership.AcquireAnswered{Shard: c.Shard, Err: err})
	case ownership.Release:
		return w.toOwner(ownership.ReleaseAnswered{Shard: c.Shard, Err: err})
	case ledgerCall:
		var ev ledger.Event
		switch call := c.command.(type) {
		case ledger.Load:
			ev = ledger.LoadAnswered{Err: err}
		case ledger.ReadBack:
			ev = ledger.ReadAnswered{ID: call.ID, Err: err}
		case ledger.ListInbox:
			ev = ledger.InboxListed{Err: err}
		case ledger.Commit:
			ev = ledger.TxnAnswered{ID: call.ID, Err: err}
		}
		return func(d *daemon) { w.ledger(d, c.shard, ev) }
	}
	return nil
}

// executeLate executes a call in the store that has already timed out.
func (w *world) executeLate(choice int) {
	if len(w.late) == 0 {
		return
	}
	w.execute(takeRequest(&w.late, choice))
}

// deliverCall executes one of the calls in transit, and loses its response if lose is
// set.
func (w *world) deliverCall(choice int, lose bool) {
	if len(w.calls) == 0 {
		return
	}
	r := takeRequest(&w.calls, choice)
	deliver := w.execute(r)
	if lose && deliver != nil {
		deliver = w.timeout(r)
	}
	r.queueAnswer(deliver)
}

// takeRequest removes one of the requests, selected by choice, and returns it.
func takeRequest(requests *[]*request, choice int) *request {
	i := choice % len(*requests)
	r := (*requests)[i]
	*requests = slices.Delete(*requests, i, i+1)
	return r
}

// queueAnswer puts a response into the inbox of the daemon that made the call. It does
// nothing if deliver is nil, which means that there is no response.
func (r *request) queueAnswer(deliver func(*daemon)) {
	if deliver != nil {
		r.from.inbox = append(r.from.inbox, answer{deliver, r.repeatable()})
	}
}

func (r *request) repeatable() bool {
	switch c := r.command.(type) {
	case ownership.KeepAlive:
		return true
	case ledgerCall:
		_, isCommit := c.command.(ledger.Commit)
		_, isRead := c.command.(ledger.ReadBack)
		return isCommit || isRead
	}
	return false
}

// abandonCall lets a call time out while it is still in transit.
func (w *world) abandonCall(choice int) {
	if len(w.calls) == 0 {
		return
	}
	r := takeRequest(&w.calls, choice)
	w.late = append(w.late, r)
	r.queueAnswer(w.timeout(r))
}

// deliverAnswer delivers a response to a daemon. If duplicate is set and the response is
// repeatable, it is kept and may be delivered again.
func (w *world) deliverAnswer(choice int, duplicate bool) {
	d := w.daemons[choice%len(w.daemons)]
	if d.paused || len(d.inbox) == 0 {
		return
	}
	i := choice / 2 % len(d.inbox)
	a := d.inbox[i]
	if !duplicate || !a.repeatable {
		d.inbox = slices.Delete(d.inbox, i, i+1)
	}
	a.deliver(d)
}
