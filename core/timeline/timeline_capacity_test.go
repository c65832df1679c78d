package timeline

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/guavarill/guavarill/capacity/measure"
)

// BenchmarkCapacityEventHeap measures the heap memory of an event in a full ring.
func BenchmarkCapacityEventHeap(b *testing.B) {
	const events = 20_000
	var perEvent float64
	for b.Loop() {
		before := measure.Heap()
		ring := NewRing("entry-mvd-a-017", events)
		for i := range events {
			ring.Append(time.Unix(1_800_000_000, 0), Event{
				Kind: TargetAdded, Subject: fmt.Sprintf("reorder-service-%04d@12/7", i), Shard: ShardPtr(17), Attempt: 3,
			})
		}
		perEvent = float64(measure.Heap()-before) / events
		runtime.KeepAlive(ring)
	}
	b.ReportMetric(perEvent, "heap-B/event")
}
