package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

type applyCommand struct {
	app     *app
	Base    *uint64       `long:"base" description:"revision that this manifest replaces, 0 for none; a conflict when another is in force"`
	DryRun  bool          `long:"dry-run" description:"say what would change and change nothing"`
	Wait    bool          `long:"wait" description:"return when every live daemon has the revision in force"`
	WaitFor time.Duration `long:"wait-for" default:"30s" description:"how long --wait waits at most"`
	Args    manifestFile  `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if c.Wait && c.DryRun {
		return usage("--wait and --dry-run exclude each other")
	}
	if c.WaitFor <= 0 {
		return usage("--wait-for %s must be above 0", c.WaitFor)
	}
	document, err := c.Args.read()
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.app.dryRun(document, revision(c.Base))
	}
	result, err := c.app.change(func(ctx context.Context, client *adminapi.Client) (adminapi.ChangeResult, error) {
		return client.Apply(ctx, document, revision(c.Base), false)
	})
	if err != nil {
		return err
	}
	if err := c.app.finish(result, changeReport{ChangeResult: result}); err != nil {
		return err
	}
	if c.Wait {
		return c.app.waitInForce(result.Revision, c.WaitFor)
	}
	return nil
}

// revision converts the value of --base; nil means that the option is absent.
func revision(n *uint64) *model.Revision {
	if n == nil {
		return nil
	}
	r := model.Revision(*n)
	return &r
}

type cancelCommand struct {
	app  *app
	Base *uint64 `long:"base" description:"revision that this change replaces"`
	Args struct {
		Workloads []string `positional-arg-name:"WORKLOAD" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *cancelCommand) Execute([]string) error {
	request := adminapi.CancelRequest{Workloads: c.Args.Workloads, Base: revision(c.Base)}
	result, err := c.app.change(func(ctx context.Context, client *adminapi.Client) (adminapi.ChangeResult, error) {
		return client.Cancel(ctx, request)
	})
	if err != nil {
		return err
	}
	return c.app.finish(result, changeReport{ChangeResult: result})
}

// change sends a change to the first daemon that can be reached. A change that
// was sent is not sent to another daemon, even if the call failed: the first
// daemon may have made the change, and the second would then report a conflict.
func (a *app) change(send func(context.Context, *adminapi.Client) (adminapi.ChangeResult, error)) (adminapi.ChangeResult, error) {
	var last error
	for _, client := range a.clients() {
		result, err := askOne(a, client, send)
		if err == nil {
			return result, nil
		}
		last = err
		if !neverSent(err) {
			break
		}
		a.reportUnreachable(client, err)
	}
	return adminapi.ChangeResult{}, callFailed(last)
}

// neverSent reports whether a call failed before its request reached a daemon.
func neverSent(err error) bool {
	var failed *adminapi.CallError
	var answer *adminapi.ResponseError
	return errors.As(err, &failed) && failed.Outcome == port.OutcomeNotDone && !errors.As(err, &answer)
}

// changeReport is the output of apply and cancel.
type changeReport struct {
	adminapi.ChangeResult
	// Fields maps the name of each workload that a dry run would change to its
	// changed fields.
	Fields map[string][]fieldChange `json:"fields,omitempty"`
}

// finish prints the report of a change and returns the error, if any, that its
// outcome maps to.
func (a *app) finish(result adminapi.ChangeResult, report changeReport) error {
	if err := a.print(report, report.write); err != nil {
		return err
	}
	return changeError(result)
}

func (r changeReport) write(w *tabwriter.Writer) {
	row(w, "outcome", r.Outcome)
	if r.Revision != 0 {
		row(w, "revision", r.Revision)
	}
	for _, line := range []struct {
		name  string
		names []string
	}{
		{"added", r.Diff.Added}, {"changed", r.Diff.Changed}, {"removed", r.Diff.Removed},
		{"cancelled", r.Diff.Cancelled}, {"teams", r.Diff.Teams},
	} {
		if len(line.names) > 0 {
			row(w, line.name, strings.Join(line.names, " "))
		}
	}
	for _, name := range r.Diff.Changed {
		for _, f := range r.Fields[name] {
			row(w, "", fmt.Sprintf("%s %s: %s -> %s", name, f.Field, f.From, f.To))
		}
	}
	problemRows(w, r.Problems)
	if r.Detail != "" && len(r.Problems) == 0 {
		row(w, "detail", r.Detail)
	}
	if r.Outcome == adminapi.Unknown && r.Writer != "" {
		row(w, "writer", r.Writer)
	}
}

// changeError returns the error for the outcome of a change, or nil if the
// change was accepted or was not needed, or in a dry run would be made.
func changeError(r adminapi.ChangeResult) error {
	switch r.Outcome {
	case adminapi.Accepted, adminapi.NoChange, adminapi.WouldMake:
		return nil
	case adminapi.Conflict:
		return &Error{Code: ExitConflict, Text: conflictText(r)}
	case adminapi.Refused:
		return &Error{Code: ExitRefused, Text: "refused; nothing was changed"}
	case adminapi.NotMade:
		return &Error{Code: ExitNotMade, Text: "not made; send it again"}
	}
	return &Error{
		Code: ExitUnknown,
		Text: "unknown: the change may have been made; send it again, which changes nothing if it was",
	}
}

func conflictText(r adminapi.ChangeResult) string {
	if r.Revision == 0 {
		return "conflict: another change came first"
	}
	return fmt.Sprintf("conflict: revision %d is in force", r.Revision)
}
