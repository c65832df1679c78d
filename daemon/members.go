package daemon

import (
	"context"
	"slices"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/dissemination"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/timeline"
)

// protocolVersion is the version of the protocol between daemons.
const protocolVersion = 1

// configSource lets the composer read the configuration in force.
type configSource struct{ state *config.State }

// Revision implements dissemination.ConfigSource.
func (s configSource) Revision() uint64 { return uint64(s.state.Revision()) }

// Hash implements dissemination.ConfigSource.
func (s configSource) Hash() uint64 {
	if s.state.Current() == nil {
		return 0
	}
	return s.state.Current().Hash()
}

// DeltaSince implements dissemination.ConfigSource.
func (s configSource) DeltaSince(rev uint64) *peerv1.ConfigDelta {
	return s.state.DeltaSince(model.Revision(rev))
}

func (c *control) stepMembers(ev membership.Event) {
	for _, cmd := range c.members.Step(c.clock.Now(), ev) {
		switch cmd := cmd.(type) {
		case membership.ExchangeWith:
			c.exchange(cmd)
		case membership.Changed:
			c.membersChanged()
		}
	}
}

func (c *control) exchange(cmd membership.ExchangeWith) {
	req := c.composer.Request(cmd.Peer)
	req.InboxNotices = c.takeInboxNotices(cmd.Peer)
	c.startExchange(cmd, time.Time{}, req)
}

// startExchange runs one exchange; started is zero for one that the membership
// machine asked for, which knows when that was.
func (c *control) startExchange(cmd membership.ExchangeWith, started time.Time, req *peerv1.ExchangeRequest) {
	c.exec.start(func() event {
		ctx, cancel := context.WithTimeout(c.ctx, cmd.Timeout)
		defer cancel()
		resp, err := c.o.Ports.Peers.Exchange(ctx, cmd.Address, req)
		return exchangeAnswered{peer: cmd.Peer, started: started, resp: resp, err: err}
	})
}

// exchangeAnswered ends an exchange that this daemon started.
type exchangeAnswered struct {
	peer    model.DaemonID
	started time.Time
	resp    *peerv1.ExchangeResponse
	err     error
	// pushed is whether the exchange carried a push of the spreader.
	pushed bool
}

func (ev exchangeAnswered) apply(c *control) {
	if ev.pushed {
		c.spreader.PushDone(ev.peer, ev.err == nil)
	}
	c.stepMembers(membership.ExchangeDone{Peer: ev.peer, Started: ev.started, Resp: ev.resp, Err: ev.err})
	if ev.err != nil {
		return
	}
	c.heardFrom(ev.resp.GetSender())
	taken := c.composer.MergeResponse(c.clock.Now(), ev.resp)
	c.took(taken, false)
	c.takeDelta(ev.resp.GetConfig(), false)
	c.peersHeard[ev.peer] = true
}

// exchangeRequested is an exchange that another daemon started.
type exchangeRequested struct {
	req   *peerv1.ExchangeRequest
	reply chan<- *peerv1.ExchangeResponse
}

func (ev exchangeRequested) apply(c *control) {
	sender := ev.req.GetSender()
	c.stepMembers(membership.Received{From: sender, Members: ev.req.GetMembers()})
	c.heardFrom(sender)
	c.took(c.composer.MergeRequest(c.clock.Now(), ev.req), true)
	c.takeDelta(ev.req.GetConfig(), true)
	for _, id := range ev.req.GetInboxNotices() {
		c.noticeInbox(model.ShardID(id))
	}
	ev.reply <- c.composer.Response(ev.req)
}

// took acts on what an exchange brought. What came by push goes on along the
// tree; what repaired this daemon does not.
func (c *control) took(taken dissemination.Changes, pushed bool) {
	if len(taken.Lists) > 0 {
		c.tables.dirty = true
	}
	for _, hint := range taken.Leaving {
		c.engine.MarkLeaving(hint.GetAddress())
		c.tables.dirty = true
	}
	if pushed {
		c.spreader.ListsChanged(taken.Lists)
		c.spreader.HintsAdded(taken.Leaving, false)
	}
}

// pushChanges starts the pushes that are due along the trees.
func (c *control) pushChanges() {
	for _, push := range c.spreader.Next() {
		member, known := c.view.Member(push.Peer)
		if !known {
			c.spreader.PushDone(push.Peer, false)
			continue
		}
		req := c.composer.PushRequest(push)
		started := c.clock.Now()
		c.exec.start(func() event {
			ctx, cancel := context.WithTimeout(c.ctx, c.o.Timing.PeerCall)
			defer cancel()
			resp, err := c.o.Ports.Peers.Exchange(ctx, member.Address, req)
			return exchangeAnswered{peer: push.Peer, started: started, resp: resp, err: err, pushed: true}
		})
	}
}

