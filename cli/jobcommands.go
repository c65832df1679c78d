package cli

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
)

// jobGroup is the parent command of the commands about jobs that callers submit.
// They call the daemons' interface for jobs.
type jobGroup struct{}

type jobSubmitCommand struct {
	app   *app
	Queue string        `long:"queue" required:"yes" description:"the queue to submit to"`
	ID    string        `long:"id" description:"the job's id, 16 hexadecimal digits; without it a new one is made. To repeat a submission whose outcome is not known, give its id"`
	Wait  time.Duration `long:"wait" description:"how long to wait for the job's end"`
	Args  struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *jobSubmitCommand) Execute([]string) error {
	spec, err := readJob(c.Args.File)
	if err != nil {
		return err
	}
	id, err := c.jobID()
	if err != nil {
		return err
	}
	state, err := askAnyJob(c.app, func(ctx context.Context, client *jobapi.Client) (jobapi.JobState, error) {
		return client.Submit(ctx, c.Queue, id, spec)
	})
	if err != nil {
		return jobError("job "+string(id), err)
	}
	if c.Wait > 0 {
		state = c.app.awaitJob(state, c.Wait)
	}
	return c.app.printState(state)
}

// jobID returns the id given by --id, or a new random id without it.
func (c *jobSubmitCommand) jobID() (job.ID, error) {
	if c.ID == "" {
		random := uuid.New()
		return job.ID(hex.EncodeToString(random[:8])), nil
	}
	id, err := job.ParseID(c.ID)
	if err != nil {
		return "", usage("--id: %v", err)
	}
	return id, nil
}

// readJob reads a job's declaration from a JSON file and validates it with the
// same checks as the daemons.
func readJob(path string) (*job.Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Code: ExitUsage, Text: "job", Cause: err}
	}
	spec := new(job.Spec)
	if err := json.Unmarshal(text, spec); err != nil {
		return nil, &Error{Code: ExitRefused, Text: path, Cause: err}
	}
	for _, check := range []func() error{spec.Check, spec.CheckLimits} {
		if err := check(); err != nil {
			return nil, &Error{Code: ExitRefused, Text: path, Cause: err}
		}
	}
	return spec, nil
}

// jobPoll is the polling interval of awaitJob.
const jobPoll = 200 * time.Millisecond

// awaitJob polls a job's state until it is final, limit has elapsed, or the
// command is interrupted, and returns the last known state. Failed calls are
// retried at the next poll.
func (a *app) awaitJob(state jobapi.JobState, limit time.Duration) jobapi.JobState {
	for end := time.Now().Add(limit); !state.State.Final() && time.Now().Before(end) && a.ctx.Err() == nil; {
		time.Sleep(jobPoll)
		latest, err := askAnyJob(a, func(ctx context.Context, client *jobapi.Client) (jobapi.JobState, error) {
			return client.State(ctx, state.ID)
		})
		if err == nil {
			state = latest
		}
	}
	return state
}

func (a *app) printState(state jobapi.JobState) error {
	return a.print(state, func(w *tabwriter.Writer) {
		row(w, "JOB", "STATE")
		row(w, state.ID, state.State)
	})
}

// callAndPrint makes a call about the job and prints the state that it returns.
func (j jobArgument) callAndPrint(a *app, call func(*jobapi.Client, context.Context, job.ID) (jobapi.JobState, error)) error {
	id, err := j.id()
	if err != nil {
		return err
	}
	state, err := askAnyJob(a, func(ctx context.Context, client *jobapi.Client) (jobapi.JobState, error) {
		return call(client, ctx, id)
	})
	if err != nil {
		return jobError("job "+string(id), err)
	}
	return a.printState(state)
}

type jobStateCommand struct {
	app *app
	jobArgument
}

// Execute implements flags.Commander.
func (c *jobStateCommand) Execute([]string) error {
	return c.callAndPrint(c.app, (*jobapi.Client).State)
}

type jobCancelCommand struct {
	app *app
	jobArgument
}

// Execute implements flags.Commander.
func (c *jobCancelCommand) Execute([]string) error {
	return c.callAndPrint(c.app, (*jobapi.Client).Cancel)
}

