package jobforecast

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

const (
	// arrivalMemory is the time over which arrivals are averaged. It bounds how long a
	// burst that is over still counts.
	arrivalMemory = 2 * time.Second
	// sharesKept is how many of the last forecasts daemons may still decide by.
	sharesKept = 3
	// efficiencyMemory is the time over which the work of ended attempts is averaged.
	efficiencyMemory = 4 * time.Second
	// jobWeight is the weight of one more job in the means of a queue's jobs.
	jobWeight = 0.05
	// firstEfficiency is assumed before any attempt has ended.
	firstEfficiency = 0.75
)

// Meter measures the work of one queue. Work is in thousandths of a core times
// milliseconds, and rates of work are in thousandths of a core.
type Meter struct {
	arrivals Rate
	// extra is the work of jobs that were accepted beyond the share.
	extra           Rate
	finished, spent Rate
	jobs            int
	// shares holds the shares of the last forecasts, the newest first.
	shares [sharesKept]float64
	// meanWork, meanAllowanceMs, meanSlackMs and meanSlackOfUseMs are means over the
	// queue's jobs.
	meanWork, meanAllowanceMs, meanSlackMs, meanSlackOfUseMs float64
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter {
	m := &Meter{arrivals: NewRate(arrivalMemory), extra: NewRate(arrivalMemory), finished: NewRate(efficiencyMemory), spent: NewRate(efficiencyMemory)}
	m.Release()
	return m
}

// Job is what counts of a job that was accepted.
type Job struct {
	ID   job.ID
	Work float64
	// AllowanceMs is how long the job may take, OfUseMs after how long its result is of
	// no use any more, and RunMs how long it takes when it waits for nothing, in
	// milliseconds.
	AllowanceMs, OfUseMs, RunMs float64
}

// Arrived counts a job. While only a share of the jobs is accepted, each job of that
// share stands for those that were rejected. Other jobs do not count: which of them are
// accepted depends on their size and on how soon daemons learn of a forecast.
func (m *Meter) Arrived(j Job) {
	share := slices.Min(m.shares[:])
	if position(j.ID, saltShare) >= share {
		m.extra.Add(j.Work)
		return
	}
	m.arrivals.Add(1 / share)
	m.jobs++
	weight := max(jobWeight, 1/float64(m.jobs))
	m.meanWork += weight * (j.Work - m.meanWork)
	m.meanAllowanceMs += weight * (j.AllowanceMs - m.meanAllowanceMs)
	m.meanSlackMs += weight * (j.AllowanceMs - j.RunMs - m.meanSlackMs)
	m.meanSlackOfUseMs += weight * (j.OfUseMs - j.RunMs - m.meanSlackOfUseMs)
}

// Ended counts an attempt that ended: the processor time that it held and the work that
// is done by it, 0 if it has to be repeated.
func (m *Meter) Ended(spent, done float64) {
	m.spent.Add(spent)
	m.finished.Add(done)
}

// Share returns the share of jobs that daemons accept by the last forecast.
func (m *Meter) Share() float64 { return m.shares[0] }

// Release notes that all jobs are accepted.
func (m *Meter) Release() {
	for i := range m.shares {
		m.shares[i] = 1
	}
}

// Pass lets time pass.
func (m *Meter) Pass(d time.Duration) {
	m.arrivals.Pass(d)
	m.extra.Pass(d)
	m.finished.Pass(d)
	m.spent.Pass(d)
}

// arriving returns the work that callers hand in, in thousandths of a core.
func (m *Meter) arriving() float64 { return m.arrivals.PerMs() * m.meanWork }

// efficiency returns the estimated work that is done per processor time that attempts
// hold. It is below 1 where tasks run longer than estimated or have to be repeated.
func (m *Meter) efficiency() float64 {
	if m.spent.sum == 0 || m.finished.sum == 0 {
		return firstEfficiency
	}
	return m.finished.sum / m.spent.sum
}
