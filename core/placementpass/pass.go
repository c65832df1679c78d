package placementpass

// Pass is one iteration over all ready steps, the most urgent first. It takes as
// many rounds as its checks need, and events are handled between rounds. Half of
// each round is reserved for the most urgent steps, whether or not they had their
// turn: otherwise a task that fails after its step had its turn would wait for the
// end of the pass, which takes many seconds on a slow leader.
//
// Without the bound, a round would take longer the more steps wait, while
// cancellations, ends and lease renewals are delayed by it. Jobs would pile up
// further; this shows as canceled jobs whose tasks run on for many seconds. Steps
// with placement restrictions of their own, which are not remembered as
// unplaceable, can cause this at any time.
type Pass struct {
	number uint64
	open   bool
	// budget and notes are what is left of the current half round. halfBudget is
	// the budget of half a round.
	budget, notes, halfBudget int
}

// notesPerRound bounds the notes about waiting steps in a round: each checks all
// workers to find the reason. Otherwise, hundreds of steps that start to wait at
// the same time would all be noted at once while orders are delayed.
const notesPerRound = 8

// Number identifies the pass. It is stored in each step that had its turn.
func (p *Pass) Number() uint64 { return p.number }

// IsOpen reports whether steps have not had their turn yet.
func (p *Pass) IsOpen() bool { return p.open }

// End ends the pass, as all steps have had their turn.
func (p *Pass) End() { p.open = false }

// TakeNote uses one of the round's notes and reports whether there was one left.
func (p *Pass) TakeNote() bool {
	p.notes--
	return p.notes >= 0
}

// Begin starts the first half of a round with the given number of checks. It starts
// a new pass, and returns true, unless one is open.
func (p *Pass) Begin(budget int) (isNew bool) {
	p.halfBudget = max(budget/2, 1)
	p.budget, p.notes = p.halfBudget, notesPerRound
	if p.open {
		return false
	}
	p.number++
	p.open = true
	return true
}

// IsExhausted reports whether the budget of the half round is used up.
func (p *Pass) IsExhausted() bool { return p.budget <= 0 }

// BeginSecondHalf adds the budget of the round's second half to the remaining
// budget.
func (p *Pass) BeginSecondHalf() { p.budget = max(p.budget, 0) + p.halfBudget }

// Spend deducts the checks of so many workers from the budget.
func (p *Pass) Spend(workers int) { p.budget -= workers }
