package dissemination

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
)

// HintRetention is how long a leaving hint lasts if no newer list of its shard
// arrives. Without a limit, a hint about a target that does not leave after all
// would keep it out of use until its shard's next change.
const HintRetention = 30 * time.Second

// MaxHints bounds the hints held. Further targets that leave become known only
// by the lists.
const MaxHints = 4096

// hint is what is known of a leaving target before its shard's list says so.
type hint struct {
	task    string
	attempt uint32
	marked  time.Time
	// shard is the shard whose list named the target when the hint arrived;
	// valid if placed is set.
	shard  uint32
	placed bool
}

// MarkLeaving adds leaving hints and returns those that were new and must be
// pushed on. A hint whose task and attempt differ from those listed under its
// address is about an earlier use of the address and is ignored.
func (t *Table) MarkLeaving(now time.Time, leaving []*peerv1.LeavingTarget) []*peerv1.LeavingTarget {
	t.now = now
	var fresh []*peerv1.LeavingTarget
	for _, l := range leaving {
		if t.addHint(now, l) {
			fresh = append(fresh, l)
		}
	}
	if len(fresh) > 0 {
		t.version++
	}
	return fresh
}

func (t *Table) addHint(now time.Time, l *peerv1.LeavingTarget) bool {
	if len(t.hints) >= MaxHints {
		return false
	}
	h := hint{task: l.GetTask(), attempt: l.GetAttempt(), marked: now}
	if old, ok := t.hints[l.GetAddress()]; ok && old.task == h.task && old.attempt == h.attempt {
		return false
	}
	shard, target := t.find(l.GetAddress())
	if target != nil {
		if !h.matches(target) || target.GetLeaving() {
			return false
		}
		h.shard, h.placed = shard, true
	}
	t.hints[l.GetAddress()] = h
	return true
}

// matches reports whether the hint is about this use of the address. A hint
// without a task is about any task that runs there.
func (h hint) matches(target *peerv1.Target) bool {
	return h.task == "" || h.task == target.GetTask() && h.attempt == target.GetAttempt()
}

// find returns the target with the address, and its shard, over all shards.
func (t *Table) find(address string) (uint32, *peerv1.Target) {
	for _, shard := range t.order {
		for _, target := range t.lists[shard].GetTargets() {
			if target.GetAddress() == address {
				return shard, target
			}
		}
	}
	return 0, nil
}

// withHint returns the target, as a copy marked leaving if a hint applies to
// it.
func (t *Table) withHint(target *peerv1.Target) *peerv1.Target {
	h, ok := t.hints[target.GetAddress()]
	if !ok || target.GetLeaving() || !h.matches(target) {
		return target
	}
	marked := proto.Clone(target).(*peerv1.Target)
	marked.Leaving = true
	return marked
}

// dropHintsOf drops the hints that a newer list confirms or contradicts: the
// target is no longer listed, is marked leaving there, or its address serves
// another attempt. While the target is listed as before, the hint is kept,
// because the list may have been made before the hint's sender saw the target
// leave.
func (t *Table) dropHintsOf(list *peerv1.ShardTargets) {
	if len(t.hints) == 0 {
		return
	}
	listed := make(map[string]*peerv1.Target, len(list.GetTargets()))
	for _, target := range list.GetTargets() {
		listed[target.GetAddress()] = target
	}
	for address, h := range t.hints {
		target := listed[address]
		gone := target == nil && h.placed && h.shard == list.GetShard()
		settled := target != nil && (target.GetLeaving() || !h.matches(target))
		if gone || settled {
			delete(t.hints, address)
		}
	}
}

// HintRepeat is how long a hint is repeated in every message after it was
// added, and MaxRepeated is how many hints a message repeats. Without this, a
// lost push would leave an entry without the hint until the next list.
const (
	HintRepeat  = 3 * time.Second
	MaxRepeated = 8
)

// recentHints returns the hints to repeat, ordered by address.
func (t *Table) recentHints() []*peerv1.LeavingTarget {
	var out []*peerv1.LeavingTarget
	for address, h := range t.hints {
		if t.now.Sub(h.marked) <= HintRepeat {
			out = append(out, &peerv1.LeavingTarget{Address: address, Task: h.task, Attempt: h.attempt})
		}
	}
	slices.SortFunc(out, func(a, b *peerv1.LeavingTarget) int {
		return cmp.Compare(a.GetAddress(), b.GetAddress())
	})
	return out[:min(len(out), MaxRepeated)]
}

// Expire advances the time and drops the hints whose retention has passed. It
// should be called about once per second.
func (t *Table) Expire(now time.Time) {
	t.now = now
	for address, h := range t.hints {
		if now.Sub(h.marked) > HintRetention {
			delete(t.hints, address)
			t.version++
		}
	}
}
