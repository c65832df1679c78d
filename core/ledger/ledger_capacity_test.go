package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// The size of one shard of 16 workers if 47,000 tasks run on 3,500 workers.
const (
	capacityWorkers = 16
	capacityTasks   = 214
)

// capacityShard is a ledger with a fake store that answers immediately.
type capacityShard struct {
	store  *fakeStore
	ledger *ledger.Ledger
	now    time.Time
	// commits is the number of commits sent to the store; valueBytes and keyBytes
	// are the sizes of their values and keys.
	commits    int
	valueBytes int
	keyBytes   int
}

func newCapacityShard(tasks int) *capacityShard {
	s := &capacityShard{
		store: newFakeStore(func([]port.Op) {}),
		now:   time.Unix(1_700_000_000, 0),
	}
	s.ledger = ledger.New(0, "entry-mvd-a-017/2026-12-02T03:04:05.123456789Z", ledger.Options{KeyPrefix: prefix})
	s.store.txn(nil, []port.Op{{Key: ledger.OwnerKey(prefix, 0), Value: []byte("owner")}})
	s.step(ledger.Acquired{Epoch: model.Epoch(s.store.revision)})
	for i := range tasks {
		for _, t := range capacityLife(i)[:3] {
			s.propose(t)
		}
	}
	s.commits, s.valueBytes, s.keyBytes = 0, 0, 0
	return s
}

func (s *capacityShard) step(ev ledger.Event) {
	queue := []ledger.Event{ev}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, cmd := range s.ledger.Step(s.now, next) {
			switch cmd := cmd.(type) {
			case ledger.Load:
				queue = append(queue, ledger.LoadAnswered{KVs: s.store.list(cmd.Prefix), Revision: s.store.revision})
			case ledger.Commit:
				s.count(cmd)
				queue = append(queue, ledger.TxnAnswered{ID: cmd.ID, Result: s.store.txn(cmd.Conditions, cmd.Ops)})
			}
		}
	}
}

func (s *capacityShard) count(cmd ledger.Commit) {
	s.commits++
	s.valueBytes += cmd.Bytes
	for _, c := range cmd.Conditions {
		s.keyBytes += len(c.Key)
	}
	for _, op := range cmd.Ops {
		s.keyBytes += len(op.Key) + len(op.RangeEnd)
	}
}

func (s *capacityShard) propose(tasks ...ledger.Task) {
	changes := make([]ledger.Change, len(tasks))
	for i := range tasks {
		changes[i] = ledger.Change{Put: &tasks[i]}
	}
	s.now = s.now.Add(time.Second)
	s.step(ledger.Propose{Changes: changes})
}

func (s *capacityShard) remove(tasks ...ledger.Task) {
	changes := make([]ledger.Change, len(tasks))
	for i := range tasks {
		changes[i] = ledger.Change{Remove: &tasks[i].Key}
	}
	s.now = s.now.Add(time.Second)
	s.step(ledger.Propose{Changes: changes})
}

// keep adds the records of tasks that have ended.
func (s *capacityShard) keep(tasks int) {
	for i := range tasks {
		for _, t := range capacityLife(1_000_000 + i) {
			s.propose(t)
		}
	}
	s.commits, s.valueBytes, s.keyBytes = 0, 0, 0
}

// capacityLife returns the successive records of one task from its creation to its end.
func capacityLife(i int) []ledger.Task {
	t := ledger.Task{
		Key:   model.TaskKey{Workload: fmt.Sprintf("reconciliation-%05d", i/8), Generation: 3, Index: uint32(i % 8)},
		State: ledger.Pending,
		Size:  model.Resources{MilliCPU: 1500, MemoryMB: 4096},
		Class: "reconciliation", Priority: model.PriorityNormal, Team: fmt.Sprintf("team-%03d", i%220),
	}
	life := []ledger.Task{t}
	t.State, t.Attempt = ledger.Assigned, 1
	t.Worker = model.WorkerID(fmt.Sprintf("worker-mvd-a-%04d", i%capacityWorkers))
	life = append(life, t)
	t.State = ledger.Running
	t.Address = fmt.Sprintf("10.20.%d.%d:30017", i/250%250, i%250)
	life = append(life, t)
	t.State = ledger.Succeeded
	return append(life, t)
}

// BenchmarkCapacityHeap measures the heap of a loaded ledger with both of its views.
func BenchmarkCapacityHeap(b *testing.B) {
	const tasks = 20 * capacityTasks
	var perTask float64
	for b.Loop() {
		before := measure.Heap()
		s := newCapacityShard(tasks)
		s.store.keys = nil
		perTask = float64(measure.Heap()-before) / tasks
		runtime.KeepAlive(s)
	}
	b.ReportMetric(perTask, "heap-B/task")
}

// BenchmarkCapacityLife measures the lives of batch tasks from creation to removal, in groups of
// the given number of starts that are proposed together. 214 other tasks are running in the
// shard, and it keeps the records of ended tasks. Compactions, which write all these records,
// are included.
func BenchmarkCapacityLife(b *testing.B) {
	for _, c := range []struct{ starts, kept int }{{1, 0}, {5, 0}, {50, 0}, {5, 2400}, {50, 2400}} {
		b.Run(fmt.Sprintf("starts=%d/kept=%d", c.starts, c.kept), func(b *testing.B) {
			starts := c.starts
			s := newCapacityShard(capacityTasks)
			s.keep(c.kept)
			rounds := 0
			spent := time.Duration(0)
			for b.Loop() {
				lives := make([][]ledger.Task, 4)
				for i := range starts {
					for state, t := range capacityLife(capacityTasks + rounds*starts + i) {
						lives[state] = append(lives[state], t)
					}
				}
				rounds++
				begin := measure.Processor()
				for _, tasks := range lives {
					s.propose(tasks...)
				}
				s.remove(lives[0]...)
				spent += measure.Processor() - begin
			}
			n := float64(rounds * starts)
			b.ReportMetric(float64(spent.Nanoseconds())/n, "cpu-ns/life")
			b.ReportMetric(float64(s.valueBytes)/n, "value-B/life")
			b.ReportMetric(float64(s.keyBytes)/float64(s.commits), "key-B/commit")
			b.ReportMetric(float64(s.commits)/float64(rounds), "commits/round")
		})
	}
}

// BenchmarkCapacityTakeover measures the bytes that a new owner reads and the time to replay
// them.
func BenchmarkCapacityTakeover(b *testing.B) {
	s := newCapacityShard(capacityTasks)
	kvs := s.store.list(ledger.ShardPrefix(prefix, 0))
	bytes := 0
	for _, kv := range kvs {
		bytes += len(kv.Key) + len(kv.Value)
	}
	loads := 0
	begin := measure.Processor()
	for b.Loop() {
		l := ledger.New(0, "next", ledger.Options{KeyPrefix: prefix})
		l.Step(s.now, ledger.Acquired{Epoch: 2})
		l.Step(s.now, ledger.LoadAnswered{KVs: kvs, Revision: s.store.revision})
		loads++
	}
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(loads), "cpu-ns/load")
	b.ReportMetric(float64(bytes), "stored-B")
}
