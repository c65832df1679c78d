package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
)

// jobArgument is the positional argument that holds a job's id.
type jobArgument struct {
	Positional struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

func (j jobArgument) id() (job.ID, error) {
	id, err := job.ParseID(j.Positional.ID)
	if err != nil {
		return "", usage("%v", err)
	}
	return id, nil
}

type jobExplainCommand struct {
	app *app
	logOptions
	jobArgument
}

// explained is the output of explain: the explanation from the log lines, and the
// leader's current view of the job.
type explained struct {
	*joblog.Explanation
	// Now is nil if the job has ended, the leader did not return its view, or
	// the lines come from saved logs.
	Now *jobsched.JobView `json:"now,omitempty"`
}

// Execute implements flags.Commander.
func (c *jobExplainCommand) Execute([]string) error {
	id, err := c.id()
	if err != nil {
		return err
	}
	lines, missing, err := c.lines(c.app)
	if err != nil {
		return err
	}
	e := explained{Explanation: joblog.Explain(lines, id)}
	if !c.saved() {
		e.Now = c.app.leaderView(id)
	}
	if err := c.app.print(e, e.rows); err != nil {
		return err
	}
	return missing.incomplete()
}

// leaderView returns the leader's current view of a job that has not ended. It
// returns nil if no daemon returns a view, for example because the job has ended
// or the leader is not among the daemons of --daemon.
func (a *app) leaderView(id job.ID) *jobsched.JobView {
	for _, client := range a.jobClients() {
		view, err := askOne(a, client, func(ctx context.Context, c *jobapi.Client) (jobsched.JobView, error) {
			return c.Tasks(ctx, id)
		})
		if err == nil {
			return &view
		}
	}
	return nil
}

func (e explained) rows(w *tabwriter.Writer) {
	fmt.Fprintf(w, "job %s: %s\n", e.Job, e.Outcome)
	for _, finding := range e.Findings {
		fmt.Fprintf(w, "- %s\n", finding)
	}
	for _, gap := range e.Gaps {
		fmt.Fprintf(w, "- not known: %s\n", gap)
	}
	if e.Now != nil {
		e.leaderViewRows(w)
	}
	if len(e.Lines) > 0 {
		row(w)
		lineRows(w, e.Lines)
	}
}

func (e explained) leaderViewRows(w *tabwriter.Writer) {
	row(w)
	row(w, "STEP", "DONE", "RUNNING", "WAITING", "BLOCKED BY", "WORKERS RULED OUT")
	for _, s := range e.Now.Steps {
		row(w, s.Name, s.Done, s.Running, s.Waiting, s.Blocked, s.RuledOut)
	}
	for _, s := range e.Now.Steps {
		if s.TrialWait != "" {
			fmt.Fprintf(w, "step %s: %s\n", s.Name, s.TrialWait)
		}
		if s.HeldBack != "" {
			fmt.Fprintf(w, "step %s is held back: %s\n", s.Name, s.HeldBack)
		}
		for _, c := range s.Crashes {
			fmt.Fprintf(w, "workers have ended under task %s\n", c)
		}
	}
}

func lineRows(w *tabwriter.Writer, lines []joblog.Line) {
	row(w, "TIME", "DAEMON", "WHAT", "ABOUT", "WORKER", "EPOCH", "WHY")
	for _, l := range lines {
		row(w, joblog.FormatTime(l.Time), l.Daemon, l.Message, about(l), l.Worker, nonZero(l.Epoch), why(l))
	}
}

// about returns what a line refers to: an attempt, a task or step, a job, or ""
// if it refers to none.
func about(l joblog.Line) string {
	switch {
	case l.Attempt > 0:
		return fmt.Sprintf("%s attempt %d", l.Task, l.Attempt)
	case l.Task != "":
		return l.Task
	}
	return string(l.Job)
}

// nonZero formats n, or returns "" for 0, which means that the value is absent.
func nonZero(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

// why joins the status, queue, reason and error of a line, leaving out those that
// are absent.
func why(l joblog.Line) string {
	var parts []string
	if l.Status != 0 {
		parts = append(parts, fmt.Sprintf("status %d", l.Status))
	}
	if l.Queue != "" {
		parts = append(parts, "queue "+l.Queue)
	}
	if l.Reason != "" {
		parts = append(parts, l.Reason)
	}
	if l.Error != "" {
		parts = append(parts, l.Error)
	}
	return strings.Join(parts, "; ")
}

type jobTimelineCommand struct {
	app *app
	logOptions
	ID string `long:"job" description:"only the lines about one job; without it only those that are about none"`
}

// Execute implements flags.Commander.
func (c *jobTimelineCommand) Execute([]string) error {
	lines, missing, err := c.lines(c.app)
	if err != nil {
		return err
	}
	if c.ID == "" {
		lines = joblog.Events(lines)
	} else {
		lines = joblog.ForJob(lines, job.ID(c.ID))
	}
	if err := c.app.print(lines, func(w *tabwriter.Writer) { lineRows(w, lines) }); err != nil {
		return err
	}
	return missing.incomplete()
}

type jobStatusCommand struct {
	app *app
	logOptions
}

// Execute implements flags.Commander.
func (c *jobStatusCommand) Execute([]string) error {
	if c.saved() {
		return c.fromLogs()
	}
	statuses, missing, err := askAll(c.app, c.app.jobClients(), func(ctx context.Context, client *jobapi.Client) (jobapi.Status, error) {
		return client.Status(ctx)
	})
	if err != nil {
		return err
	}
	err = c.app.print(statuses, func(w *tabwriter.Writer) {
		row(w, "DAEMON", "ZONE", "LEADS", "READY", "CONFIGURATION", "STORE SILENT FOR", "PEERS", "CORDONED ZONES")
		for _, s := range statuses {
			row(w, s.Daemon, s.Zone, yesNo(s.Leads), yesNo(s.Ready), s.ConfigVersion, s.StoreSilence.Round(time.Millisecond), s.Peers, cordonedZones(s.Cordons))
		}
	})
	if err != nil {
		return err
	}
	return missing.incomplete()
}

func (c *jobStatusCommand) fromLogs() error {
	lines, err := c.read(c.app)
	if err != nil {
		return err
	}
	daemons := joblog.SummarizeDaemons(lines)
	return c.app.print(daemons, func(w *tabwriter.Writer) {
		row(w, "DAEMON", "LEADS", "EPOCH", "STORE LOST", "WARNINGS", "LAST LINE")
		for _, d := range daemons {
			row(w, d.Daemon, yesNo(d.IsLeader), nonZero(d.Epoch), yesNo(d.StoreLost), d.Warnings, d.LastLine.UTC().Format(time.RFC3339Nano))
		}
	})
}

// cordonedZones lists the zones that a daemon knows to be cordoned: "none" if it knows
// that none is, and nothing if it does not know.
func cordonedZones(c *jobapi.CordonStatus) string {
	switch {
	case c == nil:
		return ""
	case len(c.Zones) == 0:
		return "none"
	}
	return strings.Join(zoneList(c.Zones), ",")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
