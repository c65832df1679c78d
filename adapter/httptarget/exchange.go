package httptarget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/traffic"
)

// maxDrainBytes is how many bytes of a body that is not needed, such as that of
// a refusal, are read to keep the connection usable.
const maxDrainBytes = 4 << 10

// exchange is one request on one connection.
type exchange struct {
	t    *Target
	c    *conn
	call *traffic.Call
	// used is whether the connection came from the pool rather than being new.
	used    bool
	watch   *silenceWatch
	trace   httptrace.ClientTrace
	started time.Time
}

// run performs the exchange and takes over the connection: a usable one returns
// to the pool once its reader is idle, any other is closed.
func (x *exchange) run(ctx context.Context) (*traffic.Response, *traffic.ExchangeError) {
	x.started = time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline, _ := ctx.Deadline()
	x.c.arm(deadline)
	req, err := x.request(ctx)
	if err != nil {
		return nil, x.fail(ctx, err, fate.BeforeConnect)
	}
	x.watch = x.t.watchSilence(x, cancel)
	resp, err := x.c.client.RoundTrip(req)
	x.watch.stop()
	if err != nil {
		return nil, x.fail(ctx, err, x.stageBeforeHead())
	}
	defer resp.Body.Close() //nolint:errcheck // what was read decides
	if x.isNotStarted(resp) {
		return nil, x.refusal(resp)
	}
	if err := checkFraming(req, resp); err != nil {
		return nil, x.fail(ctx, err, fate.ReadingBody)
	}
	body, err := readWhole(resp, x.t.o.MaxBodyBytes)
	if err != nil {
		return nil, x.fail(ctx, err, fate.ReadingBody)
	}
	x.c.finish()
	return &traffic.Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
		Leaving: resp.Header.Get(traffic.HeaderLeaving) == traffic.HeaderTrue,
	}, nil
}

// request builds the HTTP request. It sets no GetBody, so net/http cannot replay
// the body for a retry of its own.
func (x *exchange) request(ctx context.Context) (*http.Request, error) {
	path, err := url.PathUnescape(x.call.Path)
	if err != nil {
		return nil, faultPath
	}
	x.trace.WroteHeaders = func() { x.c.wroteHead.Store(true) }
	x.trace.WroteRequest = func(info httptrace.WroteRequestInfo) { x.c.wroteAll.Store(info.Err == nil) }
	req := &http.Request{
		Method:     x.call.Method,
		URL:        &url.URL{Scheme: "http", Host: x.c.pool.address, Path: path, RawPath: x.call.Path, RawQuery: x.call.Query},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     x.header(ctx),
		Host:       x.c.pool.address,
	}
	if n := len(x.call.Body); n > 0 {
		req.Body = io.NopCloser(bytes.NewReader(x.call.Body))
		req.ContentLength = int64(n)
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, &x.trace)), nil
}

// header returns the call's headers together with the request id and the time
// left until the deadline. The value slices are shared with the call, whose own
// map is not changed.
func (x *exchange) header(ctx context.Context) http.Header {
	h := make(http.Header, len(x.call.Header)+3)
	for name, values := range x.call.Header {
		h[name] = values
	}
	h[traffic.HeaderRequestID] = []string{x.call.ID}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline), 0).Milliseconds()
		h[traffic.HeaderTimeout] = []string{strconv.FormatInt(left, 10) + "ms"}
	}
	if _, ok := h["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its own User-Agent.
		h["User-Agent"] = nil
	}
	return h
}

// isNotStarted reports whether the target stated in its response that it did not
// start the request.
func (x *exchange) isNotStarted(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(traffic.HeaderNotStarted) == traffic.HeaderTrue
}

