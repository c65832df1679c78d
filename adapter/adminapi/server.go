package adminapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/port"
)

// Daemon is the part of a daemon that a Server uses.
type Daemon interface {
	Apply(ctx context.Context, request config.ApplyRequest) (config.ApplyResult, error)
	Status(ctx context.Context) (daemon.Status, error)
	Tasks(ctx context.Context) ([]daemon.TaskStatus, error)
	Config(ctx context.Context) (*config.Accepted, error)
	Timeline() []timeline.Event
	SetCordon(ctx context.Context, zone model.Zone, lift bool) error
}

// Options configures a Server.
type Options struct {
	Daemon   Daemon
	Gatherer prometheus.Gatherer
	// Ready returns nil if the daemon accepts requests, and the reason if not.
	Ready func() error
	// Drain starts a planned stop and returns without waiting for it.
	Drain func()
}

// The limits of an operator's request.
const (
	// maxManifestBytes is larger than any acceptable manifest, so that one that is
	// slightly too large is parsed and refused with a list of its problems.
	maxManifestBytes  = 4 * port.MaxValueBytes
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 30 * time.Second
)

// Server serves the HTTP API for operators.
type Server struct {
	o      Options
	server *http.Server
}

// New returns a Server. It handles requests once Serve is called.
func New(o Options) *Server {
	s := &Server{o: o}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	e.POST("/v1/manifest", s.apply)
	e.GET("/v1/manifest", s.manifest)
	e.POST("/v1/cancel", s.cancel)
	e.GET("/v1/status", s.status)
	e.GET("/v1/tasks", s.tasks)
	e.GET("/v1/timeline", s.timeline)
	e.POST("/v1/drain", s.drain)
	e.PUT("/v1/cordons/:zone", func(c echo.Context) error { return s.setCordon(c, false) })
	e.DELETE("/v1/cordons/:zone", func(c echo.Context) error { return s.setCordon(c, true) })
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{})))
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/readyz", s.ready)
	s.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      2 * requestTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	return s
}

// Serve handles requests on l until Close is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the server and waits for requests in progress until ctx ends.
func (s *Server) Close(ctx context.Context) error { return s.server.Shutdown(ctx) }

func respondProblem(c echo.Context, status int, kind ProblemKind, err error) error {
	return c.JSON(status, Problem{Kind: kind, Detail: errorText(err)})
}

// handleError responds to requests without a handler, such as those for an unknown
// path.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var known *echo.HTTPError
	if errors.As(err, &known) {
		status = known.Code
	}
	_ = c.JSON(status, Problem{Kind: NoSuchCall, Detail: http.StatusText(status)})
}

func (s *Server) apply(c echo.Context) error {
	query, err := parseApplyQuery(c.QueryParams())
	if err != nil {
		return respondProblem(c, http.StatusBadRequest, BadQuery, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxManifestBytes))
	if err != nil {
		return respondBodyError(c, err)
	}
	m, err := manifest.Parse(body)
	if err != nil {
		return c.JSON(http.StatusUnprocessableEntity, refusedResult(err))
	}
	if query.dryRun {
		return s.dryRun(c, m, query.base)
	}
	return s.change(c, config.ApplyRequest{Manifest: m, Base: query.base})
}

// respondBodyError responds to a manifest whose body could not be read completely.
// A body that is too large is refused like a manifest that is too large.
func respondBodyError(c echo.Context, err error) error {
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		return respondProblem(c, http.StatusBadRequest, BadBody, err)
	}
	return c.JSON(http.StatusUnprocessableEntity, refusedResult(&manifest.InvalidError{Problems: []manifest.Problem{{
		Reason: manifest.ReasonTooLarge,
		Detail: fmt.Sprintf("at most %d bytes", tooLarge.Limit),
	}}}))
}

func refusedResult(err error) ChangeResult {
	result := ChangeResult{Outcome: Refused, Detail: err.Error()}
	var invalid *manifest.InvalidError
	if errors.As(err, &invalid) {
		result.Problems = invalid.Problems
	}
	return result
}

// dryRun responds with the changes that an apply would make to the configuration in
// force at this daemon.
func (s *Server) dryRun(c echo.Context, m *manifest.Manifest, replaces *model.Revision) error {
	current, err := s.o.Daemon.Config(c.Request().Context())
	if err != nil {
		return respondProblem(c, http.StatusServiceUnavailable, Unavailable, err)
	}
	if replaces != nil {
		if err := config.CheckBase(current, *replaces); err != nil {
			return c.JSON(http.StatusConflict, baseConflict(current, err))
		}
	}
	next, diff, err := config.Accept(current, m, 1, "dry-run")
	if err != nil {
		return c.JSON(http.StatusUnprocessableEntity, refusedResult(err))
	}
	if diff.Empty() {
		return c.JSON(http.StatusOK, ChangeResult{Outcome: NoChange, Revision: next.Revision})
	}
	return c.JSON(http.StatusOK, ChangeResult{Outcome: WouldMake, Revision: next.Revision, Diff: diff})
}

func baseConflict(current *config.Accepted, err error) ChangeResult {
	result := ChangeResult{Outcome: Conflict, Detail: err.Error()}
	if current != nil {
		result.Revision = current.Revision
	}
	return result
}

func (s *Server) cancel(c echo.Context) error {
	request, err := readCancel(http.MaxBytesReader(c.Response(), c.Request().Body, maxManifestBytes))
	if err != nil {
		return respondProblem(c, http.StatusBadRequest, BadBody, err)
	}
	return s.change(c, config.ApplyRequest{Cancel: request.Workloads, Base: request.Base})
}

func (s *Server) change(c echo.Context, request config.ApplyRequest) error {
	request.Writer = uuid.NewString()
	result, err := s.o.Daemon.Apply(c.Request().Context(), request)
	if err != nil {
		return c.JSON(http.StatusBadGateway, ChangeResult{
			Outcome: Unknown, Writer: request.Writer, Detail: err.Error(),
		})
	}
	status, response := changeResult(result)
	return c.JSON(status, response)
}

func (s *Server) manifest(c echo.Context) error {
	current, err := s.o.Daemon.Config(c.Request().Context())
	if err != nil {
		return respondProblem(c, http.StatusServiceUnavailable, Unavailable, err)
	}
	if current == nil {
		return respondProblem(c, http.StatusNotFound, NoManifest, nil)
	}
	c.Response().Header().Set("Guavarill-Revision", strconv.FormatUint(uint64(current.Revision), 10))
	return c.JSONBlob(http.StatusOK, current.Manifest.Canonical())
}

func (s *Server) status(c echo.Context) error {
	st, err := s.o.Daemon.Status(c.Request().Context())
	if err != nil {
		return respondProblem(c, http.StatusServiceUnavailable, Unavailable, err)
	}
	return c.JSON(http.StatusOK, st)
}

func (s *Server) tasks(c echo.Context) error {
	list, err := s.o.Daemon.Tasks(c.Request().Context())
	if err != nil {
		return respondProblem(c, http.StatusServiceUnavailable, Unavailable, err)
	}
	return c.JSON(http.StatusOK, emptyIfNil(list))
}

func (s *Server) timeline(c echo.Context) error {
	return c.JSON(http.StatusOK, emptyIfNil(s.o.Daemon.Timeline()))
}

// emptyIfNil returns an empty list for nil, so that the response is [] instead of
// null.
func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (s *Server) drain(c echo.Context) error {
	s.o.Drain()
	return c.NoContent(http.StatusAccepted)
}

func (s *Server) ready(c echo.Context) error {
	if err := s.o.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
