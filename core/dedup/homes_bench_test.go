package dedup_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/model"
)

// BenchmarkClaim measures one claim at a home, and the memory that a record
// retains.
func BenchmarkClaim(b *testing.B) {
	h := dedup.NewClaimStore(start.Add(-time.Hour), dedup.Options{MaxRecords: 1 << 30})
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = fmt.Sprintf("01990000-0000-7000-8000-%012d", i)
	}
	before := heap()
	b.ResetTimer()
	for i, id := range ids {
		h.Claim(start.Add(time.Duration(i)), request(id, "entry-1/1"))
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "heap-B/record")
	runtime.KeepAlive(h)
	runtime.KeepAlive(ids)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkHomesFor(b *testing.B) {
	for _, members := range []int{8, 300} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			known := make([]model.DaemonID, members)
			for i := range known {
				known[i] = model.DaemonID(fmt.Sprintf("entry-%03d", i))
			}
			b.ReportAllocs()
			for range b.N {
				dedup.HomesFor("orders", "01990000-0000-7000-8000-000000000000", known)
			}
		})
	}
}
