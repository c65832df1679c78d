package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/placement"
	"github.com/guavarill/guavarill/core/quarantine"
	"github.com/guavarill/guavarill/core/scheduler"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

// shard is what this daemon keeps of a shard that it owns.
type shard struct {
	c          *control
	id         model.ShardID
	epoch      model.Epoch
	acquiredAt time.Time
	// predecessorsOver is whether no earlier owner's renewals can still hold on
	// workers that did not answer this one.
	predecessorsOver bool
	lost             bool
	loaded           bool

	ledger  *ledger.Ledger
	workers map[model.WorkerID]*worker
	judge   *quarantine.Evaluator
	placer  *placement.Placer
	evictor *eviction.Controller

	// synced is the configuration revision whose tasks the ledger holds.
	synced model.Revision
	// dirty asks for a scheduling cycle at the next tick.
	dirty   bool
	decided time.Time
	// published is the sequence and content of the last list of targets.
	published publishedTargets
}

func newShard(c *control, id model.ShardID, epoch model.Epoch, at time.Time) *shard {
	writer := string(c.o.Identity.ID) + "/" + c.o.Identity.Started.UTC().Format(time.RFC3339Nano)
	return &shard{
		c:          c,
		id:         id,
		epoch:      epoch,
		acquiredAt: at,
		ledger:     ledger.New(id, writer, c.ledgerOptions()),
		workers:    make(map[model.WorkerID]*worker),
		judge:      quarantine.NewEvaluator(quarantine.DefaultOptions()),
		placer:     placement.Default(placement.Options{Random: rand.NewPCG(c.random.Uint64(), 0)}),
		evictor:    eviction.NewController(eviction.DefaultOptions(), c.slowdowns),
	}
}

// ledgerOptions spaces the group commits of all shards of the cluster so that
// together they stay within the store's writes, whoever owns them.
func (c *control) ledgerOptions() ledger.Options {
	o := c.o.Ledger
	if c.o.CommitsPerSecond > 0 {
		fair := time.Duration(float64(c.topologyCount()) / c.o.CommitsPerSecond * float64(time.Second))
		o.FlushInterval = max(o.FlushInterval, fair)
	}
	return o
}

// propose offers changes to the ledger. What urgent work waits for is committed
// without waiting for the next group commit.
func (s *shard) propose(changes []ledger.Change) {
	if len(changes) > 0 {
		s.stepLedger(ledger.Propose{Changes: changes, Urgent: scheduler.HasUrgent(changes)})
	}
}

func (s *shard) stepLedger(ev ledger.Event) {
	for _, cmd := range s.ledger.Step(s.c.clock.Now(), ev) {
		s.doLedger(cmd)
	}
}

// ledgerEvent passes an answer to the ledger of a shard, if this daemon still
// owns it under the same epoch.
type ledgerEvent struct {
	s  *shard
	ev ledger.Event
}

func (ev ledgerEvent) apply(*control) { ev.s.stepLedger(ev.ev) }

func (s *shard) doLedger(cmd ledger.Command) {
	switch cmd := cmd.(type) {
	case ledger.Load:
		s.c.list(storebudget.ClassRead, cmd.Prefix, func(kvs []port.KeyValue, rev int64, err error) event {
			return ledgerEvent{s, ledger.LoadAnswered{KVs: kvs, Revision: rev, Err: err}}
		})
	case ledger.ListInbox:
		s.c.list(storebudget.ClassPoll, cmd.Prefix, func(kvs []port.KeyValue, _ int64, err error) event {
			return ledgerEvent{s, ledger.InboxListed{KVs: kvs, Err: err}}
		})
	case ledger.ReadBack:
		s.record(timeline.Event{Kind: timeline.LedgerCommitUnknown})
		s.c.list(storebudget.ClassReadBack, cmd.Prefix, func(kvs []port.KeyValue, _ int64, err error) event {
			return ledgerEvent{s, ledger.ReadAnswered{ID: cmd.ID, KVs: kvs, Err: err}}
		})
	case ledger.Commit:
		s.commit(cmd)
	case ledger.Loaded:
		s.ledgerLoaded(cmd)
	case ledger.Committed:
		s.committed(cmd)
	case ledger.Dropped:
		s.dropped(cmd)
	case ledger.StandDown:
		s.record(timeline.Event{Kind: timeline.LedgerStoodDown, Epoch: s.epoch})
		s.c.stepOwner(ownership.LedgerStoodDown{Shard: s.id})
	}
}

