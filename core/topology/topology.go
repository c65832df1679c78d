package topology

import (
	"maps"
	"slices"
	"strings"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/model"
)

// RackInZone is a rack and the availability zone it stands in.
type RackInZone struct {
	Rack model.Rack
	Zone model.Zone
}

// rackPlacement is where a rack belongs.
type rackPlacement struct {
	shard model.ShardID
	zone  model.Zone
}

// Topology says to which shard each rack belongs. It is immutable; a nil
// Topology is empty.
type Topology struct {
	racks map[model.Rack]rackPlacement
	// shardRacks are each shard's racks in name order, by shard.
	shardRacks [][]model.Rack
}

// Decode reads the stored form. It fails with a *InvalidError.
func Decode(stored *ledgerv1.Topology) (*Topology, error) {
	t := &Topology{racks: make(map[model.Rack]rackPlacement, len(stored.GetRacks()))}
	for _, r := range stored.GetRacks() {
		rack := model.Rack(r.GetRack())
		if _, known := t.racks[rack]; known {
			return nil, &InvalidError{Rack: rack, Reason: ReasonDuplicateRack}
		}
		if r.GetShard() >= MaxShards {
			return nil, &InvalidError{Rack: rack, Reason: ReasonShardTooHigh}
		}
		t.racks[rack] = rackPlacement{
			shard: model.ShardID(r.GetShard()),
			zone:  model.Zone(r.GetAvailabilityZone()),
		}
	}
	t.buildShardRacks()
	return t, nil
}

// Encode returns the stored form, in rack order.
func (t *Topology) Encode() *ledgerv1.Topology {
	stored := &ledgerv1.Topology{}
	if t == nil {
		return stored
	}
	for _, rack := range slices.Sorted(maps.Keys(t.racks)) {
		p := t.racks[rack]
		stored.Racks = append(stored.Racks, &ledgerv1.RackShard{
			Rack:             string(rack),
			Shard:            uint32(p.shard),
			AvailabilityZone: string(p.zone),
		})
	}
	return stored
}

// ShardOf returns the shard that a rack belongs to, and whether it has one.
func (t *Topology) ShardOf(rack model.Rack) (model.ShardID, bool) {
	if t == nil {
		return 0, false
	}
	p, ok := t.racks[rack]
	return p.shard, ok
}

// ShardCount returns how many shards there are: their ids are 0 to ShardCount()-1.
func (t *Topology) ShardCount() uint32 {
	if t == nil {
		return 0
	}
	return uint32(len(t.shardRacks))
}

// Racks returns a shard's racks in name order. The slice must not be changed.
func (t *Topology) Racks(shard model.ShardID) []model.Rack {
	if uint32(shard) >= t.ShardCount() {
		return nil
	}
	return t.shardRacks[shard]
}

// Zone returns the availability zone of a shard's racks; false when the shard
// does not exist or has none.
func (t *Topology) Zone(shard model.ShardID) (model.Zone, bool) {
	racks := t.Racks(shard)
	if len(racks) == 0 {
		return "", false
	}
	return t.racks[racks[0]].zone, true
}

// Extend returns t with a shard for each rack that has none, and whether
// anything was added. A rack joins the lowest shard of its zone that has fewer
// than maxRacksPerShard racks, else a new shard. Racks are taken in order of
// zone and name, so that daemons that see the same racks extend alike; racks
// that are gone keep their place, so that no shard changes its meaning.
func Extend(t *Topology, racks []RackInZone, maxRacksPerShard int) (*Topology, bool) {
	added := newRacks(t, racks)
	if len(added) == 0 {
		return t, false
	}
	next := &Topology{racks: make(map[model.Rack]rackPlacement)}
	if t != nil {
		next.racks = maps.Clone(t.racks)
	}
	next.buildShardRacks()
	for _, r := range added {
		next.addRack(r, max(maxRacksPerShard, 1))
	}
	next.buildShardRacks()
	return next, true
}

func newRacks(t *Topology, racks []RackInZone) []RackInZone {
	var unknown []RackInZone
	for _, r := range racks {
		if _, known := t.ShardOf(r.Rack); !known {
			unknown = append(unknown, r)
		}
	}
	slices.SortFunc(unknown, func(a, b RackInZone) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Rack), string(b.Rack))
	})
	return slices.CompactFunc(unknown, func(a, b RackInZone) bool { return a.Rack == b.Rack })
}

func (t *Topology) addRack(r RackInZone, maxRacks int) {
	if _, known := t.racks[r.Rack]; known {
		return
	}
	shard := t.shardWithRoom(r.Zone, maxRacks)
	t.racks[r.Rack] = rackPlacement{shard: shard, zone: r.Zone}
	if int(shard) == len(t.shardRacks) {
		t.shardRacks = append(t.shardRacks, nil)
	}
	t.shardRacks[shard] = append(t.shardRacks[shard], r.Rack)
}

func (t *Topology) shardWithRoom(zone model.Zone, maxRacks int) model.ShardID {
	for i, racks := range t.shardRacks {
		if len(racks) == 0 || len(racks) >= maxRacks {
			continue
		}
		if t.racks[racks[0]].zone == zone {
			return model.ShardID(i)
		}
	}
	return model.ShardID(len(t.shardRacks))
}

// buildShardRacks rebuilds members from racks.
func (t *Topology) buildShardRacks() {
	t.shardRacks = nil
	for _, rack := range slices.Sorted(maps.Keys(t.racks)) {
		shard := int(t.racks[rack].shard)
		for len(t.shardRacks) <= shard {
			t.shardRacks = append(t.shardRacks, nil)
		}
		t.shardRacks[shard] = append(t.shardRacks[shard], rack)
	}
}
