package dissemination

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// DefaultMaxBytes bounds a message with its lists. A whole configuration, which
// cannot be divided, goes beyond it alone; see MaxMessageBytes of package
// grpcpeer.
const DefaultMaxBytes = 256 << 10

// MemberSource gives the member records of a message; *membership.Machine is
// one.
type MemberSource interface {
	OutgoingTo(peer model.DaemonID) (self *peerv1.Member, records []*peerv1.Member)
}

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// Revision is 0 while no configuration is known.
	Revision() uint64
	Hash() uint64
	// DeltaSince returns the change from revision rev, or the whole document
	// when rev is 0 or too old, or nil when there is nothing newer.
	DeltaSince(rev uint64) *peerv1.ConfigDelta
}

// Composer puts messages together. It is driven by one goroutine.
type Composer struct {
	cluster  string
	protocol uint32
	maxBytes int
	members  MemberSource
	table    *Table
	config   ConfigSource
}

// NewComposer returns a composer; maxBytes is DefaultMaxBytes when 0.
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

// PushRequest returns the request that carries a push. Lists beyond the byte
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

// Response returns the response to req. Call it after req's contents were
// taken in: a list just received is then not sent back.
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

// configFor returns what a peer lacks of the configuration. A peer with the
// same revision and another hash is sent the whole document, which it checks.
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

// Changes is what a message brought that was new here.
type Changes struct {
	Lists   []*peerv1.ShardTargets
	Leaving []*peerv1.LeavingTarget
}

// MergeRequest takes in the lists and hints of a request; call it before
// Response. What it returns is to be given to the Spreader, as it may have
// come along a tree.
func (c *Composer) MergeRequest(now time.Time, req *peerv1.ExchangeRequest) Changes {
	return Changes{
		Lists:   c.table.Install(req.GetTargets()),
		Leaving: c.table.MarkLeaving(now, req.GetLeaving()),
	}
}

// MergeResponse takes in the lists, hints and digest of a response. What it
// returns repairs this daemon and is not to be pushed on: others that lack it
// repair themselves, and a push by each of them would multiply the traffic.
func (c *Composer) MergeResponse(now time.Time, resp *peerv1.ExchangeResponse) Changes {
	taken := Changes{
		Lists:   c.table.Install(resp.GetTargets()),
		Leaving: c.table.MarkLeaving(now, resp.GetLeaving()),
	}
	c.table.NoteDigest(resp.GetDigest().GetShards())
	return taken
}
