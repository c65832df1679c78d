package placement

import "testing"

func TestSpreadScorePrefersEmptyDomains(t *testing.T) {
	s := NewSnapshot(fleet(4, 1, 2, big), nil)
	r := instance(0, 4)
	s.Assume(r, s.workers[0].VM.ID)
	score := SpreadScore{W: 1}
	next := instance(1, 4)
	same, sameZone, other := score.Score(s, next, s.workers[0]), score.Score(s, next, s.workers[2]), score.Score(s, next, s.workers[1])
	if same >= sameZone || sameZone >= other {
		t.Errorf("same rack %v, same zone %v, other zone %v", same, sameZone, other)
	}
}
