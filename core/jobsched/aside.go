package jobsched

// asideEndsMost is how many ends a worker keeps for the sake of a job that is
// set aside.
const asideEndsMost = 50
