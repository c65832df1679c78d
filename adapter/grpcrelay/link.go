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
	// silenceChecks is the number of consecutive checks, silenceCheckInterval apart,
	// that find no new message from a relay before other relays get its workers. It
	// allows for three heartbeats and some delay. It is short because a relay that is
	// suspended or cut off delays the lease renewals of all its workers.
	silenceChecks        = 4
	silenceCheckInterval = 150 * time.Millisecond
	// outcomeTimeout bounds the wait for an outcome from a relay that is alive: several
	// times the time that an order takes on the relay and that a busy leader needs to
	// process the outcome. Without it, a fault of a relay could keep the leader from
	// ever calling a worker again.
	outcomeTimeout = 8 * time.Second
	// linkRetry is the time before a failed link is reopened.
	linkRetry = 500 * time.Millisecond
	// dialTimeout bounds an attempt to connect.
	dialTimeout = time.Second
)

// pendingOrder is an order without an outcome. Its channel receives the outcome, or is
// closed if the link fails. sent is set when the order is taken from the queue to be
// written to the stream.
type pendingOrder struct {
	outcome chan *relayv1.Outcome
	sent    bool
}

// link is the stream to one relay. It is reopened when it fails.
type link struct {
	address string

	mu sync.Mutex
	// up is set from the first message of the relay until the stream fails.
	up bool
	// received counts the batches of outcomes received.
	received uint64
	nextID   uint64
	pending  map[uint64]*pendingOrder
	batch    []*relayv1.Order
	wake     chan struct{}
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
		// The address cannot be parsed. The other relays are used.
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

// open opens the stream and receives outcomes until the stream fails or the relay
// falls silent.
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

// watch cancels the stream when the relay is silent.
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

// silenceDetector distinguishes a silent relay from a leader that got no processor time
// to read the relay's messages. It therefore counts checks instead of measuring time: a
// process without processor time neither checks nor reads, but when it continues, every
// relay has been silent for a long time by its clock.
type silenceDetector struct {
	batches uint64
	checks  int
}

// check reports whether the relay is silent, given the total number of batches received
// from it.
func (s *silenceDetector) check(batches uint64) bool {
	if batches != s.batches {
		s.batches, s.checks = batches, 0
		return false
	}
	s.checks++
	return s.checks >= silenceChecks
}

// receivedBatches returns the number of batches of outcomes received.
func (l *link) receivedBatches() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// send sends the queued orders in batches until ctx ends or a send fails.
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

// take removes and returns the queued orders and marks them as sent.
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

// deliver passes outcomes to the callers that wait for them, and marks the link as up.
func (l *link) deliver(batch *relayv1.OutcomeBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = true
	l.received++
	for _, outcome := range batch.Outcomes {
		if w := l.pending[outcome.Id]; w != nil {
			delete(l.pending, outcome.Id)
			w.outcome <- outcome
		}
	}
}

// failPending marks the link as down and ends the wait of all pending orders without an
// outcome.
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

// busy reports whether the link is up and has pending orders.
func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up && len(l.pending) > 0
}

// healthy reports whether the link is up.
func (l *link) healthy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// relay sends an order through the link and waits for its outcome, which is nil if it is
// not known. sent reports whether the order may have reached the worker.
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

// enqueue assigns an ID to an order and queues it. It returns nil if the link is down.
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

// abandon ends the wait for an outcome and reports whether the order was sent.
func (l *link) abandon(id uint64, w *pendingOrder) (sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	return w.sent
}
