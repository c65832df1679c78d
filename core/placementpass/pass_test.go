package placementpass

import "testing"

// TestPassGoesOnInTheNextRound guards against a pass that begins anew with each round, so
// that the steps at its end never have their turn.
func TestPassGoesOnInTheNextRound(t *testing.T) {
	var p Pass
	if !p.Begin(10) {
		t.Fatal("the first round begins no pass")
	}
	number := p.Number()
	p.Spend(7)
	if !p.IsExhausted() {
		t.Error("the first half of the round has more than half of its budget")
	}
	p.BeginSecondHalf()
	if p.IsExhausted() {
		t.Error("what the first half spent in excess is taken from the second")
	}
	p.Spend(5)
	if !p.IsExhausted() {
		t.Error("the second half has more than half of the round's budget")
	}
	if p.Begin(10) || p.Number() != number || !p.IsOpen() {
		t.Error("the next round begins a pass though one is open")
	}
	p.End()
	if !p.Begin(10) || p.Number() == number {
		t.Error("the round after the end of a pass begins none")
	}
}

// TestNotesOfARoundAreBounded guards against a round that explains the wait of each step.
func TestNotesOfARoundAreBounded(t *testing.T) {
	var p Pass
	for range 2 {
		p.Begin(10)
		n := 0
		for n <= notesPerRound && p.TakeNote() {
			n++
		}
		if n != notesPerRound {
			t.Errorf("%d notes in a round, want %d", n, notesPerRound)
		}
	}
}
