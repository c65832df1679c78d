package settings

import (
	"fmt"
	"os"

	flags "github.com/jessevdk/go-flags"
)

// Parse reads the settings from flags and the environment, without Check. An
// error is a *flags.Error, of type ErrHelp when --help was given, or a
// *HostNameError.
func Parse(args []string) (Daemon, error) {
	var d Daemon
	parser := flags.NewParser(&d, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "guavarilld"
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return d, err
	}
	// Taken in silence, a flag that lost its dashes would leave the daemon
	// with a default that nobody chose.
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

// HostNameError says that the VM's name, which --id defaults to, is not known.
type HostNameError struct{ Cause error }

// Error implements error.
func (e *HostNameError) Error() string { return "host name for --id: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *HostNameError) Unwrap() error { return e.Cause }
