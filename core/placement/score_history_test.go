package placement

import "testing"

// Guards against an evicted task being placed on the same worker again and
// evicted again for the same cause.
func TestEvictedTaskGoesElsewhere(t *testing.T) {
	workers := fleet(3, 1, 1, big)
	workers[1].Load = 0.9
	s := NewSnapshot(workers, nil)
	r := batch(1, res(1000, 1000, 0))
	r.Evictions, r.LastWorker = 2, workers[0].VM.ID
	score := HistoryScore{W: 1}
	back, loaded, idle := score.Score(s, r, s.workers[0]), score.Score(s, r, s.workers[1]), score.Score(s, r, s.workers[2])
	if back >= loaded || loaded >= idle {
		t.Errorf("back %v, loaded %v, idle %v", back, loaded, idle)
	}
}
