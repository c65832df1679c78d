package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// chain is a sequence of configurations. For each of them it has a State that
// installed all configurations up to it.
type chain struct {
	accepted []*Accepted
	states   []*State
}

// newChain makes one configuration for each edit that has an effect.
func newChain(t testing.TB, edits []uint16) *chain {
	m := manifestWith(map[string]int{"w-0": 1, "w-1": 1, "w-2": 1})
	a, _ := mustAccept(t, nil, m)
	c := &chain{accepted: []*Accepted{a}}
	for _, edit := range edits {
		next := applyEdit(t, a, m, edit)
		if next != a {
			c.accepted = append(c.accepted, next)
		}
		a = next
	}
	for i := range c.accepted {
		s := NewState()
		for _, a := range c.accepted[:i+1] {
			s.InstallStored(a)
		}
		c.states = append(c.states, s)
	}
	return c
}

func applyEdit(t testing.TB, a *Accepted, m *manifest.Manifest, edit uint16) *Accepted {
	name := fmt.Sprintf("w-%d", edit/8%8)
	switch edit % 8 {
	case 0:
		if a.has(name) {
			next, _ := mustCancel(t, a, name)
			return next
		}
	case 1:
		m.Teams[0].Quota = &model.Resources{MilliCPU: int64(1000 + edit%3), MemoryMB: 4096}
	case 2:
		m.Teams = m.Teams[:1]
		if edit%16 == 2 {
			m.Teams = append(m.Teams, manifest.Team{Name: "u"})
		}
	case 3, 4:
		m.Workloads = without(m.Workloads, name)
	default:
		added := manifestWith(map[string]int{name: int(edit%5) + 1}).Workloads
		m.Workloads = append(without(m.Workloads, name), added...)
	}
	next, _ := mustAccept(t, a, m)
	return next
}

func without(workloads []manifest.Workload, name string) []manifest.Workload {
	var kept []manifest.Workload
	for _, w := range workloads {
		if w.Name != name {
			kept = append(kept, w)
		}
	}
	return kept
}

func (c *chain) pick(code uint16) int { return int(code) % len(c.accepted) }

// delta returns the delta that a daemon at revision to sends to a peer at base.
func (c *chain) delta(to, base uint16) *peerv1.ConfigDelta {
	return c.states[c.pick(to)].DeltaSince(c.accepted[c.pick(base)].Revision)
}

func (c *chain) whole(to uint16) *peerv1.ConfigDelta { return c.states[c.pick(to)].DeltaSince(0) }

// damaged returns a copy of d whose result does not match its hash.
func damaged(d *peerv1.ConfigDelta, how uint16) *peerv1.ConfigDelta {
	d = proto.CloneOf(d)
	if len(d.GetChanges()) == 0 {
		d.Hash++
		return d
	}
	change := d.Changes[int(how)%len(d.Changes)]
	switch {
	case how%3 == 0:
		change.Name = "w-9"
	case how%3 == 1 && change.Accepted != nil:
		change.Accepted.Generation++
	default:
		change.Removed = !change.Removed
		change.Declaration = change.Declaration[:len(change.Declaration)/2]
	}
	return d
}

// message returns the message that code selects, and its condition. A nil message
// stands for a read of the store.
func (c *chain) message(fork *chain, code []uint16) (*peerv1.ConfigDelta, deltaCondition) {
	to, base := code[1], code[2]
	switch code[0] % 6 {
	case 0, 1:
		return c.delta(to, base), intactDelta
	case 2:
		return c.whole(to), intactDelta
	case 3:
		if d := c.delta(to, base); d != nil {
			return damaged(d, code[3]), damagedDelta
		}
	case 4:
		if d := proto.CloneOf(c.delta(to, base)); d != nil {
			d.Changes = fork.delta(to, base).GetChanges()
			return d, foreignDelta
		}
	}
	return nil, intactDelta
}

// deltaCondition classifies a message by the result to expect from it.
type deltaCondition int

const (
	intactDelta deltaCondition = iota
	damagedDelta
	// foreignDelta: the changes come from another history but may happen to apply.
	foreignDelta
)

// applyAndCheck applies the message to the receiver and compares the result with
// the condition. It returns a description of the fault, or an empty string.
func (c deltaCondition) applyAndCheck(s *State, d *peerv1.ConfigDelta, before *Accepted) string {
	result, err := s.ApplyDelta(d)
	switch {
	case result == DeltaInstalled && c == damagedDelta:
		return "a damaged delta was installed"
	case result == DeltaWholeNeeded && c == intactDelta && before != nil:
		return fmt.Sprintf("an intact delta was not usable: %v", err)
	case result != DeltaInstalled && s.Current() != before:
		return "a delta that was not installed changed the state"
	}
	return ""
}

// TestAnyDeliveryEndsAtTheNewest applies deltas, whole configurations,
// duplicates, old and damaged messages and reads of the store in random order.
func TestAnyDeliveryEndsAtTheNewest(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260301)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("the revision never falls, configurations never mix, and the newest is reached", prop.ForAll(
		func(edits, forkEdits, codes []uint16) string {
			return runDelivery(t, newChain(t, edits), newChain(t, forkEdits), codes)
		},
		gen.SliceOfN(12, gen.UInt16()),
		gen.SliceOfN(12, gen.UInt16()),
		gen.SliceOfN(4*30, gen.UInt16()),
	))
	properties.TestingRun(t)
}

