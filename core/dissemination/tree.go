package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// DefaultFanout is how many children a daemon has in a push tree. With 4, 300
// daemons are reached in five steps.
const DefaultFanout = 4

// Children returns the daemons to which self pushes a change published by root:
// its children in the tree over members and root, in which all other members
// follow the root in the order of a hash of root and member. Daemons whose
// views of the members agree compute the same tree. Where the views differ,
// some daemons are pushed to twice and some are reached only by repair.
func Children(root, self model.DaemonID, members []model.DaemonID, fanout int) []model.DaemonID {
	return pushTree{key: string(root), root: root}.children(self, members, fanout)
}

// pushTree identifies a push tree. A tree with a root starts there. The others,
// for changes whose messages do not name their origin, start at the member that
// comes first in the order of the key's hash.
type pushTree struct {
	key  string
	root model.DaemonID
}

func (t pushTree) children(from model.DaemonID, members []model.DaemonID, fanout int) []model.DaemonID {
	order := t.order(members)
	at := slices.Index(order, from)
	if at < 0 {
		return nil
	}
	first := min(at*fanout+1, len(order))
	last := min(first+fanout, len(order))
	return order[first:last]
}

// order returns the tree's members, level by level.
func (t pushTree) order(members []model.DaemonID) []model.DaemonID {
	type ranked struct {
		id   model.DaemonID
		hash uint64
	}
	rest := make([]ranked, 0, len(members))
	for _, id := range members {
		if id != t.root {
			rest = append(rest, ranked{id, xxhash.Sum64String(t.key + "\x00" + string(id))})
		}
	}
	slices.SortFunc(rest, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	order := make([]model.DaemonID, 0, len(rest)+1)
	if t.root != "" {
		order = append(order, t.root)
	}
	for _, r := range rest {
		order = append(order, r.id)
	}
	return order
}
