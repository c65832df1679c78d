package admission

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

const (
	// serviceGain is the weight of one observation in the mean service time.
	serviceGain = 1.0 / 64
	// arrivalMemory is the time constant over which arrivals are counted.
	arrivalMemory = time.Second
	// maxHigherLoad caps how much of the slots higher priorities are taken to
	// use, so that a predicted wait stays finite.
	maxHigherLoad = 0.95
	// minUrgentArrivals is the decayed count of urgent arrivals above which
	// slots are reserved for more of them.
	minUrgentArrivals = 0.05
)

// load learns how long a request takes and how many arrive.
type load struct {
	serviceTime time.Duration
	// arrivals counts arrivals by priority, decaying over arrivalMemory.
	arrivals  [model.NumPriorities]float64
	decayedAt time.Time
}

func newLoad(service time.Duration) load { return load{serviceTime: service} }

func (l *load) observe(service time.Duration) {
	if service <= 0 {
		return
	}
	l.serviceTime += time.Duration(serviceGain * float64(service-l.serviceTime))
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

// higherPriorityLoad returns the fraction of slots that arrivals above p use.
func (l *load) higherPriorityLoad(p model.Priority, slots int) float64 {
	arrivals := 0.0
	for higher := p + 1; int(higher) < model.NumPriorities; higher++ {
		arrivals += l.arrivals[higher]
	}
	return min(l.demand(arrivals, slots), maxHigherLoad)
}

// utilization returns how many times the slots' capacity arrives.
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
// expected to wait: as many slots must come free as tickets wait before it,
// less those taken by higher priorities that arrive meanwhile.
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

// before returns how many tickets wait that are as urgent as p or more.
func (q *Queue) before(p model.Priority) int {
	n := 0
	for higher := p; int(higher) < model.NumPriorities; higher++ {
		n += q.classes[higher].count
	}
	return n
}
