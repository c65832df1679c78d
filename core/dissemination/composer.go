package dissemination

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// DefaultMaxBytes bounds a message including its lists. Only a whole
// configuration, which cannot be divided, may exceed it; see MaxMessageBytes of
// package grpcpeer.
const DefaultMaxBytes = 256 << 10

// MemberSource supplies the member records of a message. *membership.Machine
// implements it.
type MemberSource interface {
	OutgoingTo(peer model.DaemonID) (self *peerv1.Member, records []*peerv1.Member)
}

// ConfigSource supplies the configuration in force.
type ConfigSource interface {
	// Revision is 0 while no configuration is known.
	Revision() uint64
	Hash() uint64
	// DeltaSince returns the change from revision rev, the whole document if
	// rev is 0 or too old, or nil if there is nothing newer.
	DeltaSince(rev uint64) *peerv1.ConfigDelta
}

// Composer builds messages and merges received ones. It must be used by one
// goroutine only.
type Composer struct {
	cluster  string
	protocol uint32
	maxBytes int
	members  MemberSource
	table    *Table
	config   ConfigSource
}

// NewComposer returns a composer. If maxBytes is 0, it is DefaultMaxBytes.
func NewComposer(cluster string, protocol uint32, maxBytes int, members MemberSource, table *Table, config ConfigSource) *Composer {
	if maxBytes == 0 {
		maxBytes = DefaultMaxBytes
	}
	return &Composer{
		cluster: cluster, protocol: protocol, maxBytes: maxBytes,
		members: members, table: table, config: config,
	}
}

// Request returns the request of a regular exchange with peer.
func (c *Composer) Request(peer model.DaemonID) *peerv1.ExchangeRequest {
	self, records := c.members.OutgoingTo(peer)
	return &peerv1.ExchangeRequest{
		Cluster:  c.cluster,
		Protocol: c.protocol,
		Sender:   self,
		Members:  records,
		Digest:   c.digest(c.table.Digest()),
		Leaving:  c.table.recentHints(),
	}
}

// PushRequest returns the request that contains a push. Lists beyond the byte
// bound are left to repair.
func (c *Composer) PushRequest(p Push) *peerv1.ExchangeRequest {
	req := c.Request(p.Peer)
	if len(p.Leaving) > 0 {
		req.Leaving = p.Leaving
	}
	if p.Config {
		req.Config = c.config.DeltaSince(p.ConfigBase)
	}
	left := c.maxBytes - proto.Size(req)
	for _, shard := range p.Shards {
		list := c.table.lists[shard]
		if list == nil {
			continue
		}
		size := proto.Size(list)
		if size > left && len(req.Targets) > 0 {
			break
		}
		left -= size
		req.Targets = append(req.Targets, list)
	}
	return req
}

// Response returns the response to req. It must be called after MergeRequest,
// so that a list just received is not sent back.
func (c *Composer) Response(req *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	self, records := c.members.OutgoingTo(model.DaemonID(req.GetSender().GetId()))
	versions := req.GetDigest().GetShards()
	resp := &peerv1.ExchangeResponse{
		Sender:  self,
		Members: records,
		Digest:  c.digest(c.table.responseDigest(versions)),
		Config:  c.configFor(req.GetDigest()),
		Leaving: c.table.recentHints(),
	}
	if left := c.maxBytes - proto.Size(resp); left > 0 {
		resp.Targets = c.table.newerThan(versions, min(left, MaxListBytes))
	}
	return resp
}

// configFor returns the part of the configuration that a peer lacks. A peer
// with the same revision and another hash is sent the whole document, which it
// checks.
func (c *Composer) configFor(d *peerv1.Digest) *peerv1.ConfigDelta {
	own, theirs := c.config.Revision(), d.GetConfigRevision()
	switch {
	case own == 0 || theirs > own:
		return nil
	case theirs < own:
		return c.config.DeltaSince(theirs)
	case d.GetConfigHash() != c.config.Hash():
		return c.config.DeltaSince(0)
	}
	return nil
}

func (c *Composer) digest(versions []*peerv1.ShardVersion) *peerv1.Digest {
	return &peerv1.Digest{
		ConfigRevision: c.config.Revision(),
		ConfigHash:     c.config.Hash(),
		Shards:         versions,
	}
}

// Changes are the contents of a message that were new to this daemon.
type Changes struct {
	Lists   []*peerv1.ShardTargets
	Leaving []*peerv1.LeavingTarget
}

// MergeRequest merges the lists and hints of a request. It must be called
// before Response. The returned changes must be passed to the Broadcaster, as
// the request may be a push along a tree.
func (c *Composer) MergeRequest(now time.Time, req *peerv1.ExchangeRequest) Changes {
	return Changes{
		Lists:   c.table.Install(req.GetTargets()),
		Leaving: c.table.MarkLeaving(now, req.GetLeaving()),
	}
}

// MergeResponse merges the lists, hints and digest of a response. The returned
// changes repair this daemon and must not be pushed: other daemons that lack
// them repair themselves, and a push by each of them would multiply the
// traffic.
func (c *Composer) MergeResponse(now time.Time, resp *peerv1.ExchangeResponse) Changes {
	taken := Changes{
		Lists:   c.table.Install(resp.GetTargets()),
		Leaving: c.table.MarkLeaving(now, resp.GetLeaving()),
	}
	c.table.NoteDigest(resp.GetDigest().GetShards())
	return taken
}
