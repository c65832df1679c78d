package store

import (
	"context"

	"google.golang.org/grpc"

	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
)

type watchService struct {
	etcdv3.UnimplementedWatchServer
	server *Server
}

type watchServerStream = grpc.BidiStreamingServer[etcdv3.WatchRequest, etcdv3.WatchResponse]

// Watch serves one watch per stream.
func (w *watchService) Watch(stream watchServerStream) error {
	req, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx := stream.Context()
	open := func() (any, error) { return w.server.state.openWatch(req.GetCreateRequest()), nil }
	opened, err := w.server.call(ctx, MethodWatch, open)
	if err != nil {
		return err
	}
	cursor := opened.(*cursor)
	if err := stream.Send(&etcdv3.WatchResponse{Header: cursor.header, Created: true}); err != nil {
		return err
	}
	return w.follow(ctx, stream, cursor)
}

// follow sends the changes that the cursor reads until the stream ends or the
// cursor is at a compacted revision.
func (w *watchService) follow(ctx context.Context, stream watchServerStream, c *cursor) error {
	for {
		batch := w.server.state.read(c, w.server.faults.isFrozen())
		if batch.compacted > 0 {
			return stream.Send(&etcdv3.WatchResponse{
				Header: batch.header, Canceled: true, CompactRevision: batch.compacted,
			})
		}
		if len(batch.events) > 0 {
			if err := stream.Send(&etcdv3.WatchResponse{Header: batch.header, Events: batch.events}); err != nil {
				return err
			}
		}
		select {
		case <-batch.changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-w.server.stop:
			return nil
		}
	}
}

// cursor is the position of a watch in the history.
type cursor struct {
	key, end []byte
	next     int64
	header   *etcdv3.ResponseHeader
}

// batch is the result of one read of a cursor.
type batch struct {
	header *etcdv3.ResponseHeader
	events []*etcdv3.Event
	// compacted, when not 0, is the first revision that is not compacted.
	compacted int64
	// changed is closed when there is more to read.
	changed <-chan struct{}
}

func (s *state) openWatch(req *etcdv3.WatchCreateRequest) *cursor {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &cursor{key: req.GetKey(), end: req.GetRangeEnd(), next: req.GetStartRevision(), header: s.header()}
	if c.next == 0 {
		c.next = s.revision + 1
	}
	return c
}

// read reads all changes from the cursor's position on, and moves the cursor behind
// them, unless watches are frozen.
func (s *state) read(c *cursor, frozen bool) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readLocked(c, frozen)
}

func (s *state) readLocked(c *cursor, frozen bool) batch {
	b := batch{header: s.header(), changed: s.history.changed}
	if frozen {
		return b
	}
	events, there := s.history.since(c.next, c.key, c.end)
	if !there {
		b.compacted = s.history.compacted + 1
		return b
	}
	b.events = events
	c.next = max(c.next, s.revision+1)
	return b
}

// wakeWatches makes every watch read changes.
func (s *state) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.wake()
	s.tellObservers()
}
