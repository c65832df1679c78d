package placement

import "testing"

// Symptom: a task that needs an accelerator waits because tasks that need none
// filled the workers that have them.
func TestAcceleratorsAreKeptForThoseThatNeedThem(t *testing.T) {
	plain, special := fleet(1, 1, 1, big), fleet(1, 1, 1, res(16000, 60000, 4))
	special[0].VM.ID = "special"
	special[0].Committed = res(8000, 30000, 0)
	special[0].Free = res(8000, 30000, 4)
	s := NewSnapshot(append(plain, special...), nil)
	p := Default(Options{})
	d, err := p.Place(s, batch(1, res(1000, 1000, 0)))
	if err != nil || d.Worker == "special" {
		t.Errorf("a task without need went to %v, %v", d, err)
	}
	d, err = p.Place(s, batch(2, res(1000, 1000, 1)))
	if err != nil || d.Worker != "special" {
		t.Errorf("a task with need went to %v, %v", d, err)
	}
}
