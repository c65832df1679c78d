package dissemination_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/capacity/measure"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/dissemination"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
)

// 26,000 instances of 2,000 services in 220 shards.
const (
	capacityShards    = 220
	capacityInstances = 118
)

// capacityList returns one shard's list as its owner makes it.
func capacityList(shard uint32, sequence uint64, instances int) *peerv1.ShardTargets {
	l := &peerv1.ShardTargets{Shard: shard, Epoch: 81_234, Sequence: sequence, Owner: "entry-mvd-a-017"}
	for i := range instances {
		service := fmt.Sprintf("reorder-service-%04d", (int(shard)*31+i)%2000)
		l.Targets = append(l.Targets, &peerv1.Target{
			Service: service, Task: fmt.Sprintf("%s@12/%d", service, i%13), Attempt: 3,
			Address: fmt.Sprintf("10.20.%d.%d:30017", shard, i),
			Worker:  fmt.Sprintf("worker-mvd-a-%04d", int(shard)*16+i%16), AvailabilityZone: "mvd-a",
		})
	}
	return l
}

// capacityTable returns a table with all lists as decoded from messages.
func capacityTable(tb testing.TB) (table *dissemination.Table, bytes int) {
	table = dissemination.NewTable()
	for shard := range uint32(capacityShards) {
		encoded, err := proto.Marshal(capacityList(shard, 1, capacityInstances))
		if err != nil {
			tb.Fatal(err)
		}
		bytes += len(encoded)
		l := &peerv1.ShardTargets{}
		if err := proto.Unmarshal(encoded, l); err != nil {
			tb.Fatal(err)
		}
		table.Merge([]*peerv1.ShardTargets{l})
	}
	return table, bytes
}

// BenchmarkCapacityTargetHeap measures the memory and the encoded size of a
// target in the table of all shards' lists.
func BenchmarkCapacityTargetHeap(b *testing.B) {
	const targets = capacityShards * capacityInstances
	var perTarget, encoded float64
	for b.Loop() {
		before := measure.Heap()
		table, bytes := capacityTable(b)
		perTarget = float64(measure.Heap()-before) / targets
		encoded = float64(bytes) / targets
		runtime.KeepAlive(table)
	}
	b.ReportMetric(perTarget, "heap-B/target")
	b.ReportMetric(encoded, "B/target")
}

// BenchmarkCapacityTargetScan measures one pass over all targets of the table,
// as made for each update of the engine.
func BenchmarkCapacityTargetScan(b *testing.B) {
	table, _ := capacityTable(b)
	byService := make(map[string][]*peerv1.Target)
	passes := 0
	begin := measure.Processor()
	for b.Loop() {
		clear(byService)
		for _, t := range table.Targets() {
			byService[t.GetService()] = append(byService[t.GetService()], t)
		}
		passes++
	}
	n := float64(passes * capacityShards * capacityInstances)
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/n, "cpu-ns/target")
}

// BenchmarkCapacityPush measures the processor time for a list of 118 targets
// at one daemon: to decode it, install it and encode it for each of four
// children.
func BenchmarkCapacityPush(b *testing.B) {
	table, _ := capacityTable(b)
	sequence := uint64(2)
	begin := measure.Processor()
	for b.Loop() {
		encoded, err := proto.Marshal(capacityList(7, sequence, capacityInstances))
		if err != nil {
			b.Fatal(err)
		}
		l := &peerv1.ShardTargets{}
		if err := proto.Unmarshal(encoded, l); err != nil {
			b.Fatal(err)
		}
		if !table.Merge([]*peerv1.ShardTargets{l}) {
			b.Fatal("not taken")
		}
		for range dissemination.DefaultFanout {
			if _, err := proto.Marshal(l); err != nil {
				b.Fatal(err)
			}
		}
		sequence++
	}
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(sequence-2), "cpu-ns/push")
}

// BenchmarkCapacityExchange measures the traffic between daemons when nothing
// changes and its processor time per daemon: all of membership and
// dissemination, including the cost of the virtual network. Every daemon owns
// its part of 220 shards, and all daemons hold all lists.
func BenchmarkCapacityExchange(b *testing.B) {
	for _, c := range []struct{ daemons, services int }{{8, 20}, {50, 20}, {300, 0}, {300, 20}, {300, 120}} {
		b.Run(fmt.Sprintf("daemons=%d/services=%d", c.daemons, c.services), func(b *testing.B) {
			size := c.daemons
			f := newFleet(size)
			for shard := range uint32(capacityShards) {
				f.daemons[int(shard)%size].publish(shard, 1, 1)
			}
			for i, d := range f.daemons {
				d.step(capacityLocal(i, size, c.services))
			}
			f.net.Run(20 * time.Second)
			seconds := 0
			f.reset()
			begin := measure.Processor()
			for b.Loop() {
				f.net.Run(time.Second)
				seconds++
			}
			spent := measure.Processor() - begin
			bytes, sent, most := f.traffic(0)
			n := float64(size * seconds)
			b.ReportMetric(float64(bytes)/n, "B/daemon-s")
			b.ReportMetric(float64(most)/float64(seconds), "busiest-B/s")
			b.ReportMetric(float64(sent)/n, "messages/daemon-s")
			b.ReportMetric(float64(spent.Nanoseconds())/n, "cpu-ns/daemon-s")
		})
	}
}

// capacityLocal returns the state that the i-th of size daemons reports about
// itself: its shards, and requests for some services.
func capacityLocal(i, size, services int) membership.LocalState {
	local := membership.LocalState{ConfigRevision: 40_000, Demand: make(map[string]membership.Demand)}
	for shard := i; shard < capacityShards; shard += size {
		local.OwnedShards = append(local.OwnedShards, membership.ShardEpoch{
			Shard: model.ShardID(shard), Epoch: 81_234,
			Free: model.Resources{MilliCPU: 12_000, MemoryMB: 40_000},
		})
	}
	for service := range services {
		local.Demand[fmt.Sprintf("reorder-service-%04d", service)] = membership.Demand{InFlight: 30, Queued: 2}
	}
	return local
}

// BenchmarkCapacityMemberHeap measures the memory of the record of one other
// daemon.
func BenchmarkCapacityMemberHeap(b *testing.B) {
	const members = 300
	var perMember float64
	for b.Loop() {
		before := measure.Heap()
		m := membership.New(membership.Member{ID: "self", Address: "10.1.0.1:7100"}, membership.Options{})
		now := time.Unix(1_800_000_000, 0)
		for i := range members {
			source := membership.New(membership.Member{
				ID: model.DaemonID(fmt.Sprintf("entry-mvd-a-%03d", i)), Incarnation: uint64(now.UnixNano()),
				Address: fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250), Zone: "mvd-a", Started: now,
			}, membership.Options{})
			source.Step(now, capacityLocal(i, members, 20))
			from, _ := source.Outgoing()
			m.Step(now, membership.Received{From: from})
		}
		perMember = float64(measure.Heap()-before) / members
		runtime.KeepAlive(m)
	}
	b.ReportMetric(perMember, "heap-B/member")
}
