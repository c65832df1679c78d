package config

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// benchWorkloads is the number of workloads in the manifest of the benchmarks.
const benchWorkloads = 2000

func benchManifest() *manifest.Manifest {
	m := &manifest.Manifest{Cluster: "c"}
	for i := range 220 {
		quota := &model.Resources{MilliCPU: 400_000, MemoryMB: 1_600_000}
		m.Teams = append(m.Teams, manifest.Team{Name: fmt.Sprintf("team-%03d", i), Quota: quota})
	}
	for i := range benchWorkloads {
		m.Workloads = append(m.Workloads, manifest.Workload{
			Name: fmt.Sprintf("workload-%04d", i), Team: fmt.Sprintf("team-%03d", i%220),
			Kind: model.KindService, Class: "reorder", Priority: "high",
			Size:  model.Resources{MilliCPU: 4000, MemoryMB: 8192},
			Tasks: 13, Slots: 8, Connections: 60, MaxQueue: 400, Spread: manifest.SpreadZone,
			Args: []string{"serve", "--listen=:8080"},
		})
	}
	return m.Normalised()
}

// changedTasks returns a copy of m in which the first n workloads have the given
// number of tasks.
func changedTasks(m *manifest.Manifest, n, tasks int) *manifest.Manifest {
	c := m.Normalised()
	for i := range n {
		c.Workloads[i].Tasks = tasks
	}
	return c
}

func BenchmarkAccept(b *testing.B) {
	m := benchManifest()
	current, _ := mustAccept(b, nil, m)
	for i := 0; b.Loop(); i++ {
		if _, _, err := Accept(current, changedTasks(m, 1, 20+i%2), 220, "w"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(current.Encode()))/benchWorkloads, "stored-bytes/workload")
}

func BenchmarkAcceptSame(b *testing.B) {
	m := benchManifest()
	current, _ := mustAccept(b, nil, m)
	for b.Loop() {
		if _, _, err := Accept(current, m, 220, "w"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCancel(b *testing.B) {
	current, _ := mustAccept(b, nil, benchManifest())
	names := current.Names()[:100]
	for b.Loop() {
		if _, _, err := Cancel(current, names, "w"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	current, _ := mustAccept(b, nil, benchManifest())
	stored := current.Encode()
	for b.Loop() {
		if _, err := Decode(stored); err != nil {
			b.Fatal(err)
		}
	}
}

// benchDelta returns a configuration, a delta from it with n changes, and the
// State that made the delta.
func benchDelta(b *testing.B, n int) (*Accepted, *State, *peerv1.ConfigDelta) {
	m := benchManifest()
	before, _ := mustAccept(b, nil, m)
	after, _ := mustAccept(b, before, changedTasks(m, n, 20))
	sender := NewState()
	sender.InstallStored(before)
	sender.InstallStored(after)
	d := sender.DeltaSince(before.Revision)
	if len(d.GetChanges()) != n {
		b.Fatalf("%d changes", len(d.GetChanges()))
	}
	return before, sender, d
}

func BenchmarkApplyDelta(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			before, _, d := benchDelta(b, n)
			b.ReportAllocs()
			for b.Loop() {
				s := &State{current: before}
				s.history.reset(before.Revision)
				if result, err := s.ApplyDelta(d); result != DeltaInstalled {
					b.Fatal(result, err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/change")
			b.ReportMetric(float64(proto.Size(d))/float64(n), "bytes/change")
		})
	}
}

func BenchmarkDeltaSince(b *testing.B) {
	before, sender, _ := benchDelta(b, 1)
	for b.Loop() {
		if sender.DeltaSince(before.Revision) == nil {
			b.Fatal("nothing to send")
		}
	}
}
