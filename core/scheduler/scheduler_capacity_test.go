package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/placement"
	"github.com/guavarill/guavarill/core/plan"
	"github.com/guavarill/guavarill/core/scheduler"
	"github.com/guavarill/guavarill/port"
)

// The benchmarks use one shard of a cluster with 2,000 workloads, 220 teams
// and 220 shards.
const (
	capacityShards  = 220
	capacityWorkers = 16
	// capacityFilled is the number of workloads, out of 2,000, that have a
	// running task in the shard.
	capacityFilled = 214
)

// capacityShard is the shard under test, with an in-memory ledger.
type capacityShard struct {
	now      time.Time
	ledger   *ledger.Ledger
	snapshot *scheduler.Snapshot
	workers  map[model.WorkerID]model.Resources
}

// capacityManifest declares 2,000 workloads. The first filled of them have
// the given number of tasks in each shard; the others have one task in the
// whole cluster.
func capacityManifest(filled, tasks int) *manifest.Manifest {
	m := &manifest.Manifest{Cluster: "c"}
	for i := range 220 {
		m.Teams = append(m.Teams, manifest.Team{Name: fmt.Sprintf("team-%03d", i)})
	}
	for i := range 2000 {
		w := manifest.Workload{
			Name: fmt.Sprintf("workload-%04d", i), Team: fmt.Sprintf("team-%03d", i%220),
			Kind: model.KindBatch, Class: fmt.Sprintf("class-%02d", i%40), Priority: "normal",
			Size: model.Resources{MilliCPU: 500, MemoryMB: 1024}, Tasks: 1,
		}
		if i < filled {
			w.Tasks = tasks * capacityShards
		}
		m.Workloads = append(m.Workloads, w)
	}
	return m.Normalised()
}

func newCapacityShard(b *testing.B, filled, tasks int) *capacityShard {
	accepted, _, err := config.Accept(nil, capacityManifest(filled, tasks), capacityShards, "w")
	if err != nil {
		b.Fatal(err)
	}
	s := &capacityShard{
		now:     time.Unix(1_800_000_000, 0),
		ledger:  ledger.New(0, "entry-1/1", ledger.Options{KeyPrefix: "/guavarill/c/"}),
		workers: make(map[model.WorkerID]model.Resources),
	}
	slowdowns := interference.New(interference.DefaultOptions())
	sizes := interference.NewSizes(interference.DefaultSizeOptions())
	s.snapshot = &scheduler.Snapshot{
		Shards: capacityShards, Config: accepted, Ledger: s.ledger.Effective(),
		CommitSize: sizes.CommitSize, Predictor: slowdowns, Costs: eviction.DefaultCosts(),
		Placer: placement.Default(placement.Options{}),
	}
	for i := range capacityWorkers {
		vm := model.VM{
			ID: model.WorkerID(fmt.Sprintf("worker-mvd-a-%04d", i)), Role: model.RoleWorker, State: model.VMLive,
			Zone: "mvd-a", Rack: model.Rack(fmt.Sprintf("rack-%d", i/8)),
			Capacity: model.Resources{MilliCPU: 64_000, MemoryMB: 256_000, Accelerators: 1},
		}
		s.workers[vm.ID] = vm.Capacity
		s.snapshot.Workers = append(s.snapshot.Workers, scheduler.Worker{VM: vm, Load: 0.5})
		s.snapshot.LargestCapacities = []model.Resources{vm.Capacity}
	}
	s.step(ledger.Acquired{Epoch: 1})
	return s
}

// step passes an event to the ledger and answers its commands like a store on
// which every transaction succeeds.
func (s *capacityShard) step(ev ledger.Event) {
	queue := []ledger.Event{ev}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, cmd := range s.ledger.Step(s.now, next) {
			switch cmd := cmd.(type) {
			case ledger.Load:
				owner := port.KeyValue{Key: ledger.OwnerKey("/guavarill/c/", 0), CreateRevision: 1}
				queue = append(queue, ledger.LoadAnswered{KVs: []port.KeyValue{owner}, Revision: 1})
			case ledger.Commit:
				queue = append(queue, ledger.TxnAnswered{ID: cmd.ID, Result: port.TxnResult{Succeeded: true, Revision: 2}})
			}
		}
	}
}

// cycle runs one scheduling cycle, applies its plan, and returns the number of
// accepted changes.
func (s *capacityShard) cycle() int {
	s.now = s.now.Add(time.Second)
	s.snapshot.Now = s.now
	s.snapshot.Ledger = s.ledger.Effective()
	p := scheduler.Decide(s.snapshot, scheduler.DefaultOptions())
	s.snapshot.Synced = s.snapshot.Config.Revision
	accepted, _ := plan.Apply(s.ledger.Effective(), func(id model.WorkerID) (model.Resources, bool) {
		capacity, known := s.workers[id]
		return capacity, known
	}, p)
	if len(accepted) > 0 {
		s.step(ledger.Propose{Changes: accepted})
	}
	return len(accepted)
}

func (s *capacityShard) settle() {
	for s.cycle() > 0 {
	}
}

// BenchmarkCapacityCycle measures one scheduling cycle of a shard with 214
// running tasks, with nothing to do and after a configuration change that does
// not concern the shard.
func BenchmarkCapacityCycle(b *testing.B) {
	for _, name := range []string{"idle", "changed"} {
		b.Run(name, func(b *testing.B) {
			s := newCapacityShard(b, capacityFilled, 1)
			s.settle()
			runs := 0
			begin := measure.Processor()
			for b.Loop() {
				if name == "changed" {
					s.snapshot.Synced = 0
				}
				s.cycle()
				runs++
			}
			b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(runs), "cpu-ns/cycle")
		})
	}
}

// BenchmarkCapacityPlace measures placing 400 pending tasks in one cycle in a
// shard of 16 workers, including the plan and the commit. The preceding cycle,
// which creates the pending tasks, is not measured.
func BenchmarkCapacityPlace(b *testing.B) {
	const tasks = 400
	spent := time.Duration(0)
	placed := 0
	for b.Loop() {
		s := newCapacityShard(b, tasks, 1)
		s.cycle()
		begin := measure.Processor()
		placed += s.cycle()
		spent += measure.Processor() - begin
	}
	if placed < tasks*b.N {
		b.Fatalf("%d of %d placed", placed, tasks*b.N)
	}
	b.ReportMetric(float64(spent.Nanoseconds())/float64(placed), "cpu-ns/start")
}
