package daemon

import (
	"context"
	"sync/atomic"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/traffic"
)

// Daemon is one guavarill process: entry, scheduler and member.
type Daemon struct {
	o       Options
	engine  *traffic.Engine
	homes   *homes
	ring    *timeline.Ring
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	exec    *goroutines
	control *control
	running atomic.Bool
	stopped chan struct{}
}

// StopReason says why a call found the daemon not running.
type StopReason string

// The reasons of a *StoppedError.
const (
	StopEnded    StopReason = "daemon has ended"
	StopCanceled StopReason = "caller gave up"
)

// StoppedError says that the control loop did not answer.
type StoppedError struct {
	Reason StopReason
	Cause  error
}

// Error implements error.
func (e *StoppedError) Error() string { return string(e.Reason) }

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// MetricsError says that a metric could not be registered.
type MetricsError struct{ Cause error }

// Error implements error.
func (e *MetricsError) Error() string { return "register metrics: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MetricsError) Unwrap() error { return e.Cause }

// New returns a daemon that is not running. An error is a *MetricsError.
func New(o Options) (*Daemon, error) {
	m := newMetrics()
	if o.Registerer != nil {
		if err := m.register(o.Registerer); err != nil {
			return nil, &MetricsError{Cause: err}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		o:       o,
		homes:   newHomes(o.Identity, o.Ports, o.Dedup),
		ring:    timeline.NewRing(string(o.Identity.ID), o.TimelineEvents),
		metrics: m,
		ctx:     ctx,
		cancel:  cancel,
		exec:    newGoroutines(ctx),
		stopped: make(chan struct{}),
	}
	d.engine = newEngine(&d.o, d.homes, d.exec)
	d.control = newControl(ctx, &d.o, d.exec, d.engine, d.homes, m, d.ring)
	return d, nil
}

func newEngine(o *Options, h *homes, exec executor) *traffic.Engine {
	id := o.Identity
	return traffic.New(traffic.Options{
		Zone:   id.Zone,
		Target: o.Ports.Target,
		Claims: traffic.NewQuorumClaims(traffic.ClaimOptions{
			Self:        id.ID,
			Incarnation: uint64(id.Started.UnixNano()),
			Booted:      id.Started,
			Members:     h.view,
			Homes:       h,
			Dedup:       o.Dedup,
			Clock:       o.Ports.Clock,
		}),
		ClaimMaxAge: o.Dedup.ClaimValid(),
		OnLeaving: func(service, address string) {
			exec.start(func() event { return leavingSeen{service, address} })
		},
		Registerer: o.Registerer,
		Clock:      o.Ports.Clock,
	})
}

// Run runs the control loop until Stop. It must be called once.
func (d *Daemon) Run() {
	d.running.Store(true)
	defer close(d.stopped)
	d.control.record(timeline.Event{Kind: timeline.DaemonStarted})
	ticker := time.NewTicker(d.o.Timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case ev := <-d.exec.mailbox:
			d.handle(ev)
		case <-ticker.C:
			d.handle(tick{})
		}
	}
}

func (d *Daemon) handle(ev event) {
	began := time.Now()
	d.control.handle(ev)
	d.metrics.loopSeconds.Add(time.Since(began).Seconds())
}

// Engine returns the daemon's request engine.
func (d *Daemon) Engine() *traffic.Engine { return d.engine }

// Timeline returns the events that this daemon holds.
func (d *Daemon) Timeline() []timeline.Event { return d.ring.All() }

// Drain begins a planned stop and waits until the shards are handed over. The
// daemon goes on serving; the caller ends that. An error is a *StoppedError.
func (d *Daemon) Drain(ctx context.Context) error {
	done := make(chan struct{})
	d.exec.deliver(drainRequested{done: done})
	return d.wait(ctx, done)
}

// Stop ends the control loop and the calls it started, and waits for them.
func (d *Daemon) Stop() {
	d.cancel()
	if d.running.Load() {
		<-d.stopped
	}
	d.exec.pending.Wait()
}

func (d *Daemon) wait(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-d.ctx.Done():
		return &StoppedError{Reason: StopEnded}
	case <-ctx.Done():
		return &StoppedError{Reason: StopCanceled, Cause: ctx.Err()}
	}
}

// Apply carries an operator's change through the store. An error is a
// *StoppedError; the fate of the change is then not known.
func (d *Daemon) Apply(ctx context.Context, request config.ApplyRequest) (config.ApplyResult, error) {
	reply := make(chan config.ApplyResult, 1)
	d.exec.deliver(applyRequested{request: request, reply: reply})
	select {
	case result := <-reply:
		return result, nil
	case <-d.ctx.Done():
		return nil, &StoppedError{Reason: StopEnded}
	case <-ctx.Done():
		return nil, &StoppedError{Reason: StopCanceled, Cause: ctx.Err()}
	}
}

// inspect runs look in the control loop.
func (d *Daemon) inspect(ctx context.Context, look func(*control)) error {
	done := make(chan struct{})
	d.exec.deliver(inspection{look: look, done: done})
	return d.wait(ctx, done)
}

// Status returns the daemon's picture of itself. An error is a *StoppedError.
func (d *Daemon) Status(ctx context.Context) (Status, error) {
	var st Status
	err := d.inspect(ctx, func(c *control) { st = c.status() })
	return st, err
}

// Tasks returns the tasks of the shards that this daemon owns. An error is a
// *StoppedError.
func (d *Daemon) Tasks(ctx context.Context) ([]TaskStatus, error) {
	var list []TaskStatus
	err := d.inspect(ctx, func(c *control) { list = c.tasks() })
	return list, err
}

// Config returns the configuration in force here, nil while none is known. An
// error is a *StoppedError.
func (d *Daemon) Config(ctx context.Context) (*config.Accepted, error) {
	var current *config.Accepted
	err := d.inspect(ctx, func(c *control) { current = c.config.Current() })
	return current, err
}

// Exchange answers another daemon's exchange; it implements the peer
// transport's handler.
func (d *Daemon) Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	reply := make(chan *peerv1.ExchangeResponse, 1)
	d.exec.deliver(exchangeRequested{req: req, reply: reply})
	select {
	case resp := <-reply:
		return resp, nil
	case <-d.ctx.Done():
		return nil, &port.PeerError{Peer: string(d.o.Identity.ID), Kind: port.PeerRefused}
	case <-ctx.Done():
		return nil, &port.PeerError{Peer: string(d.o.Identity.ID), Kind: port.PeerRefused, Cause: ctx.Err()}
	}
}

// Claim answers another entry's claim of a request id.
func (d *Daemon) Claim(_ context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return d.homes.answer(req), nil
}

var _ traffic.HomeCaller = (*homes)(nil)
