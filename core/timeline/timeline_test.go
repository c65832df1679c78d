package timeline

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func TestRingKeepsTheLatest(t *testing.T) {
	r := NewRing("a", 3)
	for i := range 5 {
		r.Append(start.Add(time.Duration(i)*time.Second), Event{Kind: TaskRunning})
	}
	for _, c := range []struct {
		since uint64
		want  []uint64
	}{{0, []uint64{3, 4, 5}}, {2, []uint64{3, 4, 5}}, {3, []uint64{4, 5}}, {5, nil}, {9, nil}} {
		var got []uint64
		for _, e := range r.Since(c.since) {
			got = append(got, e.Sequence)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("Since(%d): %s", c.since, diff)
		}
	}
}

// Events of one process must keep their order when its wall clock is set back between
// them. If they are ordered by wall time alone, a task ends before it begins in the
// merged list.
func TestOrderIsKeptWhenTheClockIsSetBack(t *testing.T) {
	r := NewRing("a", 8)
	r.Append(start, Event{Kind: TaskAssigned})
	r.Append(start.Add(-time.Hour), Event{Kind: TaskRunning})
	other := NewRing("b", 8)
	other.Append(start.Add(-time.Minute), Event{Kind: MemberAlive})

	var got []Kind
	for _, e := range Merge(r.All(), other.All()) {
		got = append(got, e.Kind)
	}
	if diff := cmp.Diff([]Kind{MemberAlive, TaskAssigned, TaskRunning}, got); diff != "" {
		t.Error(diff)
	}
}

// Merge must drop duplicates only. A process may restart under the same name while the
// clock still shows the time of its last events, and numbers its events from 1 again.
// If equal time, process and sequence are taken for the same event, the first events
// after the restart are missing from the merged list.
func TestMergeDropsCopiesOnly(t *testing.T) {
	before, after := NewRing("a", 4), NewRing("a", 4)
	before.Append(start, Event{Kind: DaemonStarted, Detail: "boot 1"})
	after.Append(start, Event{Kind: DaemonStarted, Detail: "boot 2"})
	boots := map[string]int{}
	for _, e := range Merge(before.All(), after.All(), before.All()) {
		boots[e.Detail]++
	}
	if diff := cmp.Diff(map[string]int{"boot 1": 1, "boot 2": 1}, boots); diff != "" {
		t.Error(diff)
	}
}

func TestConcurrentAppend(t *testing.T) {
	r := NewRing("a", 1000)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				r.Append(start, Event{Kind: TaskRunning})
				r.Since(0)
			}
		})
	}
	wg.Wait()
	for i, e := range r.All() {
		if e.Sequence != uint64(i+1) {
			t.Fatalf("event %d has sequence %d", i, e.Sequence)
		}
	}
	if n := len(r.All()); n != 800 {
		t.Fatalf("%d events, want 800", n)
	}
}

func TestFormatGolden(t *testing.T) {
	a, b := NewRing("entry-1", 8), NewRing("entry-10", 8)
	a.Append(start, Event{Kind: ShardAcquired, Subject: "entry-1", Shard: ShardPtr(0), Epoch: 17})
	a.Append(start.Add(1500*time.Microsecond), Event{Kind: TaskAssigned, Subject: "route-watcher@1/3", Shard: ShardPtr(0), Epoch: 17, Attempt: 1, Detail: "worker w-7"})
	b.Append(start.Add(time.Millisecond), Event{Kind: ConfigInstalled, Revision: 4, Detail: "two\nlines"})
	var out bytes.Buffer
	if err := Format(&out, Merge(a.All(), b.All())); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "format", out.Bytes())
}

func TestFormatReportsAFailedWrite(t *testing.T) {
	r, w := io.Pipe()
	_ = r.Close()
	err := Format(w, []Event{{Kind: DaemonStarted}})
	var failed *FormatError
	if !errors.As(err, &failed) || !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("error %v", err)
	}
}

func TestEventJSONRoundTrip(t *testing.T) {
	r := NewRing("a", 1)
	r.Append(start, Event{Kind: ShardLost, Shard: ShardPtr(0), Epoch: 3})
	data, err := json.Marshal(r.All())
	if err != nil {
		t.Fatal(err)
	}
	var back []Event
	if err := json.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r.All(), back); diff != "" {
		t.Error(diff)
	}
}