// refusal returns the error for a request that the target did not start. The
// connection is kept if the body of the refusal ends within maxDrainBytes.
func (x *exchange) refusal(resp *http.Response) *traffic.ExchangeError {
	if _, err := readWhole(resp, maxDrainBytes); err == nil && checkFraming(resp.Request, resp) == nil {
		x.c.finish()
	} else {
		x.c.seal()
		x.c.close()
	}
	return &traffic.ExchangeError{
		Address:    x.c.pool.address,
		Stage:      fate.NotStarted,
		Sent:       fate.SentAll,
		Reason:     fate.ReasonTargetNotStarted,
		Leaving:    resp.Header.Get(traffic.HeaderLeaving) == traffic.HeaderTrue,
		RetryAfter: retryAfter(resp.Header),
	}
}

// retryAfter returns the Retry-After header if it is a number of seconds, and 0
// otherwise.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// checkFraming returns an error if the end of the response's body cannot be
// determined, or if the target switched protocols.
func checkFraming(req *http.Request, resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusOK:
		return faultSwitched
	case req.Method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return nil
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return faultUnbounded
	}
	return nil
}

// readWhole reads the body to its declared end. It returns faultTooLarge if the
// body has more than bound bytes.
func readWhole(resp *http.Response, bound int64) ([]byte, error) {
	if resp.ContentLength > bound {
		return nil, faultTooLarge
	}
	if resp.ContentLength == 0 {
		return nil, nil
	}
	if resp.ContentLength > 0 && resp.Request.Method != http.MethodHead {
		return readDeclared(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bound+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > bound {
		return nil, faultTooLarge
	}
	return body, nil
}

// readDeclared reads a body of declared length. It also reads the end of the
// body, without which net/http does not release the connection.
func readDeclared(resp *http.Response) ([]byte, error) {
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	var end [1]byte
	if n, err := resp.Body.Read(end[:]); n != 0 || err != io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// stageBeforeHead returns the stage that the exchange reached when the head of
// its response did not arrive whole.
func (x *exchange) stageBeforeHead() fate.Stage {
	switch {
	case x.c.receivedBytes() > 0:
		return fate.ReadingHead
	case x.c.wroteAll.Load():
		return fate.AwaitingHead
	case x.c.wroteHead.Load():
		return fate.SendingBody
	}
	return fate.SendingHead
}

// fail ends the exchange and closes its connection, so that a late response
// cannot reach another exchange.
func (x *exchange) fail(ctx context.Context, err error, stage fate.Stage) *traffic.ExchangeError {
	sent := x.c.seal()
	cut := x.c.hasReadFailed()
	x.c.close()
	if sent == fate.SentNothing && stage != fate.BeforeConnect {
		stage = fate.SendingHead
	}
	failure := &traffic.ExchangeError{
		Address: x.c.pool.address,
		Stage:   stage,
		Sent:    sent,
		Reason:  x.reason(ctx, err, stage, cut),
		Cause:   err,
	}
	if x.watch.isConnectionAtFault() && stage == fate.AwaitingHead {
		failure.ConnectionOnly = true
	}
	return failure
}

func (x *exchange) reason(ctx context.Context, err error, stage fate.Stage, cut bool) fate.Reason {
	switch {
	case context.Cause(ctx) == faultSilent:
		return fate.ReasonTargetSilent
	case ctx.Err() != nil:
		return ctxReason(ctx)
	case errors.Is(err, faultPastDeadline):
		return fate.ReasonDeadline
	case errors.Is(err, faultPath):
		return fate.ReasonInvalidRequest
	case errors.Is(err, faultTooLarge), stage == fate.ReadingHead && x.c.receivedBytes() >= x.t.o.MaxHeadBytes:
		return fate.ReasonAnswerTooLarge
	case errors.Is(err, faultSwitched), errors.Is(err, faultUnbounded):
		return fate.ReasonAnswerMalformed
	case stage < fate.ReadingHead:
		return fate.ReasonConnectionBroken
	case cut:
		return fate.ReasonAnswerCutShort
	}
	return fate.ReasonAnswerMalformed
}
