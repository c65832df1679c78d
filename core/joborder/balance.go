package joborder

import "math"

// In a shortage, an order by the work that is left serves small jobs and starves large
// ones. So each queue finds out how far it may go: the work left is divided by a power
// of the whole work, and the exponent rises while too few of the large jobs are served,
// and falls while enough are.

const (
	// MinExponent orders jobs that have not begun from small to large. With 1 their
	// size makes no difference, and with maxExponent they come from large to small.
	MinExponent, maxExponent = 0.5, 1.5
	// exponentStep is by how much the exponent changes with a job, times the
	// difference between the wanted share and the one that is served.
	exponentStep = 0.05
	// largeShare is the share of the large jobs that are to be served, as a fraction of
	// the share of all jobs.
	largeShare = 0.6
	// largeFactor is how many times the mean work of its queue a large job has. For the
	// usual spread of sizes that is the largest tenth.
	largeFactor = 1.8
	// servedWeight is the weight of one more job in the shares and in the mean work;
	// largeWeight is that of a large one, of which there are few.
	servedWeight, largeWeight = 0.02, 0.06
	// exponentNote is the change of an exponent that is noted.
	exponentNote = 0.25
)

// Balance is the balance between small and large jobs of a queue.
type Balance struct {
	meanWork float64
	// all and large are the shares of jobs that were done while of use to their caller.
	all, large float64
	exponent   float64
	// noted is the exponent that was noted last.
	noted float64
}

// observe counts a job with the given work.
func (b *Balance) observe(work float64, served bool) {
	share := 0.0
	if served {
		share = 1
	}
	b.meanWork += (work - b.meanWork) * servedWeight
	b.all += (share - b.all) * servedWeight
	if work > largeFactor*b.meanWork {
		b.large += (share - b.large) * largeWeight
	}
	b.exponent += exponentStep * (largeShare*b.all - b.large)
	b.exponent = min(max(b.exponent, MinExponent), maxExponent)
}

// Exponent returns the power of the whole work by which the work that is left is divided.
func (b *Balance) Exponent() float64 { return b.exponent }

// Served returns the shares of the large jobs and of all that were done while of use to
// their caller.
func (b *Balance) Served() (large, all float64) { return b.large, b.all }

// Balances holds the balance of each queue.
type Balances map[string]*Balance

// Exponent returns the exponent of a queue.
func (b Balances) Exponent(queue string) float64 {
	if balance := b[queue]; balance != nil {
		return balance.exponent
	}
	return MinExponent
}

// Observe counts a job of a queue with the given work. It returns the balance of the queue
// if its exponent has changed enough to be noted, else nil.
func (b Balances) Observe(queue string, work float64, served bool) *Balance {
	balance := b[queue]
	if balance == nil {
		balance = &Balance{meanWork: work, all: 1, large: 1, exponent: MinExponent, noted: MinExponent}
		b[queue] = balance
	}
	balance.observe(work, served)
	if math.Abs(balance.exponent-balance.noted) < exponentNote {
		return nil
	}
	balance.noted = balance.exponent
	return balance
}

// Cost returns what it takes to finish an occurrence of a queue, in relation to its size:
// the work that is left, divided by a power of the whole work. Of jobs that have not begun,
// the small ones come first, so that the room that there is serves many callers, as far as
// large ones are not starved; one that has begun comes before new ones that need as much,
// so that work is not left unfinished.
func (b Balances) Cost(queue string, workLeft, work float64) float64 {
	return workLeft / math.Pow(work, b.Exponent(queue))
}
