package etcdstore

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/port"
)

type watchStream = grpc.BidiStreamingClient[etcdv3.WatchRequest, etcdv3.WatchResponse]

// watch is one open watch. Each watch has its own gRPC stream.
type watch struct {
	store  *Store
	conn   *connection
	stream watchStream
	cancel context.CancelFunc
	events chan port.WatchEvent
}

// Watch implements port.Store. The channel is closed when the watch ends: without
// a further event if ctx ended, and after an event with Err if the watch failed.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan port.WatchEvent, error) {
	if err := s.gate.admit(ctx, callWatch); err != nil {
		s.metrics.count(callWatch.name, err)
		return nil, err
	}
	w, err := s.openWatch(ctx, prefix, after)
	s.gate.observe(ctx, callWatch, err)
	s.metrics.count(callWatch.name, err)
	if err != nil {
		return nil, err
	}
	s.metrics.watches.Inc()
	go w.run(ctx)
	return w.events, nil
}

func (s *Store) openWatch(ctx context.Context, prefix string, after int64) (*watch, error) {
	conn, err := s.conns.acquire(wantsFreshConnection(ctx))
	if err != nil {
		return nil, classify(ctx, callWatch, err, false)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	w := &watch{store: s, conn: conn, cancel: cancel, events: make(chan port.WatchEvent)}
	started := s.clock.Now()
	timer := time.AfterFunc(s.timeout, cancel)
	err = w.create(streamCtx, prefix, after)
	if timer.Stop() && err == nil {
		s.conns.recordResponse(conn)
		return w, nil
	}
	timedOut := streamCtx.Err() != nil && ctx.Err() == nil
	failure := openFailure(ctx, err, timedOut)
	if timedOut {
		s.conns.recordTimeout(conn, started)
	}
	w.close()
	return nil, failure
}

// create requests the watch and waits until the store confirms it.
func (w *watch) create(ctx context.Context, prefix string, after int64) error {
	stream, err := etcdv3.NewWatchClient(w.conn.cc).Watch(ctx)
	if err != nil {
		return err
	}
	w.stream = stream
	if err := stream.Send(etcdwire.WatchRequest(prefix, after)); err != nil {
		_, err = stream.Recv()
		return err
	}
	resp, err := stream.Recv()
	if err != nil {
		return err
	}
	if !resp.GetCreated() {
		return &ResponseError{Reason: "the first answer does not create the watch"}
	}
	if resp.GetCanceled() {
		return watchCancelError(resp)
	}
	return nil
}

func openFailure(ctx context.Context, err error, timedOut bool) *port.StoreError {
	if timedOut {
		return &port.StoreError{Call: callWatch.name, Kind: port.StoreTimeout, Outcome: port.OutcomeNotDone, Cause: err}
	}
	switch failure := err.(type) {
	case *port.StoreError:
		return failure
	case *ResponseError:
		return malformedResponse(callWatch, failure.Reason)
	default:
		return classify(ctx, callWatch, err, true)
	}
}

// watchCancelError returns the error of a watch that the store canceled: its kind
// is StoreCompacted if the watch's revision was compacted, otherwise
// StoreWatchBroken.
func watchCancelError(resp *etcdv3.WatchResponse) *port.StoreError {
	failure := &port.StoreError{Call: callWatch.name, Kind: port.StoreWatchBroken, Outcome: port.OutcomeNotDone}
	if resp.GetCompactRevision() > 0 {
		failure.Kind = port.StoreCompacted
	}
	if resp.GetCancelReason() != "" {
		failure.Cause = &ResponseError{Reason: resp.GetCancelReason()}
	}
	return failure
}

// run delivers events until the watch ends.
func (w *watch) run(ctx context.Context) {
	defer close(w.events)
	defer w.store.metrics.watches.Dec()
	defer w.close()
	failure := w.receive(ctx)
	if ctx.Err() != nil {
		return
	}
	w.store.metrics.brokenWatches.Inc()
	w.deliver(ctx, port.WatchEvent{Err: failure})
}

func (w *watch) receive(ctx context.Context) *port.StoreError {
	for {
		resp, err := w.stream.Recv()
		if err != nil {
			return &port.StoreError{
				Call: callWatch.name, Kind: port.StoreWatchBroken, Outcome: port.OutcomeNotDone, Cause: err,
			}
		}
		w.store.conns.recordResponse(w.conn)
		if resp.GetCanceled() {
			return watchCancelError(resp)
		}
		for _, ev := range resp.GetEvents() {
			if !w.deliver(ctx, etcdwire.WatchEvent(ev)) {
				return nil
			}
		}
	}
}

// deliver sends one event to the channel. It returns false if ctx ended first.
func (w *watch) deliver(ctx context.Context, ev port.WatchEvent) bool {
	select {
	case w.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *watch) close() {
	w.cancel()
	w.store.conns.release(w.conn)
}