func runDelivery(t *testing.T, c, fork *chain, codes []uint16) string {
	s := NewState()
	for ; len(codes) >= 4; codes = codes[4:] {
		before := s.Current()
		delta, cond := c.message(fork, codes)
		if delta == nil {
			s.InstallStored(roundTrip(t, c.accepted[c.pick(codes[1])]))
		} else if fault := cond.applyAndCheck(s, delta, before); fault != "" {
			return fault
		}
		if s.Revision() < revisionOf(before) {
			return fmt.Sprintf("revision fell from %d to %d", before.Revision, s.Revision())
		}
		if fault := c.check(s); fault != "" {
			return fault
		}
	}
	return c.finish(s)
}

// check compares the receiver with the configuration of the same revision.
func (c *chain) check(s *State) string {
	if s.Current() == nil {
		return ""
	}
	want := c.accepted[s.Revision()-1]
	if d := diffConfigs(want, s.Current()); d != "" {
		return "mixed configuration: " + d
	}
	if want.Hash() != s.Current().Hash() {
		return "same configuration, but different hash"
	}
	return ""
}

// finish sends the receiver a delta from its revision, and the whole
// configuration if the delta is not usable, and checks that it reached the newest
// revision.
func (c *chain) finish(s *State) string {
	newest := uint16(len(c.accepted) - 1)
	if d := c.states[newest].DeltaSince(s.Revision()); d != nil {
		if result, _ := s.ApplyDelta(d); result == DeltaWholeNeeded {
			_, _ = s.ApplyDelta(c.whole(newest))
		}
	}
	if s.Revision() != c.accepted[newest].Revision {
		return fmt.Sprintf("ended at %d of %d", s.Revision(), c.accepted[newest].Revision)
	}
	return c.check(s)
}

// A daemon must not run a mixture of two configurations. A delta to the newest
// revision loses one change in transit; only the hash of the result shows it, as
// the revision is right.
func TestDamagedDeltaAsksForTheWhole(t *testing.T) {
	c := newChain(t, []uint16{5, 14, 23, 6})
	sender, s := c.states[len(c.states)-1], NewState()
	if result, _ := s.ApplyDelta(sender.DeltaSince(1)); result != DeltaWholeNeeded {
		t.Errorf("empty state: %s", result)
	}
	s.InstallStored(c.accepted[0])
	d := proto.CloneOf(sender.DeltaSince(1))
	d.Changes = d.Changes[1:]
	result, err := s.ApplyDelta(d)
	var mismatch *HashError
	if result != DeltaWholeNeeded || !errors.As(err, &mismatch) || s.Current() != c.accepted[0] {
		t.Errorf("%s, %v", result, err)
	}
	whole := proto.CloneOf(sender.DeltaSince(0))
	whole.Whole.Workloads[0].Generation++
	if result, err = s.ApplyDelta(whole); result != DeltaWholeNeeded || !errors.As(err, &mismatch) {
		t.Errorf("damaged whole: %s, %v", result, err)
	}
	if result, err = s.ApplyDelta(sender.DeltaSince(0)); result != DeltaInstalled || err != nil {
		t.Errorf("whole: %s, %v", result, err)
	}
	other := proto.CloneOf(sender.DeltaSince(0))
	other.Hash++
	if result, err = s.ApplyDelta(other); result != DeltaAlreadyInstalled || !errors.As(err, &mismatch) {
		t.Errorf("different content under the same revision: %s, %v", result, err)
	}
}

func TestDeltaFromAboveIsAGap(t *testing.T) {
	c := newChain(t, []uint16{6, 14, 23})
	s := NewState()
	s.InstallStored(c.accepted[0])
	if result, _ := s.ApplyDelta(c.states[3].DeltaSince(3)); result != DeltaGap || s.Revision() != 1 {
		t.Errorf("%s, revision %d", result, s.Revision())
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s := NewState()
	a, _ := mustAccept(t, nil, manifestWith(map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}))
	s.InstallStored(a)
	for i := range MaxHistory + 10 {
		a, _ = mustAccept(t, a, manifestWith(map[string]int{"a": i%2 + 2, "b": 1, "c": 1, "d": 1}))
		s.InstallStored(a)
	}
	if n := len(s.history.entries); n > MaxHistory {
		t.Errorf("%d entries", n)
	}
	if d := s.DeltaSince(5); d.GetBaseRevision() != 0 {
		t.Error("a delta was made from a revision older than the history")
	}
	base := a.Revision - MaxHistory/2
	if d := s.DeltaSince(base); d.GetBaseRevision() != uint64(base) || len(d.GetChanges()) != 1 {
		t.Errorf("delta from %d with %d changes", d.GetBaseRevision(), len(d.GetChanges()))
	}
}

func TestCancellationDeltasOmitDeclarations(t *testing.T) {
	tasks := make(map[string]int)
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("w-%d", i))
		tasks[names[i]] = 1
	}
	tasks["kept"] = 1
	a, _ := mustAccept(t, nil, manifestWith(tasks))
	s, peer := NewState(), NewState()
	s.InstallStored(a)
	peer.InstallStored(a)
	a, _ = mustCancel(t, a, names...)
	s.InstallStored(a)
	d := s.DeltaSince(1)
	if size := proto.Size(d) / len(names); size > 20 {
		t.Errorf("%d bytes per cancellation", size)
	}
	if strings.Contains(d.String(), "milliCPU") {
		t.Error("a declaration was sent")
	}
	if result, err := peer.ApplyDelta(d); result != DeltaInstalled || diffConfigs(a, peer.Current()) != "" {
		t.Error(result, err)
	}
}
