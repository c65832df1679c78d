package placement

import "testing"

// Guards against two noisy tasks being placed next to the same service while
// another service has no noisy neighbour.
func TestSlowdownScoreSeparatesNoisyTasks(t *testing.T) {
	effects := fixedEffects{"noisy": 0.4, "quiet": 0.01}
	workers := fleet(2, 1, 1, big)
	for i := range workers {
		workers[i].Tasks = []Resident{{Key: instance(uint32(i), 2).Key, Class: "orders", Service: true}}
	}
	workers[0].Tasks = append(workers[0].Tasks, Resident{Key: batch(1, big).Key, Class: "noisy"})
	workers[1].Tasks = append(workers[1].Tasks, Resident{Key: batch(4, big).Key, Class: "quiet"})
	s := NewSnapshot(workers, effects)
	// BatchWeight is 0, so only the harm to the two services is compared.
	score := SlowdownScore{W: 1, ServiceWeight: 1}
	noisy, quiet := batch(2, big), batch(3, big)
	noisy.Class, quiet.Class = "noisy", "quiet"
	if score.Score(s, noisy, s.workers[0]) >= score.Score(s, noisy, s.workers[1]) {
		t.Error("the second noisy task does not avoid the worker of the first")
	}
	if score.Score(s, noisy, s.workers[1]) >= score.Score(s, quiet, s.workers[1]) {
		t.Error("a noisy task does not get a lower score than a quiet one")
	}
}

// The slowdown of the placed task itself counts too: a service avoids noisy
// batch tasks.
func TestSlowdownScoreCountsTheTaskItself(t *testing.T) {
	workers := fleet(2, 1, 1, big)
	workers[0].Tasks = []Resident{{Key: batch(1, big).Key, Class: "noisy"}}
	s := NewSnapshot(workers, fixedEffects{"noisy": 0.4})
	score := DefaultSlowdownScore()
	if score.Score(s, instance(1, 1), s.workers[0]) >= score.Score(s, instance(1, 1), s.workers[1]) {
		t.Error("a service does not avoid a noisy batch task")
	}
}