type jobQueueCommand struct {
	app  *app
	Args struct {
		Queue string `positional-arg-name:"QUEUE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *jobQueueCommand) Execute([]string) error {
	queue, err := askAnyJob(c.app, func(ctx context.Context, client *jobapi.Client) (jobapi.QueueStatus, error) {
		return client.Queue(ctx, c.Args.Queue)
	})
	if err != nil {
		return jobError("queue "+c.Args.Queue, err)
	}
	return c.app.print(queue, func(w *tabwriter.Writer) {
		row(w, "QUEUE", "WAITING")
		row(w, queue.Queue, queue.Waiting)
	})
}

type jobListCommand struct {
	app *app
	logOptions
}

// Execute implements flags.Commander.
func (c *jobListCommand) Execute([]string) error {
	if c.saved() {
		return c.fromLogs()
	}
	jobs, err := askAnyJob(c.app, func(ctx context.Context, client *jobapi.Client) ([]jobsched.JobView, error) {
		return client.List(ctx)
	})
	if err != nil {
		return jobError("jobs", err)
	}
	return c.app.print(jobs, func(w *tabwriter.Writer) {
		row(w, "JOB", "QUEUE", "PRIORITY", "STATE", "ACCEPTED", "ATTEMPTS")
		for _, j := range jobs {
			row(w, j.ID, j.Queue, j.Priority, j.State, time.UnixMilli(j.AcceptedMs).UTC().Format(time.RFC3339), j.Attempts)
		}
	})
}

func (c *jobListCommand) fromLogs() error {
	lines, err := c.read(c.app)
	if err != nil {
		return err
	}
	jobs := joblog.SummarizeJobs(lines)
	return c.app.print(jobs, func(w *tabwriter.Writer) {
		row(w, "JOB", "QUEUE", "OUTCOME", "ACCEPTED", "STARTED", "ENDED", "ATTEMPTS")
		for _, j := range jobs {
			row(w, j.Job, j.Queue, j.Outcome, timeOfDay(j.AcceptedAt), timeOfDay(j.StartedAt), timeOfDay(j.EndedAt), j.Attempts)
		}
	})
}

// timeOfDay formats a time, or returns "" for the zero time, which means that the
// time is not known.
func timeOfDay(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return joblog.FormatTime(t)
}

// askAnyJob calls the daemons in turn until one carries out the call or returns
// an error that every daemon would return. Every call about a job names the job
// and can therefore be repeated safely, even if its outcome is not known. If all
// calls failed, the error of the last call with an uncertain outcome is
// returned, or else that of the first call.
func askAnyJob[T any](a *app, ask func(context.Context, *jobapi.Client) (T, error)) (T, error) {
	var response T
	var worst error
	for _, client := range a.jobClients() {
		var err error
		response, err = askOne(a, client, ask)
		if err == nil || isDefinite(err) {
			return response, err
		}
		if worst == nil || isUncertain(err) {
			worst = err
		}
	}
	return response, worst
}

// isDefinite reports whether every daemon would return this error, so that trying
// another daemon is of no use.
func isDefinite(err error) bool {
	switch problemKind(err) {
	case jobapi.ProblemInvalid, jobapi.ProblemTooLarge, jobapi.ProblemUnknownJob, jobapi.ProblemUnknownQueue:
		return true
	}
	return false
}

// isUncertain reports whether the call may have been carried out despite the
// error.
func isUncertain(err error) bool {
	var failed *jobapi.CallError
	return errors.As(err, &failed) && failed.Uncertain()
}

func problemKind(err error) jobapi.ProblemKind {
	var failed *jobapi.CallError
	if !errors.As(err, &failed) {
		return ""
	}
	return failed.Problem.Kind
}

// jobError converts the error of a call about jobs into the command's error; what
// names the job or queue.
func jobError(what string, err error) error {
	code := ExitNotMade
	switch {
	case isDefinite(err):
		code = ExitRefused
	case isUncertain(err):
		code = ExitUnknown
	}
	return &Error{Code: code, Text: what, Cause: err}
}
