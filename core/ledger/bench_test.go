package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// sizes are the numbers of workers and running tasks of a shard: one of 16 workers, and one
// with all 3,500 workers.
var sizes = []struct{ workers, tasks int }{{16, 300}, {3500, 47_000}}

// loaded returns a session whose ledger contains running tasks on workers.
func loaded(tb testing.TB, workers, tasks int) *session {
	s := newSession(tb, "entry-001/1", ledger.Options{})
	s.own()
	var changes []ledger.Change
	for i := range tasks {
		t := assigned(i, model.WorkerID(fmt.Sprintf("vm-worker-%04d", i%workers)))
		changes = append(changes, put(pending(i)), put(t))
		t.State, t.Address = ledger.Running, "10.20.30.40:8080"
		changes = append(changes, put(t))
	}
	s.propose(changes...)
	s.answerAll()
	if s.ledger.Contents().Len() != tasks {
		tb.Fatalf("%d tasks loaded", s.ledger.Contents().Len())
	}
	s.text.Reset()
	return s
}

// commit proposes changes as one group, executes the commit and returns its size.
func (s *session) commit(changes []ledger.Change) (bytes int) {
	now := s.now.Add(time.Second)
	s.now = now
	for _, c := range s.ledger.Step(now, ledger.Propose{Changes: changes}) {
		if commit, ok := c.(ledger.Commit); ok {
			bytes = commit.Bytes
			s.last = commit
			s.ledger.Step(now, s.execute())
		}
	}
	return bytes
}

// BenchmarkChange measures one committed change in a group of 50 evictions and restarts of
// running tasks.
func BenchmarkChange(b *testing.B) {
	const group = 50
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			s := loaded(b, size.workers, size.tasks)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if n%group == 0 {
					s.commit(s.toggled(group, size.tasks, n))
				}
				n++
			}
		})
	}
}

// toggled returns changes that stop running tasks and start stopped ones.
func (s *session) toggled(group, tasks, from int) []ledger.Change {
	changes := make([]ledger.Change, group)
	for i := range changes {
		t, _ := s.ledger.Effective().Task(key((from + i) % tasks))
		if t.State == ledger.Running {
			t.State, t.Worker, t.Address = ledger.Pending, "", ""
		} else if t.State == ledger.Pending {
			t.State, t.Worker, t.Attempt = ledger.Assigned, "vm-worker-0001", t.Attempt+1
		} else {
			t.State = ledger.Running
		}
		changes[i] = put(t)
	}
	return changes
}

func BenchmarkLoad(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("tasks=%d", size.tasks), func(b *testing.B) {
			s := loaded(b, size.workers, size.tasks)
			kvs := s.store.list(ledger.ShardPrefix(prefix, 0))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ledger.Read(prefix, 0, kvs); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDeltaBytes reports the bytes written per change, by kind.
func BenchmarkDeltaBytes(b *testing.B) {
	const group = 100
	for b.Loop() {
		s := loaded(b, 16, 1)
		s.commit(manyOf(group, func(i int) ledger.Task { return pending(1000 + i) }))
		start := s.commit(manyOf(group, func(i int) ledger.Task {
			return assigned(1000+i, model.WorkerID(fmt.Sprintf("vm-worker-%04d", i)))
		}))
		s.commit(manyOf(group, func(i int) ledger.Task { return pending(2000 + i) }))
		cancel := s.commit(manyOf(group, func(i int) ledger.Task {
			t := pending(2000 + i)
			t.State = ledger.Cancelled
			return t
		}))
		b.ReportMetric(float64(start)/group, "B/start")
		b.ReportMetric(float64(cancel)/group, "B/cancel")
	}
}

func manyOf(n int, task func(int) ledger.Task) []ledger.Change {
	changes := make([]ledger.Change, n)
	for i := range changes {
		changes[i] = put(task(i))
	}
	return changes
}
