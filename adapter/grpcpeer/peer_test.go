package grpcpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/port"
)

// handler returns fixed responses or an error.
type handler struct {
	err error
	// If hold is set, each exchange sends to entered when it begins and then blocks
	// on hold.
	entered chan struct{}
	hold    chan struct{}
}

func (h *handler) Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	if h.hold != nil {
		h.entered <- struct{}{}
		<-h.hold
	}
	return &peerv1.ExchangeResponse{Sender: req.GetSender()}, h.err
}

func (h *handler) Claim(context.Context, *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return &peerv1.ClaimResponse{Verdict: peerv1.ClaimVerdict_CLAIM_VERDICT_GRANTED}, h.err
}

func serve(t *testing.T, o ServerOptions, h Handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(o, h)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

func client(t *testing.T, o ClientOptions) *Client {
	t.Helper()
	if o.CallTimeout == 0 {
		o.CallTimeout = 20 * time.Second
	}
	c := NewClient(o)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func request() *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		Cluster: "agency", Protocol: Protocol,
		Sender: &peerv1.Member{
			Id: "d001", Incarnation: uint64(time.Now().UnixMilli()), State: peerv1.MemberState_MEMBER_STATE_ALIVE,
			Address: "10.20.30.40:7300", AvailabilityZone: "mvd-1", StartedUnixMillis: time.Now().UnixMilli(),
		},
	}
}

func exchange(c *Client, address string) (*peerv1.ExchangeResponse, error) {
	return c.Exchange(context.Background(), address, request())
}

func wantKind(t *testing.T, err error, kind port.PeerErrorKind) {
	t.Helper()
	var pe *port.PeerError
	if !errors.As(err, &pe) || pe.Kind != kind {
		t.Errorf("got %v, want kind %q", err, kind)
	}
}

func TestExchangeAndClaim(t *testing.T) {
	s, address := serve(t, ServerOptions{Cluster: "agency"}, &handler{})
	c := client(t, ClientOptions{Cluster: "agency"})
	resp, err := exchange(c, address)
	if err != nil || resp.GetSender().GetId() != "d001" {
		t.Fatalf("%v, %v", resp, err)
	}
	claim, err := c.Claim(context.Background(), address, &peerv1.ClaimRequest{RequestId: "1"})
	if err != nil || claim.GetVerdict() != peerv1.ClaimVerdict_CLAIM_VERDICT_GRANTED {
		t.Fatalf("%v, %v", claim, err)
	}
	if got := c.Stats(); got != (ClientStats{Calls: 2, Dials: 1}) {
		t.Errorf("client %+v", got)
	}
	if got := s.Stats().Calls; got != 2 {
		t.Errorf("%d calls served", got)
	}
}

// Guards against mixing the members and configurations of two clusters. A daemon is
// started with the addresses of another cluster, or with a newer program, and its
// calls do not identify the cluster and the protocol version.
func TestRefusals(t *testing.T) {
	s, address := serve(t, ServerOptions{Cluster: "agency"}, &handler{})
	other := client(t, ClientOptions{Cluster: "pindan"})
	_, err := exchange(other, address)
	wantKind(t, err, port.PeerOtherCluster)
	_, err = other.Claim(context.Background(), address, &peerv1.ClaimRequest{})
	wantKind(t, err, port.PeerOtherCluster)
	_, err = exchange(client(t, ClientOptions{Cluster: "agency", protocol: Protocol + 1}), address)
	wantKind(t, err, port.PeerOtherProtocol)
	mixed := request()
	mixed.Cluster = "pindan"
	_, err = client(t, ClientOptions{Cluster: "agency"}).Exchange(context.Background(), address, mixed)
	wantKind(t, err, port.PeerOtherCluster)
	if got := s.Stats(); got.OtherCluster != 3 || got.OtherProtocol != 1 {
		t.Errorf("server %+v", got)
	}
}

func TestHandlerErrorsKeepTheirKind(t *testing.T) {
	for _, kind := range []port.PeerErrorKind{
		port.PeerUnreachable, port.PeerOtherCluster, port.PeerOtherProtocol, port.PeerRefused,
	} {
		_, address := serve(t, ServerOptions{Cluster: "agency"}, &handler{err: &port.PeerError{Kind: kind}})
		_, err := exchange(client(t, ClientOptions{Cluster: "agency"}), address)
		wantKind(t, err, kind)
	}
}

