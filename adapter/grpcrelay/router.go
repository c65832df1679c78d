package grpcrelay

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	relayv1 "github.com/guavarill/guavarill/api/relay/v1"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/jobservice"
	"github.com/guavarill/guavarill/port"
)

// Router sends the leader's orders to the workers, through the relays or, if there is
// none, directly. It is a port.TaskWorkers.
type Router struct {
	direct port.TaskWorkers

	mu    sync.Mutex
	links map[string]*openLink
	// healthyAt is the time at which an order last found a healthy link, or at which
	// the first link was opened.
	healthyAt time.Time
}

// openLink is a link that is in use, with its relay's weight and the function that
// closes it.
type openLink struct {
	*link
	weight float64
	close  context.CancelFunc
}

var _ port.TaskWorkers = (*Router)(nil)

// NewRouter returns a Router without relays. It sends orders through direct while it
// has no relays, and after directAfter without a healthy link.
func NewRouter(direct port.TaskWorkers) *Router {
	return &Router{direct: direct, links: make(map[string]*openLink)}
}

// drainTimeout bounds how long a link is kept for the outcomes of pending orders after
// its relay has left. It covers the longest duration of an order or a held renewal. A
// daemon that is being stopped continues to relay for longer than that.
const drainTimeout = jobservice.OrderTimeout + 200*time.Millisecond

// SetRelays opens links to the given relays. Other relays get no more orders, and
// their links are closed when their pending orders have outcomes.
func (r *Router) SetRelays(relays []jobservice.Relay) {
	wanted := make(map[string]bool, len(relays))
	for _, c := range relays {
		wanted[c.Address] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, l := range r.links {
		if !wanted[address] {
			delete(r.links, address)
			go l.drain()
		}
	}
	if len(r.links) == 0 {
		r.healthyAt = time.Now()
	}
	for _, c := range relays {
		if r.links[c.Address] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			l := &openLink{link: newLink(c.Address), weight: c.Weight, close: cancel}
			r.links[c.Address] = l
			go l.run(ctx)
		}
	}
}

// drain closes the link when it has no pending orders, or after drainTimeout.
func (l *openLink) drain() {
	defer l.close()
	for end := time.Now().Add(drainTimeout); time.Now().Before(end) && l.busy(); {
		time.Sleep(outcomeBatchDelay)
	}
}

// directAfter is the time without a healthy link after which the leader calls the
// workers directly. At the beginning of a term, links take some 0.1 s to open, and a
// leader that got no processor time for a while loses all of them. If it then opened
// its own connections to hundreds of workers, it would be busy for seconds more; a
// leader lost its leadership for good that way.
const directAfter = 1500 * time.Millisecond

// route returns the link for an order to a worker. direct is set if the leader should
// call the worker directly. With neither, the order is not sent.
func (r *Router) route(worker model.WorkerID) (l *openLink, direct bool) {
	if l := r.pickLink(worker); l != nil {
		return l, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return nil, len(r.links) == 0 || time.Since(r.healthyAt) >= directAfter
}

// pickLink returns the healthy link with the highest score for a worker, or nil if no
// link is healthy. A worker keeps its link while that link is healthy and the relays
// stay the same, so that the relay's connection to the worker is reused.
func (r *Router) pickLink(worker model.WorkerID) *openLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *openLink
	bestScore := 0.0
	for address, l := range r.links {
		if !l.healthy() {
			continue
		}
		if score := rendezvousScore(address, worker, l.weight); best == nil || score > bestScore {
			best, bestScore = l, score
		}
	}
	if best != nil {
		r.healthyAt = time.Now()
	}
	return best
}

// rendezvousScore returns the score of a relay for a worker by weighted rendezvous
// hashing. The relay with the highest score is used: relays get workers in proportion
// to their weights, and if a relay leaves, only its own workers move.
func rendezvousScore(address string, worker model.WorkerID, weight float64) float64 {
	hash := xxhash.Sum64String(address + "/" + string(worker))
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// Renew implements port.TaskWorkers.
func (r *Router) Renew(ctx context.Context, e jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	l, direct := r.route(e.Worker.ID)
	if direct {
		return r.direct.Renew(ctx, e)
	}
	outcome, verdict := relayOrder(ctx, l, encodeRenew(e))
	if outcome == nil {
		return verdict, jobsched.Report{}
	}
	report, ok := decodeReport(outcome)
	if !ok {
		return jobsched.VerdictUnknown, jobsched.Report{}
	}
	return verdict, report
}

// Start implements port.TaskWorkers.
func (r *Router) Start(ctx context.Context, e jobsched.Start) (jobsched.Verdict, int64) {
	l, direct := r.route(e.Worker.ID)
	if direct {
		return r.direct.Start(ctx, e)
	}
	outcome, verdict := relayOrder(ctx, l, encodeStart(e))
	return verdict, outcome.GetClockMs()
}

// Stop implements port.TaskWorkers.
func (r *Router) Stop(ctx context.Context, e jobsched.Stop) jobsched.Verdict {
	l, direct := r.route(e.Worker.ID)
	if direct {
		return r.direct.Stop(ctx, e)
	}
	_, verdict := relayOrder(ctx, l, encodeStop(e))
	return verdict
}

// Throttle implements port.TaskWorkers.
func (r *Router) Throttle(ctx context.Context, e jobsched.Throttle) jobsched.Verdict {
	l, direct := r.route(e.Worker.ID)
	if direct {
		return r.direct.Throttle(ctx, e)
	}
	_, verdict := relayOrder(ctx, l, encodeThrottle(e))
	return verdict
}

// relayOrder sends an order through a link and returns its outcome and verdict. The
// outcome is nil if it is unknown or the order was not sent; the verdict is then
// VerdictUnknown or VerdictNotSent. Without a link the order is not sent.
func relayOrder(ctx context.Context, l *openLink, o *relayv1.Order) (*relayv1.Outcome, jobsched.Verdict) {
	if l == nil {
		return nil, jobsched.VerdictNotSent
	}
	outcome, sent := l.relay(ctx, o)
	switch {
	case outcome != nil:
		return outcome, jobsched.Verdict(outcome.Verdict)
	case sent:
		return nil, jobsched.VerdictUnknown
	}
	return nil, jobsched.VerdictNotSent
}
