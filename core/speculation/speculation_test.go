package speculation

import (
	"slices"
	"testing"
	"time"
)

const usual = 640 * time.Millisecond

// stragglerAt returns a candidate that takes a multiple of the usual run and was last
// heard after the given time.
func stragglerAt(factor float64, seen time.Duration) Candidate {
	percent := int(float64(fullPercent) * float64(seen) / (factor * float64(usual)))
	return Candidate{
		Progress: Progress{Percent: percent, Passed: percent, Took: seen, Worked: seen, Slowness: 1},
		Usual:    usual, CopySlowness: 1, Objective: time.Second, Useful: 3 * time.Second,
	}
}

// copied returns the gain of a copy and whether it is worth it and matters.
func copied(c Candidate) (time.Duration, bool) {
	gain, ok := c.Gain()
	return gain, ok && c.Matters()
}

// TestTaskSevenTimesAsLongIsCopied plays the load that the package is for: a short task
// takes seven times as long as the others of its step, as its first report shows.
func TestTaskSevenTimesAsLongIsCopied(t *testing.T) {
	gain, ok := copied(stragglerAt(7, 500*time.Millisecond))
	if !ok || gain < 2*time.Second {
		t.Errorf("copied: %v, gain %s, want a copy that gains over 2 s", ok, gain)
	}
}

// TestTaskOnSlowWorkerIsCopied plays the other load: the worker is six times as slow,
// which is known before the first report.
func TestTaskOnSlowWorkerIsCopied(t *testing.T) {
	c := stragglerAt(6, 100*time.Millisecond)
	c.Progress = Progress{Worked: 100 * time.Millisecond, Slowness: 6}
	if gain, ok := copied(c); !ok {
		t.Errorf("not copied, gain %s", gain)
	}
}

// TestUsualTaskIsNotCopied checks that no task gets a copy that takes as long as the
// others, somewhat longer, or has been seen too briefly to tell.
func TestUsualTaskIsNotCopied(t *testing.T) {
	for name, c := range map[string]Candidate{
		"usual":         stragglerAt(1, 400*time.Millisecond),
		"half as long":  stragglerAt(1.5, 500*time.Millisecond),
		"seen briefly":  stragglerAt(7, 50*time.Millisecond),
		"nearly done":   stragglerAt(7, 4*time.Second),
		"never heard":   {Progress: Progress{Worked: time.Second, Slowness: 1}, Usual: usual, CopySlowness: 1, Objective: time.Second, Useful: 3 * time.Second},
		"nothing known": {Progress: Progress{Took: time.Second, Passed: 1}, Objective: time.Second, Useful: 3 * time.Second},
	} {
		if gain, ok := copied(c); ok {
			t.Errorf("%s: copied for a gain of %s", name, gain)
		}
	}
}

// TestCopyMustMatterToTheJob checks that no copy is started of a task that is in time
// without it, nor of one whose copy is too late as well, nor on a slow worker.
func TestCopyMustMatterToTheJob(t *testing.T) {
	inTime, tooLate, slow := stragglerAt(7, 500*time.Millisecond), stragglerAt(7, 500*time.Millisecond), stragglerAt(7, 500*time.Millisecond)
	inTime.Objective, inTime.Useful = time.Minute, 3*time.Minute
	tooLate.Objective, tooLate.Useful = -2*time.Second, 100*time.Millisecond
	slow.CopySlowness = 6
	for name, c := range map[string]Candidate{"in time": inTime, "too late": tooLate, "slow worker": slow} {
		if gain, ok := copied(c); ok {
			t.Errorf("%s: copied for a gain of %s", name, gain)
		}
	}
}

// TestSilentWorker checks that a task whose worker does not answer gets a copy before
// it is declared lost.
func TestSilentWorker(t *testing.T) {
	c := stragglerAt(1, 500*time.Millisecond)
	c.LostIn = 10 * time.Second
	if _, ok := copied(c); !ok {
		t.Error("not copied")
	}
}

// TestUsual checks what a usual run is taken to be with few and with many others to tell.
func TestUsual(t *testing.T) {
	for _, c := range []struct {
		runs           []time.Duration
		estimate, want time.Duration
	}{
		{nil, 0, 0},
		{nil, time.Second, 2 * time.Second},
		{[]time.Duration{500 * time.Millisecond}, time.Second, time.Second},
		{[]time.Duration{3 * time.Second}, time.Second, 3 * time.Second},
		{[]time.Duration{7 * time.Second, time.Second, 1100 * time.Millisecond}, 5 * time.Second, 1100 * time.Millisecond},
	} {
		if got := Usual(c.runs, c.estimate); got != c.want {
			t.Errorf("usual run of %v, estimate %s: %s, want %s", c.runs, c.estimate, got, c.want)
		}
	}
}

// TestBudget checks that copies stay within their share, however many tasks are slow,
// and leave room free.
func TestBudget(t *testing.T) {
	b := Budget{Room: 1_000_000, Free: 500_000, Attempts: 400}
	started := 0
	for ; b.Allows(2000) && started < 1000; started++ {
		b.Take(2000)
	}
	if started != 25 {
		t.Errorf("%d copies of 2 cores on 1000 cores, want 25", started)
	}
	if full := (Budget{Room: 1_000_000, Free: 90_000, Attempts: 400}); full.Allows(1000) {
		t.Error("a copy is allowed where less than a tenth is free")
	}
	if small := (Budget{Room: 16_000, Free: 12_000, Attempts: 2}); !small.Allows(1000) {
		t.Error("no copy is allowed on a small service with free room")
	}
}

// TestRank checks that the last tasks of steps come first, and then the largest gain.
func TestRank(t *testing.T) {
	ranks := []Rank{{false, 5}, {true, 1}, {false, 9}, {true, 3}}
	slices.SortFunc(ranks, Rank.Compare)
	if want := []Rank{{true, 3}, {true, 1}, {false, 9}, {false, 5}}; !slices.Equal(ranks, want) {
		t.Errorf("%v, want %v", ranks, want)
	}
}
