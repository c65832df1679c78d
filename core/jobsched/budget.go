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
