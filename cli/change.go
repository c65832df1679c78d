package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/daemon"
)

type manifestFile struct {
	File string `positional-arg-name:"FILE" description:"manifest, YAML or JSON; - reads standard input" required:"yes"`
}

func (f manifestFile) read() ([]byte, error) {
	var document []byte
	var err error
	if f.File == "-" {
		document, err = io.ReadAll(os.Stdin)
	} else {
		document, err = os.ReadFile(f.File)
	}
	if err != nil {
		return nil, &Error{Code: ExitFailed, Text: "read manifest", Cause: err}
	}
	return document, nil
}

type validateCommand struct {
	app  *app
	Args manifestFile `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	document, err := c.Args.read()
	if err != nil {
		return err
	}
	if _, err := manifest.Parse(document); err != nil {
		return &Error{Code: ExitRefused, Text: "manifest is not valid", Cause: err}
	}
	fmt.Fprintln(c.app.out, "valid")
	return nil
}

type applyCommand struct {
	app     *app
	Base    *uint64       `long:"base" description:"revision that this manifest replaces; a conflict when another is in force"`
	DryRun  bool          `long:"dry-run" description:"say what would change and change nothing"`
	Wait    bool          `long:"wait" description:"return when every live daemon has the revision in force"`
	WaitFor time.Duration `long:"wait-for" default:"30s" description:"how long to wait at most"`
	Args    manifestFile  `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	document, err := c.Args.read()
	if err != nil {
		return err
	}
	var base *model.Revision
	if c.Base != nil {
		revision := model.Revision(*c.Base)
		base = &revision
	}
	result, err := c.app.change(func(ctx context.Context, client *adminapi.Client) (adminapi.ChangeResult, error) {
		return client.Apply(ctx, document, base, c.DryRun)
	})
	if err != nil {
		return err
	}
	if c.Wait && !c.DryRun {
		return c.app.waitInForce(result.Revision, c.WaitFor)
	}
	return nil
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
	request := adminapi.CancelRequest{Workloads: c.Args.Workloads}
	if c.Base != nil {
		revision := model.Revision(*c.Base)
		request.Base = &revision
	}
	_, err := c.app.change(func(ctx context.Context, client *adminapi.Client) (adminapi.ChangeResult, error) {
		return client.Cancel(ctx, request)
	})
	return err
}

// change sends a change to the first daemon. It is not sent to another one
// after a failure: the first may have made it.
func (a *app) change(send func(context.Context, *adminapi.Client) (adminapi.ChangeResult, error)) (adminapi.ChangeResult, error) {
	ctx, cancel := a.call()
	defer cancel()
	client := a.clients()[0]
	result, err := send(ctx, client)
	if err != nil {
		return result, &Error{
			Code:  ExitUnknown,
			Text:  "no answer; the change may have been made: see `guavarill status`, or send it again, which changes nothing if it was",
			Cause: err,
		}
	}
	if err := a.printChange(result); err != nil {
		return result, err
	}
	return result, changeError(result)
}

func (a *app) printChange(r adminapi.ChangeResult) error {
	return a.print(r, func(w *tabwriter.Writer) {
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
		for _, p := range r.Problems {
			row(w, "problem", p.Path, p.Reason)
		}
		if r.Detail != "" && len(r.Problems) == 0 {
			row(w, "detail", r.Detail)
		}
	})
}

func changeError(r adminapi.ChangeResult) error {
	switch r.Outcome {
	case adminapi.Conflict:
		return &Error{Code: ExitConflict, Text: fmt.Sprintf("conflict: revision %d is in force", r.Revision)}
	case adminapi.Refused:
		return &Error{Code: ExitRefused, Text: "refused"}
	case adminapi.NotMade:
		return &Error{Code: ExitNotMade, Text: "not made; send it again"}
	case adminapi.Unknown:
		return &Error{
			Code: ExitUnknown,
			Text: "unknown: the change may have been made; send it again, which changes nothing if it was",
		}
	}
	return nil
}

// waitPoll is the time between two looks at the daemons' revisions.
const waitPoll = 200 * time.Millisecond

// waitInForce waits until every live daemon has at least the revision.
func (a *app) waitInForce(revision model.Revision, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		behind, err := a.behind(revision)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(a.out, "revision %d is in force on every live daemon\n", revision)
			return nil
		}
		if time.Now().After(deadline) {
			return &Error{
				Code:  ExitIncomplete,
				Text:  "not yet in force on: " + strings.Join(behind, " "),
				Cause: err,
			}
		}
		select {
		case <-time.After(waitPoll):
		case <-a.ctx.Done():
			return &Error{Code: ExitFailed, Text: "interrupted"}
		}
	}
}

// behind returns the live daemons that have not confirmed the revision.
func (a *app) behind(revision model.Revision) ([]string, error) {
	statuses, err := askAll(a, func(ctx context.Context, c *adminapi.Client) (daemon.Status, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return nil, err
	}
	var behind []string
	for _, m := range statuses[0].Members {
		if m.State == "alive" && m.Revision < revision {
			behind = append(behind, string(m.ID))
		}
	}
	return behind, nil
}
