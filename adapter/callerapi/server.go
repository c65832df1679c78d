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
)

// Server is the HTTP interface towards callers.
type Server struct {
	o        Options
	echo     *echo.Echo
	server   *http.Server
	stopping atomic.Bool
}

// New returns a server that does not listen yet.
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
	s.server = &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: o.ReadHeaderTimeout,
		ReadTimeout:       o.ReadTimeout,
		WriteTimeout:      o.WriteTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		// What callers do wrong on their connections is theirs to log.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	return s
}

// Handler returns the interface as a handler, for tests and for daemons that
// add routes of their own.
func (s *Server) Handler() http.Handler { return s.echo }

// Echo returns the router, so that a daemon can add routes before Serve.
func (s *Server) Echo() *echo.Echo { return s.echo }

// Serve accepts callers' connections until Stop. It returns nil after a
// planned stop.
func (s *Server) Serve(l net.Listener) error {
	err := s.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &ServeError{Address: l.Addr().String(), Cause: err}
}

// Stop is the planned stop. Readiness is withdrawn first, while requests are
// still taken, for as long as the balancer needs to notice; then no more
// connections are accepted, idle ones are closed, and the requests in flight
// end. When ctx ends before that, Stop returns what is left as an error and
// cuts nothing off: to close is then the caller's decision.
func (s *Server) Stop(ctx context.Context) error {
	if !s.stopping.Swap(true) {
		s.o.Log.WithField("notice", s.o.BalancerNotice).Info("readiness withdrawn")
	}
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

// Close cuts everything off. It is for tests and for the end of a stop that
// took too long.
func (s *Server) Close() error { return s.server.Close() }

// ServeError is a listener that failed, or a stop that did not end in time.
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
