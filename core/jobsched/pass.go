package jobsched

// DefaultRoundBudget is how many looks at a worker for a task a round of placement
// may take, for a leader with a whole core: some hundredths of a second.
const DefaultRoundBudget = 50_000

// startCost is what a start counts as besides, in looks, for its order and its
// line in the log.
const startCost = 30

// DefaultStartsInFlight is how many starts may be sent and not answered, for a
// leader with a whole core. Answers take some tens of milliseconds on a calm day,
// so that this allows for thousands of starts a second.
//
// Without the bound a leader short of processor time sends hundreds of starts at
// once. Their answers, the renewal of its own lease and those of the workers' all
// wait for the processor together; one notices by renewals of the leader's lease
// that take longer than the lease. With it the answers that are late hold back
// placement, and nothing else waits for more than these.
const DefaultStartsInFlight = 400

// resumeStarts is the part of the starts in flight down to which answers must have
// come before placement goes on. With each answer a round would start one task,
// and sort all that waits for it.
const resumeStarts = 0.75

// pass is one look at all steps that are ready, the most urgent first. It takes
// as many rounds as its looks need, and events are taken in between two of them.
// Half of each round is for the most urgent steps, whether they had their turn or
// not: otherwise a task that fails while its step has had its turn would wait for
// the end of the pass, many seconds with a slow leader.
//
// Without the bound a round takes the longer the more steps wait, while cancels,
// ends and the renewal of leases wait for it; the jobs pile up the more, and one
// notices by canceled jobs whose tasks run on for many seconds. What is not
// remembered as fitting nowhere, such as steps with bounds of their own on where
// they may go, can bring that about at any time.
type pass struct {
	// number is that of the pass; a step that had its turn carries it.
	number uint64
	open   bool
	// budget and notes are left in the halfBudget of the round, halfBudget is its budget.
	budget, notes, halfBudget int
}

// notesPerRound is how many notes on steps that wait a round may make: each looks at
// all workers for its reason. Hundreds of steps that begin to wait together would
// be noted together otherwise, while orders wait.
const notesPerRound = 8

// takeNote takes one of the round's notes, if there is one left.
func (p *pass) takeNote() bool {
	p.notes--
	return p.notes >= 0
}

// begin begins the first half of a round of so many looks, and a new pass unless
// one is open.
func (p *pass) begin(looks int) (anew bool) {
	p.halfBudget = max(looks/2, 1)
	p.budget, p.notes = p.halfBudget, notesPerRound
	if p.open {
		return false
	}
	p.number++
	p.open = true
	return true
}

// isExhausted reports whether the half of the round has no looks left.
func (p *pass) isExhausted() bool { return p.budget <= 0 }

// beginSecondHalf adds the looks of the round's second half to what is left.
func (p *pass) beginSecondHalf() { p.budget = max(p.budget, 0) + p.halfBudget }

// spend counts a spend at so many workers.
func (p *pass) spend(workers int) { p.budget -= workers }
