package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/port"
)

const (
	prefix      = "/guavarill/test/"
	worldShards = 2
	worldTasks  = 5
	leaseTTL    = 10 * time.Second
	step        = 250 * time.Millisecond
	// maxCallsAtOnce is the maximum number of successive calls while no time passes.
	maxCallsAtOnce = 1000
)

// daemon is one owner under test: its ownership and one ledger per shard.
type daemon struct {
	name    model.DaemonID
	owner   *ownership.Machine
	ledgers []*ledger.Ledger
	paused  bool
	inbox   []answer
}

// world simulates two daemons and one store. It also records what an observer of every
// revision of the store has seen.
type world struct {
	t       *testing.T
	now     time.Time
	store   *fakeStore
	daemons []*daemon
	calls   []*request
	late    []*request // timed out at the daemon; may still reach the store
	failure string

	history      []map[uint64]string // per shard: replayed contents by sequence
	attempts     map[model.TaskKey]model.Attempt
	placed       map[model.AttemptKey]model.WorkerID
	live         map[model.TaskKey]bool
	owners       []int64
	notCommitted map[string]bool
	labels       int
	created      int
	commits      int
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0),
		attempts:     make(map[model.TaskKey]model.Attempt),
		placed:       make(map[model.AttemptKey]model.WorkerID),
		live:         make(map[model.TaskKey]bool),
		owners:       make([]int64, worldShards),
		notCommitted: make(map[string]bool),
	}
	w.store = newFakeStore(w.observe)
	names := []model.DaemonID{"d1", "d2"}
	for range worldShards {
		w.history = append(w.history, map[uint64]string{0: dump(emptyContents())})
	}
	for i, name := range names {
		d := &daemon{name: name, owner: ownership.New(name, "10.0.0.1:1", ownership.Options{
			KeyPrefix: prefix, LeaseTTL: leaseTTL, Margin: 2 * time.Second,
			OutageGrace: 20 * time.Second, SettleTime: 5 * time.Second,
			FallbackAfter: 3 * time.Second, Seed: uint64(i),
		})}
		for shard := range worldShards {
			d.ledgers = append(d.ledgers, ledger.New(model.ShardID(shard), string(name), ledger.Options{
				KeyPrefix: prefix, MaxDeltas: 3, FlushInterval: step, InboxInterval: 5 * time.Second,
			}))
		}
		w.daemons = append(w.daemons, d)
		w.owner(d, ownership.Shards{Count: worldShards})
		w.owner(d, ownership.Members{Candidates: names})
	}
	return w
}

func emptyContents() *ledger.Contents {
	stored, _ := ledger.Read(prefix, 0, nil)
	return stored.Contents
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// owner gives an event to the daemon's ownership machine and executes its commands.
func (w *world) owner(d *daemon, ev ownership.Event) {
	for _, c := range d.owner.Step(w.now, ev) {
		switch c := c.(type) {
		case ownership.ShardAcquired:
			w.ledger(d, c.Shard, ledger.Acquired{Epoch: c.Epoch})
		case ownership.ShardLost:
			w.ledger(d, c.Shard, ledger.OwnershipLost{})
		default:
			w.send(d, c)
		}
	}
	w.checkOneOwner()
}

type ledgerCall struct {
	shard   model.ShardID
	command ledger.Command
}

func (w *world) ledger(d *daemon, shard model.ShardID, ev ledger.Event) {
	l := d.ledgers[shard]
	for _, c := range l.Step(w.now, ev) {
		switch c := c.(type) {
		case ledger.Commit:
			if !d.owner.MayCommit(w.now) {
				refused := &port.StoreError{Kind: port.StoreCallCanceled, Outcome: port.OutcomeNotDone}
				w.ledger(d, shard, ledger.TxnAnswered{ID: c.ID, Err: refused})
				continue
			}
			w.send(d, ledgerCall{shard, c})
		case ledger.Load, ledger.ReadBack, ledger.ListInbox:
			w.send(d, ledgerCall{shard, c})
		case ledger.Loaded:
			w.checkContents(d, shard)
		case ledger.Committed:
			w.commits++
			w.checkContents(d, shard)
		case ledger.Dropped:
			w.noteDropped(c)
		case ledger.StandDown:
			w.owner(d, ownership.LedgerStoodDown{Shard: shard})
		}
	}
}

// noteDropped records changes that the ledger reported as not committed.
func (w *world) noteDropped(c ledger.Dropped) {
	if c.Reason != ledger.DropOwnershipLost {
		return
	}
	for _, change := range c.Changes {
		if change.Put != nil {
			w.notCommitted[change.Put.Reason] = true
		}
	}
}

func (w *world) advance(by time.Duration) {
	w.now = w.now.Add(by)
	w.store.expire(w.now)
	for _, d := range w.daemons {
		if d.paused {
			continue
		}
		w.owner(d, ownership.Tick{})
		for shard := range d.ledgers {
			w.ledger(d, model.ShardID(shard), ledger.Tick{})
		}
	}
}

// heal runs the world without faults for a while. After that every shard must have one
// active owner that has committed all its changes, and an empty inbox.
func (w *world) heal() {
	for _, d := range w.daemons {
		d.paused = false
		w.owner(d, ownership.Members{Candidates: []model.DaemonID{"d1", "d2"}})
	}
	w.run(90 * time.Second)
	for shard := range worldShards {
		w.checkHealed(model.ShardID(shard))
	}
}

// run advances the time by d without faults.
func (w *world) run(d time.Duration) {
	for range d / step {
		w.advance(step)
		for n := 0; len(w.calls) > 0; n++ {
			if n > maxCallsAtOnce {
				w.fail("more than maxCallsAtOnce calls in a row, the next is %+v", w.calls[0].command)
				return
			}
			w.deliverCall(0, false)
		}
		for _, d := range w.daemons {
			for len(d.inbox) > 0 {
				a := d.inbox[0]
				d.inbox = d.inbox[1:]
				a.deliver(d)
			}
		}
	}
}
