package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/core/joblog"
)

// logOptions selects the source of log lines: saved logs or the daemons' memory.
type logOptions struct {
	Logs []string `long:"log" description:"a saved log, in place of the daemons' memory; may be given several times. Lines that do not name their daemon are taken for those of the file's name"`
}

// saved reports whether the lines are read from saved logs.
func (o logOptions) saved() bool { return len(o.Logs) > 0 }

// lines returns the merged lines of all saved logs or, without --log, of all
// daemons, and the daemons that did not respond.
func (o logOptions) lines(a *app) ([]joblog.Line, unreachableDaemons, error) {
	if o.saved() {
		lines, err := o.read(a)
		return lines, nil, err
	}
	logs, missing, err := askAll(a, a.jobClients(), func(ctx context.Context, client *jobapi.Client) ([]joblog.Line, error) {
		text, err := client.Log(ctx)
		if err != nil {
			return nil, err
		}
		return a.parse(text, client.Address()), nil
	})
	return joblog.Merge(logs...), missing, err
}

// read returns the merged lines of all saved logs. Lines that do not name a daemon
// are attributed to the file's name without its extension.
func (o logOptions) read(a *app) ([]joblog.Line, error) {
	var logs [][]joblog.Line
	for _, path := range o.Logs {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, &Error{Code: ExitUsage, Text: "saved log", Cause: err}
		}
		logs = append(logs, a.parse(text, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))))
	}
	return joblog.Merge(logs...), nil
}

// parse returns the lines of a log. It reports on standard error how many lines
// cannot be parsed, and the first error.
func (a *app) parse(text []byte, daemon string) []joblog.Line {
	lines, unread := joblog.Parse(text, daemon)
	if len(unread) > 0 {
		fmt.Fprintf(a.errOut, "%s: %d lines cannot be read; the first: %v\n", daemon, len(unread), unread[0])
	}
	return lines
}
