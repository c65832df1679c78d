package admission

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

const (
	// serviceGain is the weight of one observation in the mean service time.
	serviceGain = 1.0 / 64
	// arrivalMemory is the time constant of the exponential decay of arrival
	// counts.
	arrivalMemory = time.Second
	// maxHigherLoad caps the fraction of the slots that higher priorities are
	// assumed to use, so that a predicted wait stays finite.
	maxHigherLoad = 0.95
	// minUrgentArrivals is the decayed count of urgent arrivals above which
	// slots are reserved for further urgent requests.
	minUrgentArrivals = 0.05
)

// load tracks how long a request takes and how many arrive.
type load struct {
	serviceTime time.Duration
	// arrivals counts arrivals by priority, decaying with time constant
	// arrivalMemory.
	arrivals  [model.NumPriorities]float64
	decayedAt time.Time
}

func newLoad(serviceTime time.Duration) load { return load{serviceTime: serviceTime} }

func (l *load) observe(serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	l.serviceTime += time.Duration(serviceGain * float64(serviceTime-l.serviceTime))
}

func (l *load) arrived(now time.Time, p model.Priority) {
	if elapsed := now.Sub(l.decayedAt); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(arrivalMemory))
		for i := range l.arrivals {
			l.arrivals[i] *= keep
		}
		l.decayedAt = now
	}
	l.arrivals[p]++
}

func (l *load) hasUrgentArrivals() bool {
	return l.arrivals[model.PriorityUrgent] > minUrgentArrivals
}

// higherPriorityLoad returns the fraction of the slots that arrivals of higher
// priority than p use, at most maxHigherLoad.
func (l *load) higherPriorityLoad(p model.Priority, slots int) float64 {
	arrivals := 0.0
	for higher := p + 1; int(higher) < model.NumPriorities; higher++ {
		arrivals += l.arrivals[higher]
	}
	return min(l.demand(arrivals, slots), maxHigherLoad)
}

// utilization returns the recent arrivals as a multiple of the capacity of the
// slots. It exceeds 1 under overload.
func (l *load) utilization(slots int) float64 {
	arrivals := 0.0
	for _, n := range l.arrivals {
		arrivals += n
	}
	return l.demand(arrivals, slots)
}

func (l *load) demand(arrivals float64, slots int) float64 {
	perSecond := arrivals / arrivalMemory.Seconds()
	return perSecond * l.serviceTime.Seconds() / float64(max(slots, 1))
}

// predictedWait returns how long a ticket of priority p that arrives now is
// expected to wait: as many slots must become free as tickets wait ahead of it,
// corrected for the slots that later arrivals of higher priority take in the
// meantime.
func (q *Queue) predictedWait(p model.Priority) time.Duration {
	ahead := q.before(p)
	free := q.free
	if p < model.PriorityUrgent {
		free -= q.reserve()
	}
	if ahead < free {
		return 0
	}
	turns := float64(ahead - max(free, 0) + 1)
	each := float64(q.load.serviceTime) / float64(q.total)
	return time.Duration(turns * each / (1 - q.load.higherPriorityLoad(p, q.total)))
}

// before returns how many waiting tickets have priority p or higher.
func (q *Queue) before(p model.Priority) int {
	n := 0
	for higher := p; int(higher) < model.NumPriorities; higher++ {
		n += q.classes[higher].count
	}
	return n
}
