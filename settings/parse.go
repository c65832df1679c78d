package settings

import (
	"fmt"
	"os"

	flags "github.com/jessevdk/go-flags"
)

// Parse reads the settings from args and from environment variables; a flag takes
// precedence over its variable. An empty --id defaults to the host name. Parse does
// not call Check. The error is a *flags.Error, with type ErrHelp if --help was
// given, or a *HostNameError.
func Parse(args []string) (Daemon, error) {
	var d Daemon
	parser := flags.NewParser(&d, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "guavarilld"
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return d, err
	}
	// If positional arguments were ignored, a flag typed without its dashes would
	// silently leave the setting at its default.
	if len(rest) > 0 {
		return d, &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	if d.ID == "" {
		d.ID, err = os.Hostname()
		if err != nil {
			return d, &HostNameError{Cause: err}
		}
	}
	return d, nil
}

// HostNameError reports that the VM's host name, the default of --id, could not
// be read.
type HostNameError struct{ Cause error }

// Error implements error.
func (e *HostNameError) Error() string { return "host name for --id: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *HostNameError) Unwrap() error { return e.Cause }
