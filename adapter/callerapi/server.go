package callerapi

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/adapter/httpdrain"
)

// Server serves the HTTP interface for callers.
type Server struct {
	o        Options
	echo     *echo.Echo
	server   *httpdrain.Server
	stopping atomic.Bool
}

// New returns a Server that does not listen yet.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{o: o, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Any("/v1/services/:service/call", s.call)
	s.echo.Any("/v1/services/:service/call/*", s.call)
	s.echo.GET("/healthz", s.health)
	s.echo.GET("/readyz", s.ready)
	s.server = httpdrain.New(&http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: o.ReadHeaderTimeout,
		ReadTimeout:       o.ReadTimeout,
		WriteTimeout:      o.WriteTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		// Faults of callers on their connections are not logged here.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	})
	return s
}

// Handler returns the HTTP handler, for tests and for daemons that add routes of
// their own.
func (s *Server) Handler() http.Handler { return s.echo }

// Echo returns the router, so that a daemon can add routes before Serve.
func (s *Server) Echo() *echo.Echo { return s.echo }

// Serve accepts callers' connections until Stop or Close, after which it returns
// nil. Any other end is a ServeError.
func (s *Server) Serve(l net.Listener) error {
	err := s.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &ServeError{Address: l.Addr().String(), Cause: err}
}

// Stop performs a planned stop. It withdraws readiness and keeps accepting
// requests for BalancerNotice, so that the load balancer can detect it. Then it
// accepts no more connections, closes idle ones and waits for the requests in
// flight. If ctx ends first, Stop returns an error and leaves the remaining
// requests running; the caller decides whether to call Close.
func (s *Server) Stop(ctx context.Context) error {
	if !s.stopping.Swap(true) {
		s.o.Log.WithField("notice", s.o.BalancerNotice).Info("readiness withdrawn")
	}
	s.server.CloseAfterResponses()
	notice := time.NewTimer(s.o.BalancerNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	if err := s.server.Shutdown(ctx); err != nil {
		return &ServeError{Cause: err}
	}
	return s.o.Engine.Drain(ctx)
}

// Close closes all connections at once, without waiting for requests in flight.
// It is for tests and for a planned stop that takes too long.
func (s *Server) Close() error { return s.server.Close() }

// ServeError reports a listener that failed, or a stop that did not finish in
// time.
type ServeError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ServeError) Error() string { return "caller interface " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

func (s *Server) health(c echo.Context) error { return c.NoContent(http.StatusOK) }

func (s *Server) ready(c echo.Context) error {
	if s.stopping.Load() {
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	}
	if err := s.o.Engine.Serving(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func discard() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
