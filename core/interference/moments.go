package interference

import "math"

// maxTaskWeight limits the weight of past tasks, in tasks, so that the moments
// follow a workload whose tasks change.
const maxTaskWeight = 200

// moments are the weight, the mean and the sum of squared deviations of a series of
// values. Once the weight reaches maxTaskWeight, older values lose weight.
type moments struct {
	weight, mean, squares float64
}

// add adds a value with weight 1.
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

// remove removes a value that was added.
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
