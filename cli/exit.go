package cli

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	flags "github.com/jessevdk/go-flags"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/port"
)

// ExitCode is the exit code of the process.
type ExitCode int

// The exit codes. The package documentation describes each.
const (
	ExitOK         ExitCode = 0
	ExitFailed     ExitCode = 1
	ExitUsage      ExitCode = 2
	ExitConflict   ExitCode = 3
	ExitRefused    ExitCode = 4
	ExitUnknown    ExitCode = 5
	ExitNotMade    ExitCode = 6
	ExitIncomplete ExitCode = 7
)

var exitTexts = map[ExitCode]string{
	ExitOK:         "done",
	ExitFailed:     "failed",
	ExitUsage:      "wrong usage",
	ExitConflict:   "conflict: another change came first",
	ExitRefused:    "refused: not valid; nothing was changed",
	ExitUnknown:    "unknown: the change may have been made",
	ExitNotMade:    "not made, or nobody answered: try again",
	ExitIncomplete: "incomplete: some daemons or shards did not answer",
}

// exitHelp returns the section of a command's help that lists its exit codes.
func exitHelp(codes []ExitCode) string {
	var b strings.Builder
	b.WriteString("Exit codes:")
	for _, code := range slices.Sorted(slices.Values(codes)) {
		fmt.Fprintf(&b, "\n%d %s", code, exitTexts[code])
	}
	return b.String()
}

// Error is an error that ends the command with the given exit code.
type Error struct {
	Code  ExitCode
	Text  string
	Cause error
}

// Error returns the text, followed by the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Text
	}
	return e.Text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// usage returns an error with ExitUsage.
func usage(format string, args ...any) error {
	return &Error{Code: ExitUsage, Text: fmt.Sprintf(format, args...)}
}

// callFailed converts the error of a call to a daemon into the command's error.
// The exit code is ExitUnknown unless the call is known not to have been carried
// out.
func callFailed(err error) error {
	var failed *adminapi.CallError
	if !errors.As(err, &failed) || failed.Outcome != port.OutcomeNotDone {
		return &Error{
			Code:  ExitUnknown,
			Text:  "unknown: it may have been done; see `guavarill status`, or send it again, which changes nothing if it was",
			Cause: err,
		}
	}
	var answer *adminapi.ResponseError
	if !errors.As(err, &answer) {
		return &Error{Code: ExitNotMade, Text: "not made: no daemon could be reached", Cause: err}
	}
	switch answer.Problem.Kind {
	case adminapi.BadQuery, adminapi.BadBody:
		return &Error{Code: ExitRefused, Text: "refused", Cause: err}
	case adminapi.Unavailable:
		return &Error{Code: ExitNotMade, Text: "not made", Cause: err}
	}
	return &Error{Code: ExitFailed, Text: "failed", Cause: err}
}

// exit prints the error or the help text, if any, and returns the exit code.
func (a *app) exit(err error) ExitCode {
	var wrong *flags.Error
	var ended *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, wrong.Message)
		return ExitOK
	case errors.As(err, &wrong):
		fmt.Fprintln(a.errOut, wrong.Message)
		return ExitUsage
	case errors.As(err, &ended):
		fmt.Fprintln(a.errOut, ended.Error())
		return ended.Code
	}
	fmt.Fprintln(a.errOut, err.Error())
	return ExitFailed
}
