package jobsched

// DefaultRoundBudget is the number of checks of a worker for a task that a
// placement round may make on a leader with a whole core: a few hundredths of a
// second.
const DefaultRoundBudget = 50_000

// startCost is what a start costs in addition, in checks, for its order and its log
// line.
const startCost = 30

// DefaultStartsInFlight is how many starts may be sent but unanswered, on a leader
// with a whole core. Answers normally take some tens of milliseconds, so that this
// allows thousands of starts a second.
//
// Without the bound, a leader short of processor time sends hundreds of starts at
// once. Their answers, the renewal of its own lease and the renewals of the
// workers' leases then compete for the processor; this shows as renewals of the
// leader's lease that take longer than the lease. With the bound, late answers
// delay placement and nothing else.
const DefaultStartsInFlight = 400

// resumeStarts is the fraction of StartsInFlight to which the unanswered starts
// must drop before placement continues. If placement resumed at the first answer,
// each round would start one task and sort all waiting steps for it.
const resumeStarts = 0.75

// pass is one iteration over all ready steps, the most urgent first. It takes as
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
type pass struct {
	// number identifies the pass; it is stored in each step that had its turn.
	number uint64
	open   bool
	// budget and notes are what is left of the current half round. halfBudget is
	// the budget of half a round.
	budget, notes, halfBudget int
	// heldTrials holds the tasks found waiting for their trial in this pass.
	heldTrials map[*task]struct{}
}

// notesPerRound bounds the notes about waiting steps in a round: each checks all
// workers to find the reason. Otherwise, hundreds of steps that start to wait at
// the same time would all be noted at once while orders are delayed.
const notesPerRound = 8

// takeNote uses one of the round's notes and reports whether there was one left.
func (p *pass) takeNote() bool {
	p.notes--
	return p.notes >= 0
}

// begin starts the first half of a round with the given number of checks. It starts
// a new pass, and returns true, unless one is open.
func (p *pass) begin(budget int) (isNew bool) {
	p.halfBudget = max(budget/2, 1)
	p.budget, p.notes = p.halfBudget, notesPerRound
	if p.open {
		return false
	}
	p.number++
	p.open = true
	p.heldTrials = make(map[*task]struct{})
	return true
}

// isExhausted reports whether the budget of the half round is used up.
func (p *pass) isExhausted() bool { return p.budget <= 0 }

// beginSecondHalf adds the budget of the round's second half to the remaining
// budget.
func (p *pass) beginSecondHalf() { p.budget = max(p.budget, 0) + p.halfBudget }

// spend deducts the checks of so many workers from the budget.
func (p *pass) spend(workers int) { p.budget -= workers }
