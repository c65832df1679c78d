package grpcrelay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	relayv1 "github.com/guavarill/guavarill/api/relay/v1"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

const (
	// orderBatchDelay and outcomeBatchDelay are the times for which orders and
	// outcomes are collected before they are sent, because a message costs far more
	// than its elements. The delay of orders is shorter because the leader already
	// issues them in batches.
	orderBatchDelay   = 4 * time.Millisecond
	outcomeBatchDelay = 20 * time.Millisecond
	// heartbeatInterval is the longest interval between two messages of a relay. If
	// it has no outcomes, it sends an empty batch to show that it is alive.
	heartbeatInterval = 150 * time.Millisecond
)

// windowBytes is the flow control window of streams and connections, enough for a
// hundred reports of busy workers. It is fixed, because with a dynamic window
// grpc-go sends a ping with most batches to measure the delay.
const windowBytes = 1 << 20

// NewServer returns a gRPC server for the services of this package. It has no
// service registered yet.
func NewServer() *grpc.Server {
	return grpc.NewServer(grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes))
}

// RelayServer executes the orders that a leader sends through this daemon. Its
// workers bound the duration of each order, so that the leader receives an outcome of
// every order while its stream is open.
type RelayServer struct {
	relayv1.UnimplementedRelayServer
	workers port.TaskWorkers
	lost    chan struct{}
}

// NewRelayServer returns a RelayServer that passes orders to workers, and registers
// it with s.
func NewRelayServer(s *grpc.Server, workers port.TaskWorkers) *RelayServer {
	c := &RelayServer{workers: workers, lost: make(chan struct{}, 1)}
	relayv1.RegisterRelayServer(s, c)
	return c
}

// Carry implements relayv1.RelayServer. It executes the orders of a stream
// concurrently and sends their outcomes in batches, in order of completion.
func (c *RelayServer) Carry(stream relayv1.Relay_CarryServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	out := newOutbox()
	go out.run(ctx, func(batch []*relayv1.Outcome) error {
		return sendInChunks(batch, func(piece []*relayv1.Outcome) error {
			return stream.Send(&relayv1.OutcomeBatch{Outcomes: piece})
		})
	})
	for {
		batch, err := stream.Recv()
		if err != nil {
			// The leader has gone or has lost the leadership.
			c.noteLost()
			return err
		}
		for _, o := range batch.Orders {
			go func() { out.add(c.execute(ctx, o)) }()
		}
	}
}

// execute sends one order to its worker and returns the outcome. An order that
// cannot be decoded gets VerdictInvalid.
func (c *RelayServer) execute(ctx context.Context, o *relayv1.Order) *relayv1.Outcome {
	outcome := &relayv1.Outcome{Id: o.Id}
	verdict := jobsched.VerdictInvalid
	switch kind := o.Kind.(type) {
	case *relayv1.Order_Renew:
		renew := decodeRenew(o, kind.Renew)
		var report jobsched.Report
		verdict, report = c.workers.Renew(ctx, renew)
		encodeReport(outcome, report)
	case *relayv1.Order_Start:
		if start, ok := decodeStart(o, kind.Start); ok {
			verdict, outcome.ClockMs = c.workers.Start(ctx, start)
		}
	case *relayv1.Order_Stop:
		if stop, ok := decodeStop(o, kind.Stop); ok {
			verdict = c.workers.Stop(ctx, stop)
		}
	case *relayv1.Order_Throttle:
		if throttle, ok := decodeThrottle(o, kind.Throttle); ok {
			verdict = c.workers.Throttle(ctx, throttle)
		}
	}
	outcome.Verdict = int64(verdict)
	return outcome
}

// outbox collects outcomes and sends them in batches.
type outbox struct {
	mu    sync.Mutex
	batch []*relayv1.Outcome
	wake  chan struct{}
}

func newOutbox() *outbox { return &outbox{wake: make(chan struct{}, 1)} }

func (b *outbox) add(o *relayv1.Outcome) {
	b.mu.Lock()
	b.batch = append(b.batch, o)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *outbox) take() []*relayv1.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.batch
	b.batch = nil
	return batch
}

// run sends batches until ctx ends or a send fails.
func (b *outbox) run(ctx context.Context, send func([]*relayv1.Outcome) error) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		case <-b.wake:
			time.Sleep(outcomeBatchDelay)
		}
		if send(b.take()) != nil {
			return
		}
	}
}
