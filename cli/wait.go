package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/daemon"
)

// waitPoll is the interval at which waitInForce polls the daemons' revisions.
const waitPoll = 200 * time.Millisecond

// waitInForce polls until every live daemon has at least the revision in force.
// It returns an error with ExitIncomplete if that takes longer than limit.
func (a *app) waitInForce(revision model.Revision, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(a.ctx, limit)
	defer cancel()
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	for {
		behind, err := a.daemonsBehind(revision)
		if err == nil && len(behind) == 0 {
			return a.reportInForce(revision)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return notInForce(revision, behind, err)
		}
	}
}

// reportInForce prints that the revision is in force. It prints nothing if
// --output is json, so that the output remains a single JSON document.
func (a *app) reportInForce(revision model.Revision) error {
	if a.globals.Output == outputJSON {
		return nil
	}
	_, err := fmt.Fprintf(a.out, "revision %d is in force on every live daemon\n", revision)
	return err
}

func notInForce(revision model.Revision, behind []string, err error) error {
	text := fmt.Sprintf("revision %d is accepted; not yet known to be in force", revision)
	if err == nil {
		text += " on " + strings.Join(behind, " ")
	}
	return &Error{Code: ExitIncomplete, Text: text, Cause: err}
}

// servingStates are the membership states in which a daemon may still serve
// callers. A suspect daemon may only be slow, so it is waited for as well.
var servingStates = []string{
	membership.Alive.String(), membership.Suspect.String(), membership.Leaving.String(),
}

// daemonsBehind returns the ids of the daemons that may serve callers and have
// not confirmed the revision, according to the first daemon that responds.
func (a *app) daemonsBehind(revision model.Revision) ([]string, error) {
	status, err := askAny(a, func(ctx context.Context, c *adminapi.Client) (daemon.Status, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return nil, err
	}
	var behind []string
	if status.Revision < revision {
		behind = append(behind, string(status.Daemon))
	}
	for _, m := range status.Members {
		if m.ID != status.Daemon && m.Revision < revision && slices.Contains(servingStates, m.State) {
			behind = append(behind, string(m.ID))
		}
	}
	return behind, nil
}
