package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/port"
)

// BenchmarkCapacityAssign measures Assign for 220 shards, which each daemon runs
// whenever its view of the members changes.
func BenchmarkCapacityAssign(b *testing.B) {
	for _, daemons := range []int{8, 50, 300} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			runs := 0
			begin := measure.Processor()
			for b.Loop() {
				ownership.Assign(220, capacityDaemons(daemons))
				runs++
			}
			b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(runs), "cpu-ns/assign")
		})
	}
}

// BenchmarkCapacityCalls measures the rate of store calls that the owner of no
// shard or one shard makes for its lease and ownership while nothing changes.
func BenchmarkCapacityCalls(b *testing.B) {
	for _, shards := range []int{0, 1} {
		b.Run(fmt.Sprintf("owned=%d", shards), func(b *testing.B) {
			var rates map[string]float64
			for b.Loop() {
				rates = capacityCalls(shards)
			}
			b.ReportMetric(rates["writes"], "writes/s")
			b.ReportMetric(rates["reads"], "reads/s")
		})
	}
}

// capacityLease is the default of --lease-ttl.
const capacityLease = 10 * time.Second

// capacityCalls runs a single daemon that owns all of the given number of shards
// for a simulated hour. It returns the store calls per second after the first
// minute, by kind.
func capacityCalls(shards int) map[string]float64 {
	const warm, hour = time.Minute, time.Hour
	now := time.Unix(1_800_000_000, 0)
	start := now
	m := ownership.New("entry-1", "10.0.0.1:7100", ownership.Options{KeyPrefix: "/guavarill/c/", LeaseTTL: capacityLease})
	calls := make(map[string]float64)
	count := func(kind string) {
		if now.Sub(start) >= warm {
			calls[kind] += 1 / (hour - warm).Seconds()
		}
	}
	queue := []ownership.Event{
		ownership.Members{Candidates: []model.DaemonID{"entry-1"}}, ownership.Shards{Count: uint32(shards)},
	}
	for now.Sub(start) < hour {
		queue = append(queue, ownership.Tick{})
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			for _, cmd := range m.Step(now, next) {
				switch cmd := cmd.(type) {
				case ownership.GrantLease:
					count("writes")
					queue = append(queue, ownership.LeaseGranted{ID: 1, TTL: cmd.TTL, SentAt: now})
				case ownership.KeepAlive:
					count("writes")
					queue = append(queue, ownership.KeptAlive{ID: cmd.ID, TTL: capacityLease, SentAt: now})
				case ownership.Acquire:
					count("writes")
					queue = append(queue, ownership.AcquireAnswered{
						Shard: cmd.Shard, Result: port.TxnResult{Succeeded: true, Revision: 5},
					})
				case ownership.ReadOwner:
					count("reads")
					queue = append(queue, ownership.OwnerRead{Shard: cmd.Shard})
				}
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	return calls
}

func capacityDaemons(n int) []model.DaemonID {
	daemons := make([]model.DaemonID, n)
	for i := range daemons {
		daemons[i] = model.DaemonID(fmt.Sprintf("entry-mvd-a-%03d", i))
	}
	return daemons
}
