package capacity_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/topology"
)

// BenchmarkCapacityTopology is the stored size of a rack's line in the topology
// and how many shards 440 racks in eight zones make.
func BenchmarkCapacityTopology(b *testing.B) {
	const racks, zones = 440, 8
	var list []topology.RackInZone
	for i := range racks {
		zone := fmt.Sprintf("mvd-%d", i%zones)
		list = append(list, topology.RackInZone{
			Rack: model.Rack(fmt.Sprintf("%s-rack-%03d", zone, i)), Zone: model.Zone(zone),
		})
	}
	var t *topology.Topology
	for b.Loop() {
		t, _ = topology.Extend(nil, list, 2)
	}
	b.ReportMetric(float64(proto.Size(t.Encode()))/racks, "stored-B/rack")
	b.ReportMetric(float64(t.ShardCount()), "shards")
}
