package config

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// variedManifest returns benchManifest with declarations that vary like those of
// real services and jobs. Each has the digest of a release among its arguments,
// which does not compress.
func variedManifest() *manifest.Manifest {
	m := benchManifest()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range m.Workloads {
		w := &m.Workloads[i]
		w.Name = fmt.Sprintf("%s-%s-%04d", randomText(uint64(i), 8, "aeioulnrst"), randomText(uint64(i%97), 5, "aeioulnrst"), i)
		w.Class = w.Name
		w.Size = model.Resources{MilliCPU: 100 * (1 + random.Int64N(160)), MemoryMB: 256 * (1 + random.Int64N(240))}
		w.Tasks = 1 + random.IntN(40)
		w.Args = []string{
			"serve", fmt.Sprintf("--listen=:%d", 8000+random.IntN(1000)),
			"--release=sha256:" + randomText(uint64(i), 64, "0123456789abcdef"),
		}
	}
	return m.Normalised()
}

// BenchmarkCapacityStored reports the bytes per workload in the stored value,
// before and after compression, for similar and for varied workloads.
func BenchmarkCapacityStored(b *testing.B) {
	for name, m := range map[string]*manifest.Manifest{"alike": benchManifest(), "varied": variedManifest()} {
		b.Run(name, func(b *testing.B) {
			accepted, _ := mustAccept(b, nil, m)
			var value []byte
			perOp(b, func() {
				var err error
				if value, err = accepted.Marshal(); err != nil {
					b.Fatal(err)
				}
			})
			b.ReportMetric(float64(proto.Size(accepted.Encode()))/benchWorkloads, "encoded-B/workload")
			b.ReportMetric(float64(len(value))/benchWorkloads, "stored-B/workload")
		})
	}
}

// BenchmarkCapacityWorkloadHeap reports the heap bytes per workload of a
// configuration decoded from the store, including the team records.
func BenchmarkCapacityWorkloadHeap(b *testing.B) {
	accepted, _ := mustAccept(b, nil, variedManifest())
	stored, err := accepted.Marshal()
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
}

// BenchmarkCapacityChange reports the processor time of one change for the daemon
// that accepts it, for one that decodes the whole stored value, and for one that
// applies the delta, and the bytes of the delta.
func BenchmarkCapacityChange(b *testing.B) {
	m := variedManifest()
	current, _ := mustAccept(b, nil, m)
	changed := changedTasks(m, 1, 20)
	b.Run("accept", func(b *testing.B) {
		perOp(b, func() {
			next, _, err := Accept(current, changed, 220, "w")
			if err != nil {
				b.Fatal(err)
			}
			if _, err := next.Marshal(); err != nil {
				b.Fatal(err)
			}
		})
	})
	b.Run("decode", func(b *testing.B) {
		stored, err := current.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		perOp(b, func() { decodeStored(b, stored) })
	})
	b.Run("delta", func(b *testing.B) {
		before, _, d := benchDelta(b, 1)
		perOp(b, func() {
			s := &State{current: before}
			s.history.reset(before.Revision)
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
	a, err := Unmarshal(port.KeyValue{Value: stored, ModRevision: 1})
	if err != nil {
		b.Fatal(err)
	}
	return a
}
