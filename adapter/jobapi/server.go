package jobapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/jobservice"
)

const (
	// requestTimeout bounds the handling of a call. It is twice what a submission may
	// take, and less than clients wait by default.
	requestTimeout = 3 * time.Second
	// defaultBodyBytes bounds the body of a submission if the configuration sets no limit.
	defaultBodyBytes = 256 << 10
	// listLimit bounds the number of jobs in a list. It is more than people read in a
	// table.
	listLimit = 5000
)

// Inspector returns the leader's view of jobs.
type Inspector interface {
	Inspect(ctx context.Context, id job.ID) (jobsched.JobView, error)
	List(ctx context.Context, limit int) ([]jobsched.JobView, error)
}

// Options configures a Server.
type Options struct {
	Intake    *jobservice.Intake
	Config    *jobservice.ConfigFeed
	Inspector Inspector
	Status    func() Status
	// RecentLog returns the daemon's latest log lines, in JSON, one a line.
	RecentLog func() []byte
	Log       *logrus.Logger
}

// Server handles the calls of the interface.
type Server struct {
	o        Options
	log      *logrus.Entry
	refusals *RefusalLog
}

// NewHandler returns the handler of the interface.
func NewHandler(o Options) http.Handler {
	log := o.Log.WithField("component", "job api")
	s := &Server{o: o, log: log, refusals: NewRefusalLog(log)}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.answerError
	e.Use(withTimeout)
	e.POST("/v1/queues/:queue/jobs/:id", s.submit)
	e.GET("/v1/queues/:queue", s.queue)
	e.GET("/v1/jobs", s.list)
	e.GET("/v1/jobs/:id", s.state)
	e.GET("/v1/jobs/:id/tasks", s.tasks)
	e.DELETE("/v1/jobs/:id", s.cancel)
	e.GET("/v1/status", s.status)
	e.GET("/v1/log", s.recentLog)
	return e
}

// withTimeout limits the handling of a call to requestTimeout.
func withTimeout(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

func (s *Server) submit(c echo.Context) error {
	id, err := job.ParseID(c.Param("id"))
	if err != nil {
		return err
	}
	config, queue, err := s.findQueue(c.Param("queue"))
	if err != nil {
		return s.withoutQueue(c, id, err)
	}
	var declared declaration
	if err := ReadBody(c.Request().Context(), c.Request(), config.Limits.BodyBytes, &declared); err != nil {
		return err
	}
	spec := declared.spec()
	if err := s.o.Intake.Submit(c.Request().Context(), id, spec, queue, config.Version); err != nil {
		return err
	}
	s.log.WithFields(jobservice.AcceptedFields(id, spec, queue, config.Version)).Info(joblog.MessageJobAccepted)
	return c.JSON(http.StatusOK, JobState{ID: id, State: job.Queued})
}

// withoutQueue answers a submission whose queue is not known for certain.
func (s *Server) withoutQueue(c echo.Context, id job.ID, err error) error {
	var unavailable *jobservice.UnavailableError
	if !errors.As(err, &unavailable) {
		return err
	}
	if err := s.o.Intake.Refuse(c.Request().Context(), nil, id, err); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, JobState{ID: id, State: job.Queued})
}

// findQueue returns a queue and the configuration that contains it, or an error if that
// configuration is too old to accept jobs by it.
func (s *Server) findQueue(name string) (*job.Config, *job.Queue, error) {
	if err := s.o.Config.CheckAge(); err != nil {
		return nil, nil, err
	}
	return s.o.Config.FindQueue(func(c *job.Config) *job.Queue { return c.Queues[name] })
}

func (s *Server) queue(c echo.Context) error {
	_, queue, err := s.findQueue(c.Param("queue"))
	if err != nil {
		return err
	}
	waiting, err := s.o.Intake.WaitingJobs(c.Request().Context(), queue.Name)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, QueueStatus{Queue: queue.Name, Waiting: waiting})
}

func (s *Server) state(c echo.Context) error {
	id, err := job.ParseID(c.Param("id"))
	if err != nil {
		return err
	}
	state, err := s.o.Intake.State(c.Request().Context(), nil, id)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, JobState{ID: id, State: state})
}

func (s *Server) cancel(c echo.Context) error {
	id, err := job.ParseID(c.Param("id"))
	if err != nil {
		return err
	}
	if err := s.o.Intake.Cancel(c.Request().Context(), nil, id); err != nil {
		return err
	}
	s.log.WithField("job", id).Info(joblog.MessageCancelRequested)
	return c.JSON(http.StatusOK, JobState{ID: id, State: job.Canceled})
}

func (s *Server) list(c echo.Context) error {
	views, err := s.o.Inspector.List(c.Request().Context(), listLimit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, views)
}

func (s *Server) tasks(c echo.Context) error {
	id, err := job.ParseID(c.Param("id"))
	if err != nil {
		return err
	}
	view, err := s.o.Inspector.Inspect(c.Request().Context(), id)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view)
}

func (s *Server) status(c echo.Context) error { return c.JSON(http.StatusOK, s.o.Status()) }

func (s *Server) recentLog(c echo.Context) error {
	return c.Blob(http.StatusOK, "application/x-ndjson", s.o.RecentLog())
}

// answerError sends the response to a call that failed.
func (s *Server) answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, kind := ProblemOf(err)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.Response().Header().Set("Retry-After", RetryAfterSeconds(err))
	}
	if kind != ProblemNotLeading {
		s.refusals.Write(Refusal{
			Status: status, Method: c.Request().Method, Job: c.Param("id"), Queue: c.Param("queue"), Cause: err,
		})
	}
	if sent := c.JSON(status, Problem{Kind: kind, Detail: err.Error()}); sent != nil {
		s.log.WithError(sent).Debug("cannot send the response; the caller closed the connection")
	}
}
