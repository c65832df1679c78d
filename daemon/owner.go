package daemon

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

func (c *control) stepOwner(ev ownership.Event) {
	for _, cmd := range c.owner.Step(c.clock.Now(), ev) {
		c.doOwner(cmd)
	}
}

// ownerEvent passes an answer to the ownership machine.
type ownerEvent struct{ ev ownership.Event }

func (ev ownerEvent) apply(c *control) { c.stepOwner(ev.ev) }

func (c *control) doOwner(cmd ownership.Command) {
	switch cmd := cmd.(type) {
	case ownership.GrantLease:
		c.grantLease(cmd)
	case ownership.KeepAlive:
		c.keepAlive(cmd)
	case ownership.RevokeLease:
		c.storeCall(storebudget.ClassLease, func(ctx context.Context) (event, error) {
			return nil, c.o.Ports.Store.RevokeLease(ctx, cmd.ID)
		})
	case ownership.ReadOwner:
		c.list(storebudget.ClassRead, cmd.Prefix, func(kvs []port.KeyValue, _ int64, err error) event {
			return ownerEvent{ownership.OwnerRead{Shard: cmd.Shard, KVs: kvs, Err: err}}
		})
	case ownership.Acquire:
		c.txn(storebudget.ClassCommit, cmd.Conditions, cmd.Ops, func(r port.TxnResult, err error) event {
			return ownerEvent{ownership.AcquireAnswered{Shard: cmd.Shard, Result: r, Err: err}}
		})
	case ownership.Release:
		c.txn(storebudget.ClassCommit, cmd.Conditions, cmd.Ops, func(_ port.TxnResult, err error) event {
			return ownerEvent{ownership.ReleaseAnswered{Shard: cmd.Shard, Err: err}}
		})
	case ownership.ShardAcquired:
		c.shardAcquired(cmd)
	case ownership.ShardLost:
		c.shardLost(cmd)
	case ownership.Drained:
		c.drain.shardsReleased = true
	}
}

func (c *control) grantLease(cmd ownership.GrantLease) {
	sent := c.clock.Now()
	c.storeCall(storebudget.ClassLease, func(ctx context.Context) (event, error) {
		id, err := c.o.Ports.Store.GrantLease(ctx, cmd.TTL)
		return ownerEvent{ownership.LeaseGranted{ID: id, TTL: cmd.TTL, SentAt: sent, Err: err}}, err
	})
}

func (c *control) keepAlive(cmd ownership.KeepAlive) {
	sent := c.clock.Now()
	c.storeCall(storebudget.ClassLease, func(ctx context.Context) (event, error) {
		ttl, err := c.o.Ports.Store.KeepAlive(ctx, cmd.ID)
		return ownerEvent{ownership.KeptAlive{ID: cmd.ID, TTL: ttl, SentAt: sent, Err: err}}, err
	})
}

func (c *control) shardAcquired(cmd ownership.ShardAcquired) {
	c.record(timeline.Event{
		Kind:  timeline.ShardAcquired,
		Shard: timeline.ShardPtr(cmd.Shard),
		Epoch: cmd.Epoch,
	})
	c.log.WithField("shard", cmd.Shard).WithField("epoch", cmd.Epoch).Info("shard acquired")
	s := newShard(c, cmd.Shard, cmd.Epoch, cmd.At)
	c.shards[cmd.Shard] = s
	s.stepLedger(ledger.Acquired{Epoch: cmd.Epoch})
}

func (c *control) shardLost(cmd ownership.ShardLost) {
	s := c.shards[cmd.Shard]
	if s == nil {
		return
	}
	c.record(timeline.Event{
		Kind:   timeline.ShardLost,
		Shard:  timeline.ShardPtr(cmd.Shard),
		Epoch:  s.epoch,
		Detail: string(cmd.Reason),
	})
	c.log.WithField("shard", cmd.Shard).WithField("reason", cmd.Reason).Info("shard lost")
	delete(c.shards, cmd.Shard)
	s.lost = true
	s.stepLedger(ledger.OwnershipLost{})
}

// judgePredecessors finds out whether earlier owners of the shard can still be
// renewing, as long as it matters to one of its workers.
func (s *shard) judgePredecessors() {
	if s.awaitsPredecessors() {
		s.predecessorsOver = s.c.members.OutageRenewalsEnded(s.acquiredAt, s.c.o.Session.PredecessorExpiry())
	}
}

func (s *shard) awaitsPredecessors() bool {
	if s.predecessorsOver {
		return false
	}
	for _, w := range s.workers {
		if w.session.AwaitsPredecessors() {
			return true
		}
	}
	return false
}

// awaitsStore reports whether the members' next answers about the store can
// settle what a shard's workers wait for. Earlier answers cannot.
func (c *control) awaitsStore(now time.Time) bool {
	for _, s := range c.shards {
		due := s.acquiredAt.Add(c.o.Session.PredecessorExpiry())
		if !now.Before(due) && s.awaitsPredecessors() {
			return true
		}
	}
	return false
}

// mayAct returns what the lease allows at this moment for a shard.
func (c *control) mayAct(now time.Time, s *shard) (full, renewOnly bool) {
	if s.lost {
		return false, false
	}
	if c.owner.MayCommit(now) {
		return true, false
	}
	return false, c.owner.MayRenew(now, s.id)
}