// Guards against a message that exhausts the memory of a small VM because its size
// is not bounded.
func TestMessageBound(t *testing.T) {
	_, address := serve(t, ServerOptions{Cluster: "agency", MaxMessageBytes: 1024}, &handler{})
	_, err := client(t, ClientOptions{Cluster: "agency"}).Claim(context.Background(), address,
		&peerv1.ClaimRequest{RequestId: string(make([]byte, 2048))})
	wantKind(t, err, port.PeerRefused)
}

// losableConn simulates a connection whose state a middlebox can lose: from then on no
// data arrives, and the connection does not break.
type losableConn struct {
	net.Conn
	lost *atomic.Bool
	end  chan struct{}
	once sync.Once
	read *atomic.Int64
	sent *atomic.Int64
}

func (q *losableConn) Read(b []byte) (int, error) {
	n, err := q.Conn.Read(b)
	if q.lost.Load() {
		<-q.end
		return 0, net.ErrClosed
	}
	q.read.Add(int64(n))
	return n, err
}

func (q *losableConn) Write(b []byte) (int, error) {
	q.sent.Add(int64(len(b)))
	if q.lost.Load() {
		return len(b), nil
	}
	return q.Conn.Write(b)
}

func (q *losableConn) Close() error {
	q.once.Do(func() { close(q.end) })
	return q.Conn.Close()
}

// network dials connections. Those opened between two calls of lose form a
// generation and fall silent together.
type network struct {
	mu         sync.Mutex
	generation *atomic.Bool
	read, sent atomic.Int64
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return &losableConn{Conn: conn, lost: n.generation, end: make(chan struct{}), read: &n.read, sent: &n.sent}, nil
}

// lose makes all connections opened so far silent; later ones work.
func (n *network) lose() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.generation.Store(true)
	n.generation = new(atomic.Bool)
}

// Guards against a running peer that counts as dead. The connection to it falls
// silent while new ones would work; if the client keeps it, one call after the other
// exceeds its deadline.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, address := serve(t, ServerOptions{Cluster: "agency"}, &handler{})
	n := &network{generation: new(atomic.Bool)}
	c := client(t, ClientOptions{Cluster: "agency", Dial: n.dial, CallTimeout: 2 * time.Second})
	if _, err := exchange(c, address); err != nil {
		t.Fatal(err)
	}
	n.lose()
	_, err := exchange(c, address)
	wantKind(t, err, port.PeerUnreachable)
	if _, err := exchange(c, address); err != nil {
		t.Errorf("call after the connection fell silent: %v", err)
	}
	if got := c.Stats(); got.Dials != 2 || got.Dropped != 1 {
		t.Errorf("client %+v", got)
	}
}

// Guards against a claim that fails although the peer would have answered it.
// Another call on the same connection reaches its deadline first, and the client
// closes the connection while calls are in flight on it.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	h := &handler{entered: make(chan struct{}, 2), hold: make(chan struct{})}
	_, address := serve(t, ServerOptions{Cluster: "agency"}, h)
	c := client(t, ClientOptions{Cluster: "agency"})
	slow := make(chan error, 1)
	go func() {
		_, err := exchange(c, address)
		slow <- err
	}()
	<-h.entered
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Exchange(short, address, request())
	wantKind(t, err, port.PeerUnreachable)
	close(h.hold)
	if err := <-slow; err != nil {
		t.Errorf("slow call: %v", err)
	}
}

func TestClosedClientRefuses(t *testing.T) {
	c := NewClient(ClientOptions{Cluster: "agency"})
	_ = c.Close()
	_, err := exchange(c, "127.0.0.1:1")
	wantKind(t, err, port.PeerUnreachable)
}

// TestBytesOnTheWire measures the bytes that HTTP/2 adds to an exchange.
func TestBytesOnTheWire(t *testing.T) {
	_, address := serve(t, ServerOptions{Cluster: "agency"}, &handler{})
	n := &network{generation: new(atomic.Bool)}
	c := client(t, ClientOptions{Cluster: "agency", Dial: n.dial})
	if _, err := exchange(c, address); err != nil {
		t.Fatal(err)
	}
	first := [2]int64{n.sent.Load(), n.read.Load()}
	const calls = 100
	for range calls {
		if _, err := exchange(c, address); err != nil {
			t.Fatal(err)
		}
	}
	sent, read := (n.sent.Load()-first[0])/calls, (n.read.Load()-first[1])/calls
	payload := int64(proto.Size(request()))
	t.Logf("first call %d B sent %d B read; then a call of %d B payload: %d B sent, %d B read",
		first[0], first[1], payload, sent, read)
	if sent > payload+200 || read > payload+200 {
		t.Errorf("more than 200 B of framing per message: sent %d B, read %d B", sent, read)
	}
}
