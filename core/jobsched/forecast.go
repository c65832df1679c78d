package jobsched

import (
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobforecast"
	"github.com/guavarill/guavarill/core/joborder"
)

const (
	// forecastInterval is the time between two forecasts.
	forecastInterval = 250 * time.Millisecond
	// forecastDelay is how long a new leader measures before its first forecast.
	forecastDelay = time.Second
	// roomEvidenceTime is how long a step has waited for a worker before its wait counts
	// as evidence that there is no room: longer than a task's end and the next start in
	// its place are apart.
	roomEvidenceTime = 150 * time.Millisecond
	// pressureHold is how long a queue's forecast continues after the last evidence.
	pressureHold = time.Second
)

// forecaster makes the forecasts by which daemons reject jobs. Its zero value makes
// none.
type forecaster struct {
	queues map[string]*queueForecast
	// madeAt is when the last forecast was made.
	madeAt  time.Time
	current *jobforecast.Forecast
}

// queueForecast is what the forecaster keeps of a queue.
type queueForecast struct {
	queue *job.Queue
	meter *jobforecast.Meter
	// evidenceAt is when a step of the queue was last known to find no room.
	evidenceAt time.Time
	// rejecting is whether the forecast makes daemons reject jobs, as noted last, and
	// limitedAt when it last did.
	rejecting bool
	limitedAt time.Time
	// current is the forecast made last.
	current jobforecast.Queue
	demand  jobforecast.Demand
	// waitsForCommitted and waitsForBestEffort are whether a step of either kind finds no
	// room.
	waitsForCommitted, waitsForBestEffort bool
	// longestWait is the longest wait of a step with long-running tasks.
	longestWait time.Duration
}

// Forecast returns the present forecast, nil while all queues find room and for a leader
// that has not measured for long enough.
func (m *Machine) Forecast() *jobforecast.Forecast { return m.forecaster.current }

// queueForecast returns what is kept of a queue.
func (m *Machine) queueForecast(q *job.Queue) *queueForecast {
	f := &m.forecaster
	if f.queues == nil {
		f.queues = make(map[string]*queueForecast)
	}
	qf := f.queues[q.Name]
	if qf == nil {
		qf = &queueForecast{meter: jobforecast.NewMeter()}
		f.queues[q.Name] = qf
	}
	qf.queue = q
	return qf
}

// measureArrival counts a job that was accepted just now.
func (m *Machine) measureArrival(j *jobState) {
	spec, q := &j.record.Spec, m.queue(j)
	if !m.options.Policies.RejectHopeless || j.state.Final() || spec.UntilCanceled() || spec.Schedule != nil {
		return
	}
	_, work := spec.Work()
	path, qf := spec.CriticalPathMs(), m.queueForecast(q)
	qf.meter.Arrived(jobforecast.Job{
		ID: j.id, Work: work,
		AllowanceMs: float64(allowanceMs(q, path)),
		OfUseMs:     float64(joborder.LateFactor * allowanceMs(q, path)),
		RunMs:       m.runTimes.Of(q.Name) * float64(path),
	})
}

// measureEnd counts an attempt that ended.
func (m *Machine) measureEnd(a *attempt, cause EndCause) {
	if !m.options.Policies.RejectHopeless || a.longRunning || a.startedAt.IsZero() {
		return
	}
	done, step := 0.0, a.step()
	if cause == EndDone {
		done = step.spec.TaskWork()
	}
	spent := float64(step.spec.Size.MilliCPU) * float64(m.now.Sub(a.startedAt).Milliseconds())
	m.queueForecast(m.queue(step.job())).meter.Ended(spent, done)
}

// forecastIfDue makes a new forecast each forecastInterval.
func (m *Machine) forecastIfDue() {
	f := &m.forecaster
	if !m.options.Policies.RejectHopeless || m.now.Sub(f.madeAt) < forecastInterval {
		return
	}
	passed := m.now.Sub(f.madeAt)
	if f.madeAt.IsZero() {
		passed = forecastInterval
	}
	f.madeAt, f.current = m.now, nil
	for _, qf := range f.queues {
		qf.meter.Pass(passed)
	}
	if m.now.Sub(m.recoveredAt) >= forecastDelay {
		m.measureDemand()
		f.current = m.makeForecast()
	}
}

// makeForecast returns the forecast for the queues under pressure, nil if there are
// none.
func (m *Machine) makeForecast() *jobforecast.Forecast {
	next := &jobforecast.Forecast{Epoch: m.epoch, MadeAtMs: m.wall.UnixMilli(), Queues: make(map[string]jobforecast.Queue)}
	for _, name := range slices.Sorted(maps.Keys(m.forecaster.queues)) {
		if qf := m.forecaster.queues[name]; m.forecastQueue(qf) {
			next.Queues[name] = qf.current
		}
	}
	if len(next.Queues) == 0 {
		return nil
	}
	return next
}

// forecastQueue makes the forecast for a queue, and reports whether it is under
// pressure.
func (m *Machine) forecastQueue(qf *queueForecast) bool {
	pressed := !qf.evidenceAt.IsZero() && m.now.Sub(qf.evidenceAt) < pressureHold
	if pressed {
		m.measureFree(qf)
		qf.current = qf.meter.Forecast(qf.demand)
		qf.current.LongRunning = m.forecastLongRunning(qf)
	} else {
		qf.meter.Release()
	}
	m.noteRejecting(qf)
	return pressed
}

// isDeferred reports whether an occurrence that has not begun is beyond the share of
// its queue that can be served within the objective. If all were begun alike, most would
// be late, and the room that is spent on them would be missing for others.
func (m *Machine) isDeferred(o *occurrence) bool {
	f := m.forecaster.current
	if f == nil || !o.firstStartAt.IsZero() || o.job.begun {
		return false
	}
	q, pressed := f.Queues[m.queue(o.job).Name]
	return pressed && q.IsDeferred(o.job.id)
}
