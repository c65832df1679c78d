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

// Router is the leader's way to the workers: by the carriers that are there, or
// its own when there is none. It is a port.TaskWorkers.
type Router struct {
	direct port.TaskWorkers

	mu    sync.Mutex
	links map[string]*openLink
	// healthyAt is when a link was healthy last, or the first one was opened.
	healthyAt time.Time
}

type openLink struct {
	*link
	weight float64
	close  context.CancelFunc
}

var _ port.TaskWorkers = (*Router)(nil)

// NewRouter makes a Router without carriers.
func NewRouter(own port.TaskWorkers) *Router {
	return &Router{direct: own, links: make(map[string]*openLink)}
}

// drainTimeout bounds how long a link is kept for the outcomes of what was sent
// before its carrier left: the longest that an order or a held renewal takes. A
// daemon that is stopped goes on carrying for longer than that.
const drainTimeout = jobservice.OrderTimeout + 200*time.Millisecond

// SetRelays opens links to the carriers, gives nothing more to others and
// closes their links when what they have is answered.
func (r *Router) SetRelays(carriers []jobservice.Relay) {
	wanted := make(map[string]bool, len(carriers))
	for _, c := range carriers {
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
	for _, c := range carriers {
		if r.links[c.Address] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			l := &openLink{link: newLink(c.Address), weight: c.Weight, close: cancel}
			r.links[c.Address] = l
			go l.run(ctx)
		}
	}
}

// drain closes the link when nothing waits on it any more, or after a while.
func (l *openLink) drain() {
	defer l.close()
	for end := time.Now().Add(drainTimeout); time.Now().Before(end) && l.busy(); {
		time.Sleep(outcomeBatchDelay)
	}
}

// directAfter is how long no link has been healthy before the leader calls the
// workers itself. At the beginning of a term links take some 0.1 s to open, and a
// leader that had no processor for a while loses all of them: connections of its
// own to hundreds of workers would keep it busy for seconds more, on which it
// lost the lead for good.
const directAfter = 1500 * time.Millisecond

// route returns the link by which an order to a worker goes. own is set when the
// leader is to call the worker itself; without either the order is not sent.
func (r *Router) route(worker model.WorkerID) (l *openLink, own bool) {
	if l := r.pickLink(worker); l != nil {
		return l, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return nil, len(r.links) == 0 || time.Since(r.healthyAt) >= directAfter
}

// pickLink returns the link that carries for a worker: the same one as long as
// it is healthy, so that connections to workers are kept, and another one when
// it is not. It returns nil when none is healthy.
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

// rendezvousScore scores a carrier for a worker: the highest one carries, each as
// often as its weight says, and a carrier that goes moves only its own workers.
func rendezvousScore(address string, worker model.WorkerID, weight float64) float64 {
	hash := xxhash.Sum64String(address + "/" + string(worker))
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// Renew implements port.TaskWorkers.
func (r *Router) Renew(ctx context.Context, e jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	l, own := r.route(e.Worker.ID)
	if own {
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
	l, own := r.route(e.Worker.ID)
	if own {
		return r.direct.Start(ctx, e)
	}
	outcome, verdict := relayOrder(ctx, l, encodeStart(e))
	return verdict, outcome.GetClockMs()
}

// Stop implements port.TaskWorkers.
func (r *Router) Stop(ctx context.Context, e jobsched.Stop) jobsched.Verdict {
	l, own := r.route(e.Worker.ID)
	if own {
		return r.direct.Stop(ctx, e)
	}
	_, verdict := relayOrder(ctx, l, encodeStop(e))
	return verdict
}

// Throttle implements port.TaskWorkers.
func (r *Router) Throttle(ctx context.Context, e jobsched.Throttle) jobsched.Verdict {
	l, own := r.route(e.Worker.ID)
	if own {
		return r.direct.Throttle(ctx, e)
	}
	_, verdict := relayOrder(ctx, l, encodeThrottle(e))
	return verdict
}

// relayOrder has an order relayOrder, unless there is no link, and returns its outcome,
// nil when it is not known, and what is known of the order.
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
