package grpcworker

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/worker"
)

func serve(t testing.TB) *worker.Server {
	t.Helper()
	agent := worker.New(worker.Options{
		ID:       "w1",
		Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000},
		Clock:    port.SystemClock{},
	})
	server, err := worker.Serve(agent, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func newClient(t testing.TB) *Client {
	c := New(Options{})
	t.Cleanup(c.Close)
	return c
}

func within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func outcomeOf(t *testing.T, err error) port.Outcome {
	t.Helper()
	var failed *port.WorkerError
	if !errors.As(err, &failed) {
		t.Fatalf("got %T %v", err, err)
	}
	return failed.Outcome
}

func TestApply(t *testing.T) {
	server, c := serve(t), newClient(t)
	first, err := c.Apply(within(t, 10*time.Second), server.Address(), &workerv1.ApplyRequest{Epoch: 3})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Apply(within(t, 10*time.Second), server.Address(), &workerv1.ApplyRequest{
		Epoch:       3,
		Grant:       first.GetGrant(),
		LeaseMillis: 60_000,
		Commands: []*workerv1.Command{{Kind: &workerv1.Command_Start{
			Start: &workerv1.Start{Task: "a@1/0", Attempt: 1},
		}}},
	})
	if err != nil || resp.GetResults()[0].GetOutcome() != workerv1.Outcome_OUTCOME_DONE {
		t.Fatal(resp, err)
	}
}

// Guards against starting a second attempt of a task whose first attempt runs. The
// agent executes a request and its response is lost: the failure was reported as
// not done. The client also kept the silent connection, so that the next call
// failed too.
func TestLostAnswerIsUnknown(t *testing.T) {
	server, c := serve(t), newClient(t)
	server.Agent().SetFaults(worker.Faults{LoseAnswers: 1})
	_, err := c.Apply(within(t, 200*time.Millisecond), server.Address(), &workerv1.ApplyRequest{})
	if got := outcomeOf(t, err); got != port.OutcomeUnknown {
		t.Fatal(got)
	}
	if c.Connections() != 0 {
		t.Fatal("the silent connection was kept")
	}
	if server.Agent().Stats().Requests != 1 {
		t.Fatal("the request was sent more than once")
	}
	_, err = c.Apply(within(t, 10*time.Second), server.Address(), &workerv1.ApplyRequest{})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a start on a VM that is gone staying unknown until its lease
// bound. Nothing listens at the address at first, then an agent does. A failed
// connection was treated as a lost response, or its increasing backoff lasted
// longer than the VM was absent.
func TestNoConnectionIsNotDone(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	if err := lis.Close(); err != nil {
		t.Fatal(err)
	}
	c := newClient(t)
	for range 5 {
		_, err = c.Apply(within(t, 10*time.Second), address, &workerv1.ApplyRequest{})
		if got := outcomeOf(t, err); got != port.OutcomeNotDone {
			t.Fatal(got)
		}
	}
	server, err := worker.Serve(worker.New(worker.Options{Clock: port.SystemClock{}}), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	if _, err = c.Apply(within(t, 10*time.Second), address, &workerv1.ApplyRequest{}); err != nil {
		t.Fatal(err)
	}
}

func TestClosed(t *testing.T) {
	c := New(Options{})
	c.Close()
	_, err := c.Apply(context.Background(), "127.0.0.1:1", &workerv1.ApplyRequest{})
	var closed *ClosedError
	if !errors.As(err, &closed) || outcomeOf(t, err) != port.OutcomeNotDone {
		t.Fatal(err)
	}
}

// BenchmarkWireBytes measures the bytes of one call without commands on the
// socket, in both directions and including the framing.
func BenchmarkWireBytes(b *testing.B) {
	server, c := serve(b), newClient(b)
	var bytes atomic.Int64
	c.dial = append(c.dial, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countingConn{conn, &bytes}, err
	}))
	call := func() {
		if _, err := c.Apply(within(b, 10*time.Second), server.Address(), &workerv1.ApplyRequest{Epoch: 3}); err != nil {
			b.Fatal(err)
		}
	}
	call()
	bytes.Store(0)
	b.ReportAllocs()
	calls := 0
	for b.Loop() {
		call()
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls), "B/exchange")
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
