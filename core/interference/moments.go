package interference

import "math"

// maxTaskWeight bounds the weight of past tasks, so that a workload whose
// tasks change is followed.
const maxTaskWeight = 200

// moments are the weight, the mean and the sum of squared deviations of values
// of which the oldest fade.
type moments struct {
	weight, mean, squares float64
}

// add takes one more value in.
func (m *moments) add(value float64) {
	m.weight++
	delta := value - m.mean
	m.mean += delta / m.weight
	m.squares += delta * (value - m.mean)
	if m.weight > maxTaskWeight {
		keep := maxTaskWeight / m.weight
		m.weight *= keep
		m.squares *= keep
	}
}

// remove takes out a value that was added.
func (m *moments) remove(value float64) {
	if m.weight <= 1 {
		*m = moments{}
		return
	}
	m.weight--
	delta := value - m.mean
	m.mean -= delta / m.weight
	m.squares = math.Max(0, m.squares-delta*(value-m.mean))
}
