package jobsched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestCandidatesMatchAFullSearch checks that candidates, which are scored once for a
// step instead of once for each task, yield the same worker for each task as a
// search over all workers at that moment.
func TestCandidatesMatchAFullSearch(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkCandidates(t, seed) })
	}
}

func checkCandidates(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	c := newCluster(t, seed, 20)
	c.run(200 * time.Millisecond)
	for i := range 20 {
		step := makeStep(1+rnd.IntN(12), int64(500+rnd.IntN(4000)), 20*time.Second)
		step.Image = fmt.Sprint("image", rnd.IntN(3))
		switch rnd.IntN(3) {
		case 0:
			step.LongRunning, step.LatencyTargetMs = true, 150
		case 1:
			step.BestEffort = true
		}
		c.submit(i+1, "urgent", step)
	}
	c.run(time.Second)
	m := c.machine
	for i := range 20 {
		step := makeStep(1+rnd.IntN(30), int64(200+rnd.IntN(3000)), time.Second)
		step.MaxPerWorker = rnd.IntN(3)
		step.BestEffort = rnd.IntN(2) == 0
		step.Image = fmt.Sprint("image", rnd.IntN(3))
		id := c.submit(100+i, "urgent", step)
		s := m.jobs.Get(id).occurrences
		if len(s) == 0 {
			m.beginOccurrence(m.jobs.Get(id), 0)
		}
		checkStepCandidates(t, m, m.jobs.Get(id).occurrences[0].steps[0])
	}
}

func checkStepCandidates(t *testing.T, m *Machine, s *step) {
	places := m.newCandidates(s.tasks[0])
	for _, task := range s.tasks {
		want, got := m.bestWorker(task), places.best()
		if want != got {
			t.Fatalf("%s is placed on %v, want %v", task.key(), workerName(got), workerName(want))
		}
		if got == nil {
			return
		}
		m.startAttempt(task, got, task.last+1)
		places.started()
	}
}

func workerName(w *worker) string {
	if w == nil {
		return "no worker"
	}
	return w.id.String()
}
