package placement

import "testing"

// Guards against noisy tasks being placed next to services because quiet tasks
// fill the workers without services.
func TestSeparationScore(t *testing.T) {
	workers := fleet(2, 1, 1, big)
	workers[0].Tasks = []Resident{{Key: instance(1, 1).Key, Class: "orders", Service: true}}
	s := NewSnapshot(workers, fixedEffects{"noisy": 0.4, "quiet": 0.01})
	score := DefaultSeparationScore()
	noisy, quiet := batch(1, big), batch(2, big)
	noisy.Workload, noisy.Class, quiet.Class = "noise", "noisy", "quiet"
	with, without := s.workers[0], s.workers[1]
	if score.Score(s, noisy, with) >= score.Score(s, noisy, without) {
		t.Error("a noisy task prefers the worker with a service")
	}
	if score.Score(s, quiet, with) <= score.Score(s, quiet, without) {
		t.Error("a quiet task prefers the worker without a service")
	}
}
