package jobforecast

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

const testTick = 250 * time.Millisecond

// feed hands jobs of 10 core-s in at a rate for a time, and accepts those within the
// share and, if all is set, the others as well. It makes a forecast each tick.
func feed(m *Meter, next *int, jobsPerSecond int, d time.Duration, all bool, demand Demand) Queue {
	var q Queue
	for passed := time.Duration(0); passed < d; passed += testTick {
		for range jobsPerSecond * int(testTick.Milliseconds()) / 1000 {
			*next++
			if id := numbered(*next); all || position(id, saltShare) < m.Share() {
				m.Arrived(Job{ID: id, Work: 1e7, AllowanceMs: 2000, RunMs: 1000})
			}
		}
		m.Ended(1e6, 1e6)
		m.Pass(testTick)
		q = m.Forecast(demand)
	}
	return q
}

// Guards against a share that is not what workers finish when callers ask for four times
// as much, also where daemons accept jobs beyond the share.
func TestShareOfAFourfoldBurst(t *testing.T) {
	// 40 jobs of 10 core-s a second, and workers that finish 100 cores of work. The work
	// ahead is as much as is wanted.
	demand := Demand{Held: 100_000, Ahead: delayPart * 1000 * 100_000}
	m, next := NewMeter(), 0
	q := feed(m, &next, 40, 10*time.Second, false, demand)
	if math.Abs(q.Share-0.25) > 0.06 {
		t.Errorf("share %.3f, want 0.25", q.Share)
	}
	if want := int64(delayPart * 1000); q.DelayMs != want || q.AllowanceMs != 2000 {
		t.Errorf("delay %d ms of %d ms, want %d of 2000", q.DelayMs, q.AllowanceMs, want)
	}
	m, next = NewMeter(), 0
	if q := feed(m, &next, 40, 10*time.Second, true, demand); q.Share < minShare || q.Share > 0.25 {
		t.Errorf("share %.3f while daemons accept all, want at most 0.25", q.Share)
	}
}

// Guards against a share that falls to nothing while workers finish work, at twenty
// times the load.
func TestShareNeverFallsToNothing(t *testing.T) {
	m, next := NewMeter(), 0
	if q := feed(m, &next, 200, 8*time.Second, false, Demand{Held: 100_000, Ahead: 1e9}); q.Share < minShare {
		t.Errorf("share %.3f", q.Share)
	}
}

// Guards against a share that stays low after a burst of four times the load, even if
// some task goes on to wait.
func TestShareRecoversWithinSeconds(t *testing.T) {
	m, next := NewMeter(), 0
	feed(m, &next, 40, 8*time.Second, false, Demand{Held: 100_000, Ahead: 1e8})
	if q := feed(m, &next, 5, 4*time.Second, false, Demand{Held: 100_000}); q.Share < 1 {
		t.Errorf("share %.3f 4 s after the burst", q.Share)
	}
}

// Guards against a share that ignores the work that waits already.
func TestShareFallsWithTheWorkAhead(t *testing.T) {
	share := func(ahead float64) float64 {
		m, next := NewMeter(), 0
		return feed(m, &next, 20, 5*time.Second, false, Demand{Held: 100_000, Ahead: ahead}).Share
	}
	if little, much := share(0), share(1e8); much >= little {
		t.Errorf("share %.3f with little work ahead, %.3f with much", little, much)
	}
}

// Guards against a forecast by workers that finish nothing.
func TestForecastWithoutAnyWorkFinished(t *testing.T) {
	m, next := NewMeter(), 0
	if q := feed(m, &next, 20, time.Second, false, Demand{Ahead: 1e8}); q.Share != minShare || q.DelayMs != q.AllowanceMs {
		t.Errorf("%+v", q)
	}
}

// Guards against a record that grows with the number of waiting steps.
func TestSmallestSizesAreBounded(t *testing.T) {
	var sizes []TaskKind
	for i := range int64(50) {
		sizes = AddSmallest(sizes, TaskKind{Resources: model.Resources{MilliCPU: 5000 - 100*i, MemoryMB: 100 + i}})
	}
	if len(sizes) != maxSmallest {
		t.Errorf("%d sizes, want %d", len(sizes), maxSmallest)
	}
	sizes = AddSmallest(sizes, TaskKind{Resources: model.Resources{MilliCPU: 1, MemoryMB: 1}})
	if len(sizes) != 1 {
		t.Errorf("%v remain beside a task that is smaller than all", sizes)
	}
	var free FreeCounts
	for i := range int64(1000) {
		free.Add(i * 100)
	}
	if len(free) != maxFreeCounts {
		t.Errorf("%d counts, want %d", len(free), maxFreeCounts)
	}
}

// Guards against a forecast that makes the ledger large.
func TestForecastIsSmall(t *testing.T) {
	q := Queue{Share: 1.0 / 3, DelayMs: 1e7, AllowanceMs: 1e7, Arriving: 1e9, Finishing: 1e9, LongRunning: &LongRunning{Room: 1e9, WaitMs: 1e7}}
	for i := range int64(100) {
		q.Waiting = AddSmallest(q.Waiting, TaskKind{Resources: model.Resources{MilliCPU: 500_000 - i, MemoryMB: 500_000 + i, Accelerators: 8}})
	}
	for i := range int64(maxFreeCounts) {
		for range 99 {
			q.Free.Add(i * freeUnit)
			q.FreeBestEffort.Add(i * freeUnit)
		}
	}
	data, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 2048 {
		t.Errorf("%d bytes", len(data))
	}
}
