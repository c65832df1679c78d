package dissemination

import (
	"cmp"
	"slices"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Push is one message to a child: an ExchangeRequest with these additional
// contents (Composer.PushRequest). Its end must be reported to
// Broadcaster.PushDone.
type Push struct {
	Peer model.DaemonID
	// Shards are the shards whose lists are sent, as held by the table when the
	// request is built.
	Shards []uint32
	// Leaving are hints to send.
	Leaving []*peerv1.LeavingTarget
	// Config is whether to send the configuration, and ConfigBase is the
	// revision from which to send a delta.
	Config     bool
	ConfigBase uint64
}

// outbox batches the changes for one child, each with its push tree.
type outbox struct {
	shards  map[uint32]pushTree
	leaving map[string]hintItem
	config  *configItem
}

type hintItem struct {
	tree pushTree
	hint *peerv1.LeavingTarget
}

type configItem struct {
	tree pushTree
	base uint64
}

func newOutbox() *outbox {
	return &outbox{shards: make(map[uint32]pushTree), leaving: make(map[string]hintItem)}
}

// addConfig keeps the newest tree and the oldest base, so that the delta covers
// all batched changes.
func (b *outbox) addConfig(t pushTree, base uint64) {
	if b.config != nil {
		base = min(base, b.config.base)
	}
	b.config = &configItem{tree: t, base: base}
}

func (b *outbox) push(peer model.DaemonID) Push {
	p := Push{Peer: peer}
	for shard := range b.shards {
		p.Shards = append(p.Shards, shard)
	}
	slices.Sort(p.Shards)
	for _, h := range b.leaving {
		p.Leaving = append(p.Leaving, h.hint)
	}
	slices.SortFunc(p.Leaving, func(x, y *peerv1.LeavingTarget) int {
		return cmp.Compare(x.GetAddress(), y.GetAddress())
	})
	if b.config != nil {
		p.Config, p.ConfigBase = true, b.config.base
	}
	return p
}
