package jobsched

// overcommittedShare is the share, in percent, at which an overcommitted attempt runs: it
// goes on, and leaves most of the processors to those that were there before.
const overcommittedShare = 25

// expectedCPU returns how much of its worker's processors the best-effort attempt is
// expected to use, in thousandths of a core.
func (a *attempt) expectedCPU() int64 {
	if a.overcommitted {
		return a.bestEffortCPU * overcommittedShare / fullSpeed
	}
	return a.bestEffortCPU
}

// endOvercommit gives an overcommitted attempt its full share if its worker has the
// processors for it by now.
func (a *attempt) endOvercommit() {
	w := a.worker
	if !a.overcommitted || a.bestEffortCPU-a.expectedCPU() > w.freeCPU() {
		return
	}
	w.expectedCPU -= a.expectedCPU()
	a.overcommitted = false
	w.expectedCPU += a.expectedCPU()
}
