package placement

import "testing"

// Guards against a task that needs an accelerator staying pending because tasks
// without that need fill the workers that have accelerators.
func TestAcceleratorsAreKeptForTasksThatNeedThem(t *testing.T) {
	plain, special := fleet(1, 1, 1, big), fleet(1, 1, 1, res(16000, 60000, 4))
	special[0].VM.ID = "special"
	special[0].Committed = res(8000, 30000, 0)
	special[0].Free = res(8000, 30000, 4)
	s := NewSnapshot(append(plain, special...), nil)
	p := Default(Options{})
	d, err := p.Place(s, batch(1, res(1000, 1000, 0)))
	if err != nil || d.Worker == "special" {
		t.Errorf("a task without accelerators was placed on %v, %v", d, err)
	}
	d, err = p.Place(s, batch(2, res(1000, 1000, 1)))
	if err != nil || d.Worker != "special" {
		t.Errorf("a task with an accelerator was placed on %v, %v", d, err)
	}
}
