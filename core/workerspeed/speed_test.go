package workerspeed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

var begin = time.UnixMilli(1_700_000_000_000)

// source names an attempt of the given step.
func source(step, index int) Source {
	return Source{Task: job.TaskKey{Job: "job", Step: step, Index: index}, Attempt: 1}
}

// observeSteps takes in one attempt of each of the given number of steps.
func (s *Speed) observeSteps(now time.Time, steps int, slowness float64) {
	for i := range steps {
		s.Observe(now, source(i, 0), slowness, Exact)
	}
}

// TestSlowWorkerIsFound: a worker on which everything takes six times as long is found
// by the third attempt.
func TestSlowWorkerIsFound(t *testing.T) {
	for attempts, want := range []float64{1, 1, 1, 6, 6} {
		var s Speed
		s.observeSteps(begin, attempts, 6)
		if got := s.Slowness(begin); got != want {
			t.Errorf("%d attempts: slowness %.2f, want %.2f", attempts, got, want)
		}
	}
}

// TestOneLongJobMakesNoWorkerSlow guards against a worker that counts as slow because of
// many long tasks of one step.
func TestOneLongJobMakesNoWorkerSlow(t *testing.T) {
	var s Speed
	for i := range 10 {
		s.Observe(begin, source(0, i), 6, Exact)
	}
	if got := s.Slowness(begin); got != 1 {
		t.Errorf("slowness %.2f by tasks of one step, want 1", got)
	}
}

// TestStragglersMakeNoWorkerSlow plays workers on which 3% of the tasks take seven times
// as long by chance.
func TestStragglersMakeNoWorkerSlow(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	const tasks = 100_000
	slow := 0
	var s Speed
	for i := range tasks {
		took := 0.9 + 0.2*rnd.Float64()
		if rnd.IntN(100) < 3 {
			took *= 7
		}
		now := begin.Add(time.Duration(i) * 200 * time.Millisecond)
		s.Observe(now, source(i, 0), took, Exact)
		if s.Slowness(now) >= SlowFrom {
			slow++
		}
	}
	if slow > tasks/1000 {
		t.Errorf("slow after %d of %d tasks, want at most one in a thousand", slow, tasks)
	}
}

// TestRecoveredWorkerIsFound: fresh evidence of a normal speed outweighs what was seen
// before.
func TestRecoveredWorkerIsFound(t *testing.T) {
	var s Speed
	s.observeSteps(begin, 10, 6)
	now := begin.Add(3 * time.Second)
	for i := range 3 {
		s.Observe(now, source(20+i, 0), 1, Exact)
	}
	if got := s.Slowness(now); got >= NormalBelow {
		t.Errorf("slowness %.2f after three normal tasks, want below %.2f", got, NormalBelow)
	}
}

// TestOneAttemptShowsThatASlowWorkerStaysSlow: a slow worker gets little work, and one
// task there shows whether it has recovered.
func TestOneAttemptShowsThatASlowWorkerStaysSlow(t *testing.T) {
	for _, slowness := range []float64{1, 6} {
		var s Speed
		s.observeSteps(begin, 4, 6)
		now := begin.Add(holdTime + time.Second)
		s.Observe(now, source(9, 0), slowness, Exact)
		if got := s.Slowness(now); slowness == 1 && got != 1 || slowness == 6 && got < SlowFrom {
			t.Errorf("slowness %.2f after an attempt that took %.0f times as long", got, slowness)
		}
	}
}

// TestSlownessIsForgotten: without evidence a worker becomes unknown, and gets work
// that shows its speed.
func TestSlownessIsForgotten(t *testing.T) {
	var s Speed
	s.observeSteps(begin, 4, 6)
	last := 6.0
	for age := time.Duration(0); age <= forgetTime; age += time.Second {
		got := s.Slowness(begin.Add(age))
		if got > last || age <= holdTime && got != 6 {
			t.Errorf("slowness %.2f after %s, %.2f a second before", got, age, last)
		}
		last = got
	}
	if known := s.Confidence(begin.Add(forgetTime)); last != 1 || known.Attempts != 0 {
		t.Errorf("slowness %.2f by %d attempts after %s, want unknown", last, known.Attempts, forgetTime)
	}
}

// TestWorkBesideMakesNoWorkerSlow guards against disturbed tasks taken for a slow worker;
// they do show that a worker is faster than was known.
func TestWorkBesideMakesNoWorkerSlow(t *testing.T) {
	var s Speed
	for i := range 5 {
		s.Observe(begin, source(i, 0), 3, AtMost)
	}
	if got := s.Slowness(begin); got != 1 {
		t.Errorf("slowness %.2f by disturbed tasks, want 1", got)
	}
	s.observeSteps(begin, 5, 6)
	now := begin.Add(500 * time.Millisecond)
	for i := range 5 {
		s.Observe(now, source(i, 0), 2, AtMost)
	}
	if got := s.Slowness(now); got != 2 {
		t.Errorf("slowness %.2f after disturbed tasks took twice as long, want 2", got)
	}
}
