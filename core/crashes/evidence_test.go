package crashes

import (
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// TestCountThatBeganAnewMissesNoCrash guards against services that are given up after
// four mass crashes at the same time of their runs, because crashes before the first of
// them, which were counted and dropped, are taken for crashes that may be missing.
func TestCountThatBeganAnewMissesNoCrash(t *testing.T) {
	crash := func(attempt int, ran time.Duration) job.Crash {
		return job.Crash{Attempt: attempt, ObservedRunMs: ran.Milliseconds(), Correlated: true}
	}
	for name, test := range map[string]struct {
		crashes Evidence
		tooMany int
	}{
		"no crash counted before": {nil, Most - 1},
		"one counted and dropped": {Evidence{crash(1, 30*time.Second)}, Most},
	} {
		crashes, n := test.crashes, 0
		for !crashes.TooMany() && n < 2*Most {
			n++
			crashes = crashes.Add(crash(1+16*n, 40*time.Second))
		}
		if n != test.tooMany {
			t.Errorf("%s: given up after %d crashes at the same run time, want %d", name, n, test.tooMany)
		}
	}
}

// TestFurtherStartsAreBounded guards against jobs that are given up after fewer crashes than
// the contract tolerates, and against more than two starts of a task after three crashes.
func TestFurtherStartsAreBounded(t *testing.T) {
	crash := func(attempt int, ran int64) job.Crash { return job.Crash{Attempt: attempt, ObservedRunMs: ran} }
	followed := func(c job.Crash) job.Crash { c.Followed = true; return c }
	uncertain := func(c job.Crash) job.Crash { c.Uncertain = true; return c }
	for name, test := range map[string]struct {
		crashes Evidence
		tooMany bool
	}{
		"three at the same run time":               {Evidence{crash(1, 0), crash(18, 0), crash(35, 0)}, false},
		"four that nothing else explains":          {Evidence{crash(1, 0), crash(18, 0), crash(35, 0), crash(52, 0)}, false},
		"five":                                     {Evidence{crash(1, 0), crash(18, 0), crash(35, 0), crash(52, 0), crash(69, 0)}, true},
		"four, the first of a later attempt":       {Evidence{crash(18, 0), crash(35, 0), crash(52, 0), crash(69, 0)}, true},
		"four, one at a time not known":            {Evidence{crash(1, 0), crash(18, job.ObservedRunUnknown), crash(35, 0), crash(52, 0)}, true},
		"four, another start after the third":      {Evidence{crash(1, 0), crash(18, 0), followed(crash(35, 0)), crash(69, 0)}, true},
		"four and another start":                   {Evidence{crash(1, 0), crash(18, 0), crash(35, 0), followed(crash(52, 0))}, true},
		"four, another start after the second":     {Evidence{crash(1, 0), followed(crash(18, 0)), crash(52, 0), crash(69, 0)}, false},
		"three and another start":                  {Evidence{crash(1, 0), crash(18, 0), followed(crash(35, 0))}, false},
		"three that may miss one, another between": {Evidence{crash(18, 0), followed(crash(35, 0)), crash(69, 0)}, true},
		"three from the first attempt on, the first at a time not known, another between": {Evidence{
			crash(1, job.ObservedRunUnknown), followed(crash(35, 0)), uncertain(crash(69, 0))}, false},
		"four, three of them uncertain": {Evidence{
			uncertain(crash(18, 0)), uncertain(crash(35, 0)), uncertain(crash(52, 0)), crash(69, 0)}, false},
	} {
		if got := test.crashes.TooMany(); got != test.tooMany {
			t.Errorf("%s: given up %t, want %t", name, got, test.tooMany)
		}
	}
}

// TestWithdrawnCrashIsAnotherStart guards against starts that no longer count, and against
// crashes that are presumed missing, once a crash before the others is withdrawn.
func TestWithdrawnCrashIsAnotherStart(t *testing.T) {
	crash := func(attempt int) job.Crash { return job.Crash{Attempt: attempt} }
	followed, anew := crash(1), crash(18)
	followed.Followed, anew.CountsAnew = true, true
	for name, test := range map[string]struct {
		crashes Evidence
		attempt int
		want    Evidence
	}{
		"not counted":            {Evidence{crash(1)}, 18, Evidence{crash(1)}},
		"the only one":           {Evidence{crash(18)}, 18, Evidence{}},
		"the last":               {Evidence{crash(1), crash(18)}, 18, Evidence{followed}},
		"the first":              {Evidence{crash(1), crash(18)}, 1, Evidence{anew}},
		"one that may miss some": {Evidence{crash(2), crash(18)}, 2, Evidence{crash(18)}},
	} {
		if got := test.crashes.Withdraw(test.attempt); !slices.Equal(got, test.want) {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
