package httptarget

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// watch looks after one exchange that waits for its answer.
type watch struct {
	timer *time.Timer
	over  atomic.Bool
	// blame is whether the target answered elsewhere meanwhile.
	blame atomic.Bool
}

// watchSilence asks the target over a new connection when the exchange stays
// without an answer; an exchange that has a new connection already needs no
// other. Whether to give it up is for the caller to say: only a request that
// may be sent again gains by it.
func (t *Target) watchSilence(x *exchange, giveUp context.CancelCauseFunc) *watch {
	after := x.call.SilenceAfter
	if after == 0 {
		after = t.o.SilenceAfter
	}
	w := &watch{}
	w.timer = time.AfterFunc(after, func() { w.silent(x, giveUp) })
	return w
}

func (w *watch) silent(x *exchange, giveUp context.CancelCauseFunc) {
	if w.heard(x) {
		return
	}
	proven := x.used && x.c.pool.ask(x.started)
	if w.heard(x) {
		return
	}
	if proven {
		x.t.metrics.silences.Inc()
		w.blame.Store(true)
	}
	if x.call.OnSilence != nil && x.call.OnSilence(proven) {
		giveUp(faultSilent)
	}
}

// heard reports that the answer began, or the exchange ended.
func (w *watch) heard(x *exchange) bool { return w.over.Load() || x.c.receivedBytes() > 0 }

func (w *watch) stop() {
	if w == nil {
		return
	}
	w.over.Store(true)
	w.timer.Stop()
}

func (w *watch) connectionToBlame() bool { return w != nil && w.blame.Load() }

// probe is a question to a target that several exchanges may wait for.
type probe struct {
	done chan struct{}
	// proven is set before done is closed.
	proven bool
}

// ask finds out whether the target answers on a new connection. If it does,
// the connections last proven before since are dropped.
func (p *pool) ask(since time.Time) (proven bool) {
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
	c, _, err := p.acquire(ctx, wanted{fresh: true})
	if err == nil {
		err = c.greet(ctx)
	}
	if err != nil {
		p.t.metrics.probes.WithLabelValues(resultFailed).Inc()
		return false
	}
	p.t.metrics.probes.WithLabelValues(resultDone).Inc()
	p.doubt(since)
	return true
}

// doubt drops the connections that were last proven before since, and those in
// use as soon as they are free, unless they bring an answer.
func (p *pool) doubt(since time.Time) {
	p.mu.Lock()
	if since.After(p.distrust) {
		p.distrust = since
	}
	stale := p.pruneLocked(time.Now())
	p.mu.Unlock()
	closeAll(stale)
}

// greet asks the target for any answer at all. OPTIONS * names no resource and
// has no effect (RFC 9110, section 9.3.7).
func (c *conn) greet(ctx context.Context) error {
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
