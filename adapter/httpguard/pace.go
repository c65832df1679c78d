package httpguard

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

const (
	// smallRead is the size in bytes below which a read brings less than it costs.
	smallRead = 256
	// freeReads is how many small reads in a row are not delayed.
	freeReads = 8
	// delayStep is what each further one adds to the delay, up to maxReadDelay.
	delayStep    = 2 * time.Millisecond
	maxReadDelay = 50 * time.Millisecond
	// freeRequests is how many requests a second a connection may send for long without
	// being busy, and freeBurst how many at once.
	freeRequests = 20
	freeBurst    = 50
	// busyRequests is how many requests of all busy connections are handled at a time.
	busyRequests = 8
)

// pace slows down a client whose requests come in tiny pieces, so that the kernel gathers
// them: a read costs the process the same for a byte as for thousands. It also makes a
// client that sends many requests on one connection share some turns with others of its
// kind, so that the processor is left for those that send few.
type pace struct {
	// small is the number of small reads in a row.
	small atomic.Int32
	// free are the requests that need no turn.
	free  *rate.Limiter
	turns *semaphore.Weighted
}

func newPace(turns *semaphore.Weighted) *pace {
	return &pace{free: rate.NewLimiter(freeRequests, freeBurst), turns: turns}
}

// isFree reports whether the next request needs no turn.
func (p *pace) isFree() bool {
	p.small.Store(0)
	return p.free.Allow()
}

// takeTurn waits for a turn, which the function that it returns ends. An error is that of the
// context.
func (p *pace) takeTurn(ctx context.Context) (done func(), err error) {
	if err := p.turns.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	return func() { p.turns.Release(1) }, nil
}

func (p *pace) beforeRead() {
	if delay := p.readDelay(); delay > 0 {
		time.Sleep(delay)
	}
}

// readDelay returns for how long the next read is delayed.
func (p *pace) readDelay() time.Duration {
	excess := max(p.small.Load()-freeReads, 0)
	return min(time.Duration(excess)*delayStep, maxReadDelay)
}

func (p *pace) afterRead(n int) {
	if n >= smallRead {
		p.small.Store(0)
		return
	}
	p.small.Add(1)
}