// commit sends a group commit, unless the lease on the shard is not certain.
func (s *shard) commit(cmd ledger.Commit) {
	if full, _ := s.c.mayAct(s.c.clock.Now(), s); !full {
		refused := &port.StoreError{Call: "txn", Kind: port.StoreCallCanceled, Outcome: port.OutcomeNotDone}
		s.c.exec.start(func() event {
			return ledgerEvent{s, ledger.TxnAnswered{ID: cmd.ID, Err: refused}}
		})
		return
	}
	s.c.metrics.commitBytes.Add(float64(cmd.Bytes))
	s.c.metrics.commits.Inc()
	s.c.txn(storebudget.ClassCommit, cmd.Conditions, cmd.Ops, func(r port.TxnResult, err error) event {
		return ledgerEvent{s, ledger.TxnAnswered{ID: cmd.ID, Result: r, Err: err}}
	})
}

func (s *shard) ledgerLoaded(cmd ledger.Loaded) {
	s.record(timeline.Event{Kind: timeline.LedgerLoaded, Epoch: s.epoch})
	s.loaded = true
	s.dirty = true
	for _, q := range s.ledger.Contents().Quarantines() {
		s.judge.Restore(q.Worker, q.Until, q.Level)
	}
	for t := range s.ledger.Contents().Tasks() {
		if t.State == ledger.Running {
			s.c.slowdowns.TaskStarted(s.c.clock.Now(), t.Worker, t.Key, t.Class)
		}
	}
	s.refreshWorkers()
	s.publishTargets()
}

func (s *shard) committed(cmd ledger.Committed) {
	for _, change := range cmd.Changes {
		s.recordChange(change)
		if needsSync(s.c.config.Current(), change) {
			s.synced = 0
		}
		if change.Handoff != nil {
			s.noticeHandoff(change.Handoff.To)
		}
	}
	s.c.sendInboxNotices()
	s.c.metrics.changes.Add(float64(len(cmd.Changes)))
	s.dirty = true
	s.wishAll()
	s.publishTargets()
}

func (s *shard) dropped(cmd ledger.Dropped) {
	if cmd.Reason == ledger.DropNoChange {
		return
	}
	s.synced = 0
	s.dirty = true
	s.c.metrics.dropped.WithLabelValues(string(cmd.Reason)).Add(float64(len(cmd.Changes)))
	for _, change := range cmd.Changes {
		if key, ok := change.TaskKey(); ok {
			s.record(timeline.Event{Kind: timeline.PlanRejected, Subject: key.String(), Detail: string(cmd.Reason)})
		}
	}
}

// record adds an event about this shard to the time line.
func (s *shard) record(e timeline.Event) {
	e.Shard = timeline.ShardPtr(s.id)
	s.c.record(e)
}

func (c *control) tickShards(now time.Time) {
	for _, id := range c.sortedShards() {
		s := c.shards[id]
		if s == nil {
			continue
		}
		s.stepLedger(ledger.Tick{})
		s.tickWorkers(now)
		s.tickPolicy(now)
		s.decide(now)
	}
}

// noticeInbox has a shard read its inbox, if this daemon owns it.
func (c *control) noticeInbox(id model.ShardID) {
	if s := c.shards[id]; s != nil {
		s.stepLedger(ledger.InboxNotice{})
	}
}

// noticeHandoff has the receiving shard read its inbox at once, here or by an
// exchange with its owner. A notice that is lost costs time only: an owner
// lists its inbox now and then anyway.
func (s *shard) noticeHandoff(to model.ShardID) {
	if s.c.shards[to] != nil {
		s.c.noticeInbox(to)
		return
	}
	s.c.inboxNotices[to] = true
}
