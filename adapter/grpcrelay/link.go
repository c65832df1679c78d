package grpcrelay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	relayv1 "github.com/guavarill/guavarill/api/relay/v1"
)

const (
	// silenceChecks is how many looks in a row, lookInterval apart, find nothing
	// new from a carrier before its orders are given to others: after three beats
	// and some delay. A carrier that is suspended or cut off would hold up the
	// leases of all workers that it carries for.
	silenceChecks        = 4
	silenceCheckInterval = 150 * time.Millisecond
	// outcomeTimeout ends the wait for an outcome that a carrier which is there
	// owes: several times what an order takes there and a busy leader needs to
	// take its outcome in. Without it an error of a carrier would keep the leader
	// from ever asking a worker again.
	outcomeTimeout = 8 * time.Second
	// linkRetry is the time before a link that failed is opened again.
	linkRetry = 500 * time.Millisecond
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
)

// pendingOrder is an order whose outcome is awaited.
type pendingOrder struct {
	outcome chan *relayv1.Outcome
	sent    bool
}

// link is the stream to one carrier. It is opened again when it fails.
type link struct {
	address string

	mu sync.Mutex
	up bool
	// heard counts the batches of outcomes that have come.
	heard   uint64
	nextID  uint64
	pending map[uint64]*pendingOrder
	batch   []*relayv1.Order
	wake    chan struct{}
}

func newLink(address string) *link {
	return &link{address: address, pending: make(map[uint64]*pendingOrder), wake: make(chan struct{}, 1)}
}

// run keeps the link open until ctx ends.
func (l *link) run(ctx context.Context) {
	conn, err := grpc.NewClient(l.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: linkRetry, Multiplier: 1, MaxDelay: linkRetry},
			MinConnectTimeout: dialTimeout,
		}))
	if err != nil {
		// Only an address that cannot be parsed; the others carry.
		return
	}
	defer conn.Close()
	for ctx.Err() == nil {
		l.open(ctx, relayv1.NewRelayClient(conn))
		l.failPending()
		select {
		case <-ctx.Done():
		case <-time.After(linkRetry):
		}
	}
}

// open opens the stream and serves it until it fails or falls silent.
func (l *link) open(ctx context.Context, client relayv1.RelayClient) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Carry(ctx)
	if err != nil {
		return
	}
	go l.watch(ctx, cancel)
	go l.send(ctx, stream)
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		l.deliver(batch)
	}
}

// watch ends the stream when the carrier is silent.
func (l *link) watch(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	var s silenceDetector
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.check(l.receivedBatches()) {
			cancel()
			return
		}
	}
}

// silenceDetector tells a carrier that is silent from a leader that had no processor to
// read what it sent. Looks are counted for that, and not the time: a process
// that gets no processor looks no more often than it reads, whereas by its clock
// every carrier has been silent for long when it goes on.
type silenceDetector struct {
	heard  uint64
	checks int
}

// check takes in how many batches have come in all, and reports whether the
// carrier is silent.
func (s *silenceDetector) check(batches uint64) bool {
	if batches != s.heard {
		s.heard, s.checks = batches, 0
		return false
	}
	s.checks++
	return s.checks >= silenceChecks
}

// receivedBatches returns how many receivedBatches of outcomes have come.
func (l *link) receivedBatches() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

// send sends orders in batches.
func (l *link) send(ctx context.Context, stream relayv1.Relay_CarryClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			time.Sleep(orderBatchDelay)
		}
		batch := l.take()
		if len(batch) == 0 {
			continue
		}
		err := sendInChunks(batch, func(piece []*relayv1.Order) error {
			return stream.Send(&relayv1.OrderBatch{Orders: piece})
		})
		if err != nil {
			return
		}
	}
}

func (l *link) take() []*relayv1.Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.batch
	l.batch = nil
	for _, o := range batch {
		if w := l.pending[o.Id]; w != nil {
			w.sent = true
		}
	}
	return batch
}

// deliver hands outcomes to those who wait for them.
func (l *link) deliver(batch *relayv1.OutcomeBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = true
	l.heard++
	for _, outcome := range batch.Outcomes {
		if w := l.pending[outcome.Id]; w != nil {
			delete(l.pending, outcome.Id)
			w.outcome <- outcome
		}
	}
}

// failPending tells all who wait that the link has failed.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = false
	l.batch = nil
	for id, w := range l.pending {
		delete(l.pending, id)
		close(w.outcome)
	}
}

// busy reports whether an outcome is awaited.
func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up && len(l.pending) > 0
}

func (l *link) healthy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// relay has an order carried. sent is whether it may have reached the worker; the
// outcome is nil when it is not known.
func (l *link) relay(ctx context.Context, o *relayv1.Order) (outcome *relayv1.Outcome, sent bool) {
	w := l.enqueue(o)
	if w == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	select {
	case outcome := <-w.outcome:
		return outcome, w.sent
	case <-ctx.Done():
		return nil, l.abandon(o.Id, w)
	}
}

func (l *link) enqueue(o *relayv1.Order) *pendingOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return nil
	}
	l.nextID++
	o.Id = l.nextID
	w := &pendingOrder{outcome: make(chan *relayv1.Outcome, 1)}
	l.pending[o.Id] = w
	l.batch = append(l.batch, o)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return w
}

func (l *link) abandon(id uint64, w *pendingOrder) (sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	return w.sent
}
