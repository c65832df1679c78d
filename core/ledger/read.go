package ledger

import (
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Stored is a shard's ledger as read from the store at one revision.
type Stored struct {
	// Epoch is the epoch of the owner, 0 if the shard has no owner.
	Epoch    model.Epoch
	Contents *Contents
	Inbox    []InboxItem
	// Unreadable are the keys of inbox items that cannot be decoded.
	Unreadable []string

	snapshotRevision int64
	snapshotBytes    int
	deltas           int
	deltaBytes       int
}

// Read decodes and replays the keys of a shard, which must have been listed at one
// revision. It returns a *CorruptError if the stored ledger is not valid.
func Read(keyPrefix string, shard model.ShardID, kvs []port.KeyValue) (*Stored, error) {
	r := &reader{
		prefix: ShardPrefix(keyPrefix, shard),
		stored: &Stored{Contents: newContents()},
	}
	for _, kv := range kvs {
		if err := r.sort(kv); err != nil {
			return nil, err
		}
	}
	if err := r.replay(); err != nil {
		return nil, err
	}
	return r.stored, nil
}

// reader classifies the keys of a shard and replays them.
type reader struct {
	prefix   string
	stored   *Stored
	snapshot *ledgerv1.Snapshot
	parts    []storedPart
	deltas   []storedDelta
}

type storedPart struct {
	key   string
	value []byte
	// sequence is the sequence of the snapshot to which the part belongs.
	sequence uint64
}

type storedDelta struct {
	key   string
	bytes int
	delta *ledgerv1.Delta
}

func (r *reader) sort(kv port.KeyValue) error {
	name, ok := strings.CutPrefix(kv.Key, r.prefix)
	if !ok {
		return &CorruptError{Key: kv.Key, Reason: CorruptKey}
	}
	switch {
	case name == ownerName:
		r.stored.Epoch = model.Epoch(kv.CreateRevision)
	case name == snapshotName:
		return r.addSnapshot(kv)
	case strings.HasPrefix(name, partName):
		return r.addPart(kv, name[len(partName):])
	case strings.HasPrefix(name, deltaName):
		return r.addDelta(kv, name[len(deltaName):])
	case strings.HasPrefix(name, inboxName):
		r.addInbox(kv)
	}
	return nil
}

func (r *reader) addSnapshot(kv port.KeyValue) error {
	r.snapshot = &ledgerv1.Snapshot{}
	if err := proto.Unmarshal(kv.Value, r.snapshot); err != nil {
		return &CorruptError{Key: kv.Key, Reason: CorruptValue, Cause: err}
	}
	r.stored.snapshotRevision = kv.ModRevision
	r.stored.snapshotBytes += len(kv.Value)
	return nil
}

func (r *reader) addPart(kv port.KeyValue, name string) error {
	number, _, _ := strings.Cut(name, "/")
	sequence, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return &CorruptError{Key: kv.Key, Reason: CorruptKey, Cause: err}
	}
	r.parts = append(r.parts, storedPart{key: kv.Key, value: kv.Value, sequence: sequence})
	return nil
}

func (r *reader) addDelta(kv port.KeyValue, name string) error {
	sequence, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return &CorruptError{Key: kv.Key, Reason: CorruptKey, Cause: err}
	}
	d := &ledgerv1.Delta{}
	if err := proto.Unmarshal(kv.Value, d); err != nil {
		return &CorruptError{Key: kv.Key, Reason: CorruptValue, Cause: err}
	}
	if d.GetSequence() != sequence {
		return &CorruptError{Key: kv.Key, Reason: CorruptSequence}
	}
	r.deltas = append(r.deltas, storedDelta{key: kv.Key, bytes: len(kv.Value), delta: d})
	return nil
}

// addInbox lists an item that cannot be decoded as unreadable instead of failing,
// so that a damaged item does not prevent the shard from being loaded.
func (r *reader) addInbox(kv port.KeyValue) {
	item, ok := decodeInbox(kv)
	if !ok {
		r.stored.Unreadable = append(r.stored.Unreadable, kv.Key)
		return
	}
	r.stored.Inbox = append(r.stored.Inbox, item)
}

func decodeInbox(kv port.KeyValue) (InboxItem, bool) {
	e := &ledgerv1.InboxEntry{}
	if err := proto.Unmarshal(kv.Value, e); err != nil {
		return InboxItem{}, false
	}
	t, ok := decodeTask(e.GetTask())
	if !ok {
		return InboxItem{}, false
	}
	return InboxItem{
		Key:         kv.Key,
		ModRevision: kv.ModRevision,
		Task:        *t,
		From:        model.ShardID(e.GetFromShard()),
	}, true
}

func (r *reader) replay() error {
	if err := r.replaySnapshot(); err != nil {
		return err
	}
	slices.SortFunc(r.deltas, func(a, b storedDelta) int { return strings.Compare(a.key, b.key) })
	var epoch int64
	for _, d := range r.deltas {
		if d.delta.GetSequence() <= r.stored.Contents.sequence {
			continue
		}
		if d.delta.GetSequence() != r.stored.Contents.sequence+1 {
			return &CorruptError{Key: d.key, Reason: CorruptGap}
		}
		if d.delta.GetEpoch() < epoch {
			return &CorruptError{Key: d.key, Reason: CorruptEpoch}
		}
		epoch = d.delta.GetEpoch()
		if err := r.replayDelta(d); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) replaySnapshot() error {
	if r.snapshot == nil {
		return nil
	}
	r.stored.Contents.sequence = r.snapshot.GetSequence()
	if err := r.addState(r.prefix+snapshotName, r.snapshot.GetTasks(), r.snapshot.GetQuarantines()); err != nil {
		return err
	}
	for _, part := range r.parts {
		if part.sequence != r.snapshot.GetSequence() {
			continue
		}
		s := &ledgerv1.Snapshot{}
		if err := proto.Unmarshal(part.value, s); err != nil {
			return &CorruptError{Key: part.key, Reason: CorruptValue, Cause: err}
		}
		r.stored.snapshotBytes += len(part.value)
		if err := r.addState(part.key, s.GetTasks(), s.GetQuarantines()); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) replayDelta(d storedDelta) error {
	for _, key := range d.delta.GetRemoved() {
		r.stored.Contents.remove(decodeKey(key))
	}
	if err := r.addState(d.key, d.delta.GetTasks(), d.delta.GetQuarantines()); err != nil {
		return err
	}
	r.stored.Contents.sequence = d.delta.GetSequence()
	r.stored.deltas++
	r.stored.deltaBytes += d.bytes
	return nil
}

func (r *reader) addState(key string, tasks []*ledgerv1.Task, quarantines []*ledgerv1.Quarantine) error {
	for _, stored := range tasks {
		t, ok := decodeTask(stored)
		if !ok {
			return &CorruptError{Key: key, Reason: CorruptValue}
		}
		r.stored.Contents.put(t)
	}
	for _, stored := range quarantines {
		r.stored.Contents.setQuarantine(decodeQuarantine(stored))
	}
	return nil
}
