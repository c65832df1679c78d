// Command guavarilld is the guavarill daemon. It serves callers' requests, schedules
// tasks on workers, and is a member of the cluster of daemons.
//
// SIGTERM or SIGINT begins a planned stop; a second signal terminates the process
// at once.
//
// The exit code is 0 after a planned stop and for --help; 1 after a failure, such as
// a port in use, unreadable TLS files, or a stop that cut off requests; and 2 for
// invalid settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	flags "github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/server"
	"github.com/guavarill/guavarill/settings"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the daemon until it receives a signal or a drain request, or until ctx is
// cancelled, and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	log := logrus.New()
	log.SetOutput(errOut)
	// net/http logs each unsolicited response of a target to the standard logger.
	// Such a connection is counted and closed anyway, so debug level is enough.
	stdlog.SetOutput(log.WriterLevel(logrus.DebugLevel))
	srv, err := start(args, log)
	if err != nil {
		return reportStartError(err, log, out, errOut)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Restore the default signal handling after the first signal, so that a second
	// one terminates the process.
	context.AfterFunc(ctx, stop)
	if err := srv.Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return exitOK
}

// start parses the settings, configures log, and returns a server whose listeners
// are open. The error is a *flags.Error, a *settings.HostNameError, a
// *settings.InvalidError or a *server.StartError.
func start(args []string, log *logrus.Logger) (*server.Server, error) {
	s, err := settings.Parse(args)
	if err != nil {
		return nil, err
	}
	configureLogger(log, s)
	return server.New(s, log)
}

// reportStartError prints help to out, or reports on errOut or log why the daemon cannot
// start, and returns the exit code.
func reportStartError(err error, log *logrus.Logger, out, errOut io.Writer) int {
	var wrong *settings.InvalidError
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, usage.Message)
		return exitSettings
	}
	log.WithError(err).Error("cannot start")
	if errors.As(err, &wrong) {
		return exitSettings
	}
	return exitFailed
}

// configureLogger applies the log format and level of the settings to log.
func configureLogger(log *logrus.Logger, s settings.Daemon) {
	if s.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
}
