package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/retry"
)

var now = time.Unix(1_800_000_000, 0)

func failure() retry.Failure {
	return retry.Failure{
		Fate:     fate.NotRun,
		Attempts: 1,
		Deadline: now.Add(time.Second),
		Expected: 10 * time.Millisecond,
	}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		change func(*retry.Failure)
		want   retry.Verdict
	}{
		{"not run", func(*retry.Failure) {}, retry.Send},
		{"unknown", func(f *retry.Failure) { f.Fate = fate.Unknown }, retry.Unsafe},
		{"unknown, idempotent", func(f *retry.Failure) { f.Fate, f.Idempotent = fate.Unknown, true }, retry.Send},
		{"last attempt", func(f *retry.Failure) { f.Attempts = retry.DefaultMaxAttempts }, retry.TooManyAttempts},
		{"deadline passed", func(f *retry.Failure) { f.Deadline = now }, retry.TooLate},
		{"no time for an answer", func(f *retry.Failure) { f.Deadline = now.Add(9 * time.Millisecond) }, retry.TooLate},
		{"just time", func(f *retry.Failure) { f.Deadline = now.Add(10 * time.Millisecond) }, retry.Send},
	}
	for _, test := range tests {
		f := failure()
		test.change(&f)
		b := retry.NewBudget(retry.Options{})
		before := b.Tokens()
		if got := b.Decide(now, f); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
		if spent := before - b.Tokens(); (spent == 1) != (test.want == retry.Send) {
			t.Errorf("%s: spent %g", test.name, spent)
		}
	}
}

// A service whose exchanges all fail must not be sent a multiple of its load:
// the bound of the package comment holds over any sequence of requests.
func TestRetriesAreBounded(t *testing.T) {
	o := retry.Options{Ratio: 0.2, Burst: 7, MaxAttempts: 4}
	b := retry.NewBudget(o)
	rnd := rand.New(rand.NewPCG(1, 1))
	firsts, retries := 0, 0
	for range 10_000 {
		b.Deposit()
		firsts++
		f := failure()
		for b.Decide(now, f) == retry.Send {
			retries++
			f.Attempts++
		}
		if rnd.IntN(100) == 0 {
			b.Deposit() // a first attempt that succeeds
			firsts++
		}
		if most := float64(firsts)*o.Ratio + o.Burst + 1e-6; float64(retries) > most {
			t.Fatalf("%d retries after %d requests, want at most %g", retries, firsts, most)
		}
	}
	if retries < int(float64(firsts)*o.Ratio) {
		t.Errorf("%d retries for %d requests: less than was earned", retries, firsts)
	}
}
