package httptarget_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

const patience = 20 * time.Second

func newClient(t *testing.T, o httptarget.Options) *httptarget.Target {
	t.Helper()
	c := httptarget.New(o)
	t.Cleanup(c.Close)
	return c
}

func newInstance(t *testing.T, o target.Options) *target.Target {
	t.Helper()
	s, err := target.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newCall(id string, body string) *traffic.Call {
	return &traffic.Call{Request: &traffic.Request{
		ID:     id,
		Method: http.MethodPost,
		Path:   "/orders",
		Header: http.Header{},
		Body:   []byte(body),
	}}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func exchangeError(t *testing.T, err error) *traffic.ExchangeError {
	t.Helper()
	var x *traffic.ExchangeError
	if !errors.As(err, &x) {
		t.Fatalf("got %v, want an ExchangeError", err)
	}
	return x
}

func checkResponse(t *testing.T, resp *traffic.Response, err error, call *traffic.Call) {
	t.Helper()
	if err != nil {
		t.Fatalf("request %s: %v", call.ID, err)
	}
	if want := target.Response(call.ID, call.Body); !bytes.Equal(resp.Body, want) {
		t.Fatalf("request %s: got response %q, want %q", call.ID, resp.Body, want)
	}
}

// Covers each way in which a target can break an exchange, over real sockets:
// the stage reached, the fate of the request, and whether the stand-in ran it.
func TestFateAtEveryPoint(t *testing.T) {
	tests := []struct {
		kind   target.Kind
		stage  fate.Stage
		fate   fate.Fate
		reason fate.Reason
		runs   int
	}{
		{target.DropUnread, fate.AwaitingHead, fate.Unknown, fate.ReasonConnectionBroken, 0},
		{target.Refuse, fate.NotStarted, fate.NotRun, fate.ReasonTargetNotStarted, 0},
		{target.ResetRefusal, fate.NotStarted, fate.NotRun, fate.ReasonTargetNotStarted, 0},
		{target.ResetBeforeHead, fate.AwaitingHead, fate.Unknown, fate.ReasonConnectionBroken, 1},
		{target.ResetMidHead, fate.ReadingHead, fate.Unknown, fate.ReasonAnswerCutShort, 1},
		{target.ResetMidBody, fate.ReadingBody, fate.Unknown, fate.ReasonAnswerCutShort, 1},
		{target.ShortBody, fate.ReadingBody, fate.Unknown, fate.ReasonAnswerCutShort, 1},
		{target.ShortChunks, fate.ReadingBody, fate.Unknown, fate.ReasonAnswerCutShort, 1},
		{target.Unbounded, fate.ReadingBody, fate.Unknown, fate.ReasonAnswerMalformed, 1},
		{target.ConflictingLengths, fate.ReadingHead, fate.Unknown, fate.ReasonAnswerMalformed, 1},
		{target.MalformedHead, fate.ReadingHead, fate.Unknown, fate.ReasonAnswerMalformed, 1},
		{target.HugeHead, fate.ReadingHead, fate.Unknown, fate.ReasonAnswerTooLarge, 1},
		{target.HugeBody, fate.ReadingBody, fate.Unknown, fate.ReasonAnswerTooLarge, 1},
	}
	for _, test := range tests {
		t.Run(test.kind.String(), func(t *testing.T) {
			client := newClient(t, httptarget.Options{})
			instance := newInstance(t, target.Options{})
			client.Limit(instance.Address(), 4)
			warm := newCall("warm", "x")
			resp, err := client.Do(testContext(t), instance.Address(), warm)
			checkResponse(t, resp, err, warm)
			instance.SetFault(target.Fault{Kind: test.kind})
			_, err = client.Do(testContext(t), instance.Address(), newCall("r", "body"))
			x := exchangeError(t, err)
			if x.Stage != test.stage || x.Fate() != test.fate || x.Reason != test.reason {
				t.Errorf("got %s, %s, %s; want %s, %s, %s (%v)",
					x.Stage, x.Fate(), x.Reason, test.stage, test.fate, test.reason, err)
			}
			if got := instance.Runs("r"); got != test.runs {
				t.Errorf("ran %d times, want %d", got, test.runs)
			}
		})
	}
}

// Covers the stages before a connection exists: no connection is allowed, or
// the target's address refuses connections.
func TestFateBeforeConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close() //nolint:errcheck // the address is free from here
	client := newClient(t, httptarget.Options{})

	_, err = client.Do(testContext(t), address, newCall("r", "x"))
	x := exchangeError(t, err)
	if x.Stage != fate.BeforeConnect || x.Fate() != fate.NotRun || x.Reason != fate.ReasonNoConnection {
		t.Errorf("without an allowed connection: got %v", err)
	}
	client.Limit(address, 1)
	_, err = client.Do(testContext(t), address, newCall("r", "x"))
	x = exchangeError(t, err)
	if x.Stage != fate.Connecting || x.Fate() != fate.NotRun || x.Reason != fate.ReasonConnectRefused {
		t.Errorf("refused: got %v", err)
	}
}

// Guards against counting a partly sent request as not run and releasing its id.
// The target stops reading in the middle of a large body and the caller cancels;
// the part already sent was treated as nothing sent.
func TestCallerGoneWhileSending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // the test is over
	ctx, leave := context.WithCancel(testContext(t))
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		// The first bytes have arrived, and the body fills the buffers.
		io.ReadFull(conn, make([]byte, 64)) //nolint:errcheck // only a signal
		leave()
		<-ctx.Done()
	}()
	client := newClient(t, httptarget.Options{})
	client.Limit(l.Addr().String(), 1)
	_, err = client.Do(ctx, l.Addr().String(), newCall("r", strings.Repeat("x", 32<<20)))
	x := exchangeError(t, err)
	if x.Sent != fate.SentPart || x.Fate() != fate.Unknown || x.Reason != fate.ReasonCallerGone {
		t.Errorf("got %v", err)
	}
}

// An exchange without a response ends at its deadline; a call whose context is
// already cancelled sends nothing.
func TestGivenUpWhileWaiting(t *testing.T) {
	instance := newInstance(t, target.Options{})
	instance.SetFault(target.Fault{Kind: target.Hang})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 1)
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(short, instance.Address(), newCall("late", "x"))
	x := exchangeError(t, err)
	if x.Stage != fate.AwaitingHead || x.Fate() != fate.Unknown || x.Reason != fate.ReasonDeadline {
		t.Errorf("deadline: got %v", err)
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Do(over, instance.Address(), newCall("gone", "x"))
	if x := exchangeError(t, err); x.Fate() != fate.NotRun || x.Reason != fate.ReasonCallerGone {
		t.Errorf("gone before connect: got %v", err)
	}
	if got := instance.Runs("gone"); got != 0 {
		t.Errorf("ran %d times after the caller had gone", got)
	}
}
