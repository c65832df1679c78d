package topology_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/testing/protocmp"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/topology"
)

// racks returns racks that are named after numbers and spread over three zones.
func racks(numbers []uint8) []topology.RackInZone {
	var all []topology.RackInZone
	for _, n := range numbers {
		all = append(all, topology.RackInZone{
			Rack: model.Rack(fmt.Sprintf("rack-%d", n)),
			Zone: model.Zone(fmt.Sprintf("zone-%d", n%3)),
		})
	}
	return all
}

// check returns a description of the first fault of a topology of known racks, or "".
func check(t *topology.Topology, known []topology.RackInZone, maxRacks int) string {
	for _, r := range known {
		shard, ok := t.ShardOf(r.Rack)
		if !ok || uint32(shard) >= t.ShardCount() {
			return fmt.Sprintf("%s is in no shard", r.Rack)
		}
		if zone, _ := t.Zone(shard); zone != r.Zone {
			return fmt.Sprintf("%s of %s is in a shard of %s", r.Rack, r.Zone, zone)
		}
		if !slices.Contains(t.Racks(shard), r.Rack) {
			return fmt.Sprintf("shard %d does not list %s", shard, r.Rack)
		}
	}
	for shard := range t.ShardCount() {
		if n := len(t.Racks(model.ShardID(shard))); n == 0 || n > maxRacks {
			return fmt.Sprintf("shard %d has %d racks", shard, n)
		}
	}
	return ""
}

// A rack must never change its shard while racks come and go and daemons list them in
// different orders. Otherwise a worker's tasks are in the ledger of one shard and its
// capacity belongs to another.
func TestExtend(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("racks keep their shard, whatever the order", prop.ForAll(
		func(first, second []uint8, maxRacks int) string {
			before, _ := topology.Extend(nil, racks(first), maxRacks)
			reversed := slices.Clone(second)
			slices.Reverse(reversed)
			after, changed := topology.Extend(before, racks(second), maxRacks)
			other, _ := topology.Extend(before, racks(reversed), maxRacks)
			if diff := cmp.Diff(after.Encode(), other.Encode(), protocmp.Transform()); diff != "" {
				return "depends on the order: " + diff
			}
			for _, r := range racks(first) {
				was, _ := before.ShardOf(r.Rack)
				if is, _ := after.ShardOf(r.Rack); is != was {
					return fmt.Sprintf("%s moved from shard %d to %d", r.Rack, was, is)
				}
			}
			if changed == (len(after.Encode().Racks) == len(before.Encode().Racks)) {
				return fmt.Sprintf("changed is %t", changed)
			}
			decoded, err := topology.Decode(after.Encode())
			if err != nil || !cmp.Equal(decoded.Encode(), after.Encode(), protocmp.Transform()) {
				return fmt.Sprintf("not the same after storing: %v", err)
			}
			return check(decoded, append(racks(first), racks(second)...), maxRacks)
		}, gen.SliceOf(gen.UInt8()), gen.SliceOf(gen.UInt8()), gen.IntRange(1, 4)))
	properties.TestingRun(t)
}

func TestDecodeRejectsInvalidTopologies(t *testing.T) {
	for reason, racks := range map[topology.Reason][]*ledgerv1.RackShard{
		topology.ReasonDuplicateRack: {{Rack: "a"}, {Rack: "a", Shard: 1}},
		topology.ReasonShardTooHigh:  {{Rack: "a", Shard: topology.MaxShards}},
	} {
		_, err := topology.Decode(&ledgerv1.Topology{Racks: racks})
		var invalid *topology.InvalidError
		if !errors.As(err, &invalid) || invalid.Reason != reason {
			t.Errorf("got %v, want %s", err, reason)
		}
	}
}

func TestEmptyTopology(t *testing.T) {
	var none *topology.Topology
	if _, ok := none.ShardOf("a"); ok || none.ShardCount() != 0 || len(none.Encode().Racks) != 0 {
		t.Error("a nil topology is not empty")
	}
}
