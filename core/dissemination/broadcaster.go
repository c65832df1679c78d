package dissemination

import (
	"slices"
	"strconv"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Broadcaster decides to which daemons changes are pushed. It must be used by
// one goroutine only.
//
// A child has at most one push in flight. Changes that occur meanwhile are
// batched, so that a child slower than the changes gets fewer, larger messages
// instead of a growing queue.
type Broadcaster struct {
	self    model.DaemonID
	fanout  int
	members []model.DaemonID
	pending map[model.DaemonID]*outbox
	// inFlight is the contents of each push in flight, which are pushed to the
	// child's children if it fails.
	inFlight map[model.DaemonID]*outbox
}

// NewBroadcaster returns a broadcaster without members. If fanout is not
// positive, it is DefaultFanout.
func NewBroadcaster(self model.DaemonID, fanout int) *Broadcaster {
	if fanout <= 0 {
		fanout = DefaultFanout
	}
	return &Broadcaster{
		self:     self,
		fanout:   fanout,
		pending:  make(map[model.DaemonID]*outbox),
		inFlight: make(map[model.DaemonID]*outbox),
	}
}

// SetMembers sets the daemons that form the trees: View.Candidates and those
// leaving, including this daemon. Pending changes for a daemon that is no
// longer among them are dropped; that daemon repairs itself when it returns.
func (s *Broadcaster) SetMembers(members []model.DaemonID) {
	s.members = slices.Clone(members)
	for id := range s.pending {
		if !slices.Contains(s.members, id) {
			delete(s.pending, id)
		}
	}
}

// ListsChanged queues pushes of lists that were installed, whether they were
// made here or pushed here.
func (s *Broadcaster) ListsChanged(lists []*peerv1.ShardTargets) {
	for _, l := range lists {
		owner := l.GetOwner()
		s.list(pushTree{key: owner, root: model.DaemonID(owner)}, s.self, l.GetShard())
	}
}

// HintsAdded queues pushes of new hints, whether they were first seen here or
// pushed here.
func (s *Broadcaster) HintsAdded(hints []*peerv1.LeavingTarget, seenHere bool) {
	for _, h := range hints {
		t := pushTree{key: h.GetAddress()}
		s.hint(t, s.self, h)
		if seenHere {
			s.sendToRoot(t, func(b *outbox) { b.leaving[h.GetAddress()] = hintItem{t, h} })
		}
	}
}

// ConfigChanged queues pushes of a configuration that replaced the one with
// revision base, whether it was read from the store here or pushed here.
func (s *Broadcaster) ConfigChanged(base, revision uint64, readHere bool) {
	t := pushTree{key: "config " + strconv.FormatUint(revision, 10)}
	s.config(t, s.self, base)
	if readHere {
		s.sendToRoot(t, func(b *outbox) { b.addConfig(t, base) })
	}
}

func (s *Broadcaster) list(t pushTree, from model.DaemonID, shard uint32) {
	for _, child := range t.children(from, s.members, s.fanout) {
		s.outbox(child).shards[shard] = t
	}
}

func (s *Broadcaster) hint(t pushTree, from model.DaemonID, h *peerv1.LeavingTarget) {
	for _, child := range t.children(from, s.members, s.fanout) {
		s.outbox(child).leaving[h.GetAddress()] = hintItem{t, h}
	}
}

func (s *Broadcaster) config(t pushTree, from model.DaemonID, base uint64) {
	for _, child := range t.children(from, s.members, s.fanout) {
		s.outbox(child).addConfig(t, base)
	}
}

// sendToRoot queues a change for the root of its tree.
func (s *Broadcaster) sendToRoot(t pushTree, add func(*outbox)) {
	order := t.order(s.members)
	if len(order) > 0 && order[0] != s.self {
		add(s.outbox(order[0]))
	}
}

func (s *Broadcaster) outbox(child model.DaemonID) *outbox {
	box := s.pending[child]
	if box == nil {
		box = newOutbox()
		s.pending[child] = box
	}
	return box
}

// Next returns the pushes to start now, ordered by peer.
func (s *Broadcaster) Next() []Push {
	var out []Push
	for _, id := range s.ready() {
		box := s.pending[id]
		delete(s.pending, id)
		s.inFlight[id] = box
		out = append(out, box.push(id))
	}
	return out
}

func (s *Broadcaster) ready() []model.DaemonID {
	var ids []model.DaemonID
	for id := range s.pending {
		if id != s.self && s.inFlight[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// PushDone reports the end of a push. Next must be called after it. A child
// that failed may not have received the changes, so they are queued for its own
// children. Otherwise one dead daemon near the root would leave up to a
// fanout-th of all entries to slower repair.
func (s *Broadcaster) PushDone(peer model.DaemonID, ok bool) {
	box := s.inFlight[peer]
	delete(s.inFlight, peer)
	if box == nil || ok {
		return
	}
	for shard, t := range box.shards {
		s.list(t, peer, shard)
	}
	for _, item := range box.leaving {
		s.hint(item.tree, peer, item.hint)
	}
	if box.config != nil {
		s.config(box.config.tree, peer, box.config.base)
	}
}