func (c *control) membersChanged() {
	before := c.view
	c.view = c.members.View()
	c.recordMembers(before)
	c.offerCandidates(c.clock.Now())
	c.spreader.SetMembers(c.view.Active())
	c.homes.setView(c.view)
	c.tables.dirty = true
	c.chooseConfigWatch()
	if budget, ok := c.o.Ports.Store.(storeBudget); ok {
		budget.SetDaemons(max(1, len(c.view.Active())))
	}
	if connections, ok := c.o.Ports.Peers.(peerConnections); ok {
		connections.Retain(c.peerAddresses())
	}
}

// storeBudget is a store client that divides the store's rates by the number
// of daemons.
type storeBudget interface{ SetDaemons(daemons int) }

// peerConnections is a peer client that keeps connections, of which those to
// other addresses are to be closed.
type peerConnections interface{ Retain(addresses []string) }

func (c *control) peerAddresses() []string {
	var addresses []string
	for _, m := range c.view.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

var memberKinds = map[membership.State]timeline.Kind{
	membership.Alive:   timeline.MemberAlive,
	membership.Suspect: timeline.MemberSuspect,
	membership.Dead:    timeline.MemberDead,
	membership.Leaving: timeline.MemberLeaving,
}

func (c *control) recordMembers(before *membership.View) {
	for _, m := range c.view.Members {
		old, known := before.Member(m.ID)
		kind, named := memberKinds[m.State]
		if !named || known && old.State == m.State && old.Incarnation == m.Incarnation {
			continue
		}
		c.record(timeline.Event{Kind: kind, Subject: string(m.ID)})
		c.log.WithField("member", m.ID).WithField("state", m.State).Info("member changed state")
	}
}

// offerCandidates says which daemons may own shards. One that cannot reach the
// store can neither keep a shard nor acquire one: as the right owner of a shard
// it would keep the others from stepping in until its tasks' leases are over.
// While the store is silent here too, nobody is left out.
func (c *control) offerCandidates(now time.Time) {
	ids := c.view.Candidates()
	if now.Sub(c.storeAnswered) < storeSilentAfter {
		ids = slices.DeleteFunc(ids, c.cutOffFromStore)
	}
	c.stepOwner(ownership.Members{Candidates: ids})
}

func (c *control) cutOffFromStore(id model.DaemonID) bool {
	m, known := c.members.View().Member(id)
	return known && id != c.o.Identity.ID && m.StoreSilent >= storeSilentAfter
}

// tellMembers refreshes what this daemon says of itself.
func (c *control) tellMembers(now time.Time) {
	local := membership.LocalState{
		ConfigRevision: c.config.Revision(),
		StoreSilent:    now.Sub(c.storeAnswered),
		AwaitsMajority: c.awaitsStore(now),
	}
	for _, id := range c.sortedShards() {
		s := c.shards[id]
		local.OwnedShards = append(local.OwnedShards, membership.ShardEpoch{
			Shard: id, Epoch: s.epoch, Free: s.largestRoom(),
		})
	}
	c.stepMembers(local)
}

func (c *control) sortedShards() []model.ShardID {
	ids := make([]model.ShardID, 0, len(c.shards))
	for id := range c.shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// noticeStoreSilence records when the store stops and begins to answer.
func (c *control) noticeStoreSilence(now time.Time) {
	silent := now.Sub(c.storeAnswered) > storeSilentAfter
	if silent == c.storeSilent {
		return
	}
	c.storeSilent = silent
	kind := timeline.StoreAnswering
	if silent {
		kind = timeline.StoreSilent
	}
	c.record(timeline.Event{Kind: kind})
	c.log.WithField("silent", silent).Warn("store changed state")
}

// storeSilentAfter is the silence from which the store counts as silent. A
// daemon calls the store at least once per lease renewal, so this is longer
// than the time between two renewals.
const storeSilentAfter = 6 * time.Second

// leavingSeen is told by the engine when a target said that it is leaving.
type leavingSeen struct{ service, address string }

func (ev leavingSeen) apply(c *control) {
	hints := []*peerv1.LeavingTarget{{Address: ev.address}}
	fresh := c.table.MarkLeaving(c.clock.Now(), hints)
	if len(fresh) == 0 {
		return
	}
	c.record(timeline.Event{Kind: timeline.TargetLeaving, Subject: ev.address, Detail: "its own word"})
	c.spreader.HintsAdded(fresh, true)
	c.tables.dirty = true
}
