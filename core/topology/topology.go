package topology

import (
	"maps"
	"slices"
	"strings"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/model"
)

// RackInZone is a rack with its availability zone.
type RackInZone struct {
	Rack model.Rack
	Zone model.Zone
}

// rackPlacement is the shard and the availability zone of a rack.
type rackPlacement struct {
	shard model.ShardID
	zone  model.Zone
}

// Topology maps racks to shards. It is immutable. A nil Topology is empty.
type Topology struct {
	racks map[model.Rack]rackPlacement
	// shardRacks holds the racks of each shard in the order of their names, by
	// shard id.
	shardRacks [][]model.Rack
}

// Decode decodes the stored form of a topology. It returns an *InvalidError if the
// form is not valid.
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

// Encode returns the stored form of the topology, in the order of the racks' names.
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

// ShardOf returns the shard of a rack. The second result is false if the rack has
// none.
func (t *Topology) ShardOf(rack model.Rack) (model.ShardID, bool) {
	if t == nil {
		return 0, false
	}
	p, ok := t.racks[rack]
	return p.shard, ok
}

// ShardCount returns the number of shards. Their ids are 0 to ShardCount()-1.
func (t *Topology) ShardCount() uint32 {
	if t == nil {
		return 0
	}
	return uint32(len(t.shardRacks))
}

// Racks returns the racks of a shard in the order of their names. The caller must not
// change the slice.
func (t *Topology) Racks(shard model.ShardID) []model.Rack {
	if uint32(shard) >= t.ShardCount() {
		return nil
	}
	return t.shardRacks[shard]
}

// Zone returns the availability zone of a shard. The second result is false if the
// shard does not exist or has no racks.
func (t *Topology) Zone(shard model.ShardID) (model.Zone, bool) {
	racks := t.Racks(shard)
	if len(racks) == 0 {
		return "", false
	}
	return t.racks[racks[0]].zone, true
}

// Extend returns t extended by the racks that have no shard yet, and whether there
// were any. A rack is added to the shard of its zone with the lowest id that has fewer
// than maxRacksPerShard racks, or to a new shard if there is none. Racks are added in
// the order of zone and name, so that daemons with the same racks compute the same
// topology. Racks that no longer exist keep their shard, because the shard of a rack
// never changes.
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

// newRacks returns the racks that have no shard in t, in the order of zone and name,
// without duplicates within a zone.
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

// addRack adds a rack as Extend does, unless the rack has a shard already.
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

// shardWithRoom returns the lowest shard of a zone with fewer than maxRacks racks, or
// the id of a new shard if there is none.
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

// buildShardRacks rebuilds shardRacks from racks.
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
