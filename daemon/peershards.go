package daemon

import (
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
)

// peerShard is what the owner of a shard last told of it.
type peerShard struct {
	owner model.DaemonID
	room  model.Resources
	heard time.Time
}

// heardFrom takes in what a daemon says of the shards it owns. A shard that it
// owned and names no more was given up by it.
func (c *control) heardFrom(sender *peerv1.Member) {
	owner := model.DaemonID(sender.GetId())
	named := make(map[model.ShardID]bool)
	for _, s := range sender.GetOwnedShards() {
		id := model.ShardID(s.GetShard())
		named[id] = true
		c.peerShards[id] = peerShard{
			owner: owner,
			heard: c.clock.Now(),
			room: model.Resources{
				MilliCPU: s.GetFreeMilliCpu(), MemoryMB: s.GetFreeMemoryMb(), Accelerators: s.GetFreeAccelerators(),
			},
		}
	}
	for _, id := range sortedKeys(c.peerShards) {
		if c.peerShards[id].owner == owner && !named[id] {
			delete(c.peerShards, id)
			c.stepOwner(ownership.ShardReleased{Shard: id})
		}
	}
}

// sendInboxNotices tells the owners of shards to which tasks were handed.
func (c *control) sendInboxNotices() {
	for _, to := range sortedKeys(c.inboxNotices) {
		told, known := c.peerShards[to]
		if !known {
			continue
		}
		if m, found := c.view.Member(told.owner); found && c.inboxNotices[to] {
			req := c.composer.Request(m.ID)
			req.InboxNotices = c.takeInboxNotices(m.ID)
			cmd := membership.ExchangeWith{Peer: m.ID, Address: m.Address, Timeout: c.o.Timing.PeerCall}
			c.startExchange(cmd, c.clock.Now(), req)
		}
	}
}

// takeInboxNotices returns the shards of a peer whose inbox has tasks that this
// daemon has not told it of.
func (c *control) takeInboxNotices(peer model.DaemonID) []uint32 {
	var notices []uint32
	for _, to := range sortedKeys(c.inboxNotices) {
		if c.peerShards[to].owner == peer {
			notices = append(notices, uint32(to))
			delete(c.inboxNotices, to)
		}
	}
	return notices
}
