package placement

import "testing"

func TestPackingScore(t *testing.T) {
	workers := fleet(3, 1, 1, res(16000, 16000, 0))
	workers[1].Committed = res(8000, 8000, 0)
	workers[2].Committed = res(14000, 2000, 0)
	s := NewSnapshot(workers, nil)
	score := PackingScore{W: 1}
	r := batch(1, res(2000, 2000, 0))
	empty, half, lopsided := score.Score(s, r, s.workers[0]), score.Score(s, r, s.workers[1]), score.Score(s, r, s.workers[2])
	if half <= empty {
		t.Errorf("half full %v is not preferred to empty %v", half, empty)
	}
	if half <= lopsided {
		t.Errorf("balanced %v is not preferred to stranded memory %v", half, lopsided)
	}
}
