package placement

import "testing"

// Symptom: two noisy tasks meet beside one service while another has none.
func TestSlowdownScoreSeparatesNoise(t *testing.T) {
	effects := fixedEffects{"loud": 0.4, "quiet": 0.01}
	workers := fleet(2, 1, 1, big)
	for i := range workers {
		workers[i].Tasks = []Resident{{Key: instance(uint32(i), 2).Key, Class: "orders", Service: true}}
	}
	workers[0].Tasks = append(workers[0].Tasks, Resident{Key: batch(1, big).Key, Class: "loud"})
	workers[1].Tasks = append(workers[1].Tasks, Resident{Key: batch(4, big).Key, Class: "quiet"})
	s := NewSnapshot(workers, effects)
	// What batch suffers is left out: only the two services are compared.
	score := SlowdownScore{W: 1, ServiceWeight: 1}
	loud, quiet := batch(2, big), batch(3, big)
	loud.Class, quiet.Class = "loud", "quiet"
	if score.Score(s, loud, s.workers[0]) >= score.Score(s, loud, s.workers[1]) {
		t.Error("the second loud task is not kept from the first")
	}
	if score.Score(s, loud, s.workers[1]) >= score.Score(s, quiet, s.workers[1]) {
		t.Error("a loud task is not rated below a quiet one")
	}
}

// The task's own slowdown counts too: a service keeps away from loud batch.
func TestSlowdownScoreCountsTheTaskItself(t *testing.T) {
	workers := fleet(2, 1, 1, big)
	workers[0].Tasks = []Resident{{Key: batch(1, big).Key, Class: "loud"}}
	s := NewSnapshot(workers, fixedEffects{"loud": 0.4})
	score := DefaultSlowdownScore()
	if score.Score(s, instance(1, 1), s.workers[0]) >= score.Score(s, instance(1, 1), s.workers[1]) {
		t.Error("a service is not kept from loud batch")
	}
}
