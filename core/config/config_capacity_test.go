package config

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/capacity/measure"
)

// BenchmarkCapacityWorkloadHeap is the memory and the stored size of a workload
// in the configuration that a daemon decoded from the store. The team records
// are included.
func BenchmarkCapacityWorkloadHeap(b *testing.B) {
	accepted, _ := mustAccept(b, nil, benchManifest())
	stored, err := proto.Marshal(accepted.Encode())
	if err != nil {
		b.Fatal(err)
	}
	var perWorkload float64
	for b.Loop() {
		before := measure.Heap()
		decoded := decodeStored(b, stored)
		perWorkload = float64(measure.Heap()-before) / benchWorkloads
		runtime.KeepAlive(decoded)
	}
	b.ReportMetric(perWorkload, "heap-B/workload")
	b.ReportMetric(float64(len(stored))/benchWorkloads, "stored-B/workload")
}

// BenchmarkCapacityChange is the processor time and the bytes of one change:
// for the daemon that accepts it, for one that reads the whole value, and for
// one that takes the delta.
func BenchmarkCapacityChange(b *testing.B) {
	m := benchManifest()
	current, _ := mustAccept(b, nil, m)
	changed := changedTasks(m, 1, 20)
	b.Run("accept", func(b *testing.B) {
		perOp(b, func() {
			next, _, err := Accept(current, changed, 220, "w")
			if err != nil {
				b.Fatal(err)
			}
			if _, err := proto.Marshal(next.Encode()); err != nil {
				b.Fatal(err)
			}
		})
	})
	b.Run("decode", func(b *testing.B) {
		stored, err := proto.Marshal(current.Encode())
		if err != nil {
			b.Fatal(err)
		}
		perOp(b, func() { decodeStored(b, stored) })
	})
	b.Run("delta", func(b *testing.B) {
		before, _, d := benchDelta(b, 1)
		perOp(b, func() {
			s := &State{current: before}
			s.history.restart(before.Revision)
			if result, err := s.ApplyDelta(d); result != DeltaInstalled {
				b.Fatal(fmt.Sprint(result), err)
			}
		})
		b.ReportMetric(float64(proto.Size(d)), "B/change")
	})
}

func perOp(b *testing.B, op func()) {
	runs := 0
	begin := measure.Processor()
	for b.Loop() {
		op()
		runs++
	}
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(runs), "cpu-ns/op")
}

func decodeStored(b *testing.B, stored []byte) *Accepted {
	m := &ledgerv1.Manifest{}
	if err := proto.Unmarshal(stored, m); err != nil {
		b.Fatal(err)
	}
	a, err := Decode(m)
	if err != nil {
		b.Fatal(err)
	}
	return a
}
