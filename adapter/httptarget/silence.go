package httptarget

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// silenceWatch monitors one exchange that waits for its response.
type silenceWatch struct {
	timer *time.Timer
	over  atomic.Bool
	// connectionAtFault is whether the target answered a probe while the
	// exchange was silent, so that the connection and not the target is at
	// fault.
	connectionAtFault atomic.Bool
}

// watchSilence probes the target over a new connection if the exchange has no
// response after the call's SilenceAfter. An exchange that itself uses a new
// connection needs no probe. The call's Silent function decides whether to give
// the exchange up, because that helps only a request that may be sent again.
func (t *Target) watchSilence(x *exchange, giveUp context.CancelCauseFunc) *silenceWatch {
	after := x.call.SilenceAfter
	if after == 0 {
		after = t.o.SilenceAfter
	}
	w := &silenceWatch{}
	w.timer = time.AfterFunc(after, func() { w.handleSilence(x, giveUp) })
	return w
}

// handleSilence runs when the exchange has been without a response for
// SilenceAfter.
func (w *silenceWatch) handleSilence(x *exchange, giveUp context.CancelCauseFunc) {
	if w.hasResponse(x) {
		return
	}
	proven := x.used && x.c.pool.probeTarget(x.started)
	if w.hasResponse(x) {
		return
	}
	if proven {
		x.t.metrics.silences.Inc()
		w.connectionAtFault.Store(true)
	}
	if x.call.OnSilence != nil && x.call.OnSilence(proven) {
		giveUp(faultSilent)
	}
}

// hasResponse reports whether bytes of a response have arrived or the exchange
// has ended.
func (w *silenceWatch) hasResponse(x *exchange) bool { return w.over.Load() || x.c.receivedBytes() > 0 }

func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.over.Store(true)
	w.timer.Stop()
}

func (w *silenceWatch) isConnectionAtFault() bool { return w != nil && w.connectionAtFault.Load() }

// probe is one check of whether a target answers. Several exchanges may wait for
// its result.
type probe struct {
	done chan struct{}
	// proven is set before done is closed.
	proven bool
}

// probeTarget reports whether the target answers over a new connection. If it
// does, the connections last proven before since are dropped. Concurrent calls
// share one probe.
func (p *pool) probeTarget(since time.Time) (proven bool) {
	pr, mine := p.joinProbe()
	if !mine {
		<-pr.done
		return pr.proven
	}
	pr.proven = p.runProbe(since)
	p.mu.Lock()
	p.probe = nil
	p.mu.Unlock()
	close(pr.done)
	return pr.proven
}

func (p *pool) joinProbe() (pr *probe, mine bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probe != nil {
		return p.probe, false
	}
	p.probe = &probe{done: make(chan struct{})}
	return p.probe, true
}

func (p *pool) runProbe(since time.Time) (proven bool) {
	ctx, cancel := context.WithTimeout(context.Background(), p.t.o.ProbeTimeout)
	defer cancel()
	c, _, err := p.acquire(ctx, connRequirements{fresh: true})
	if err == nil {
		err = c.sendProbe(ctx)
	}
	if err != nil {
		p.t.metrics.probes.WithLabelValues(resultFailed).Inc()
		return false
	}
	p.t.metrics.probes.WithLabelValues(resultDone).Inc()
	p.distrustBefore(since)
	return true
}

// distrustBefore drops the idle connections that were last proven before since. A
// connection in use is dropped when its exchange ends without a response; a
// whole response proves it anew.
func (p *pool) distrustBefore(since time.Time) {
	p.mu.Lock()
	if since.After(p.trustSince) {
		p.trustSince = since
	}
	stale := p.pruneLocked(time.Now())
	p.mu.Unlock()
	closeAll(stale)
}

// sendProbe sends a probe and returns nil if the target sends any whole
// response with a body of at most maxDrainBytes. OPTIONS * names no resource
// and has no effect (RFC 9110, section 9.3.7).
func (c *conn) sendProbe(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	c.arm(deadline)
	req := &http.Request{
		Method:     http.MethodOptions,
		URL:        &url.URL{Scheme: "http", Host: c.pool.address, Path: "*"},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     make(http.Header),
		Host:       c.pool.address,
	}
	resp, err := c.client.RoundTrip(req.WithContext(ctx))
	if err == nil {
		defer resp.Body.Close() //nolint:errcheck // what was read decides
		_, err = readWhole(resp, maxDrainBytes)
	}
	if err != nil {
		c.seal()
		c.close()
		return err
	}
	c.finish()
	return nil
}
