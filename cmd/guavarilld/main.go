// Command guavarilld is the guavarill daemon: entry, scheduler and member.
//
// SIGTERM and SIGINT begin a planned stop; a second one ends the process at
// once.
//
// Exit codes: 0 after a planned stop and for --help; 1 after a failure, which
// includes a port in use, TLS files that cannot be read, and a stop in which
// requests were cut off; 2 for settings that cannot be.
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

// run runs the daemon until a signal, a drain or the end of ctx.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	log := logrus.New()
	log.SetOutput(errOut)
	// The HTTP client writes a line for each unasked answer of a target to the
	// standard logger; the connection is counted and closed anyway.
	stdlog.SetOutput(log.WriterLevel(logrus.DebugLevel))
	srv, err := start(args, log)
	if err != nil {
		return report(err, log, out, errOut)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	// From the first signal on, signals have their usual effect again.
	context.AfterFunc(ctx, stop)
	if err := srv.Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return exitOK
}

// start returns a process that listens. An error is a *flags.Error, a
// *settings.HostNameError, a *settings.InvalidError or a *server.StartError.
func start(args []string, log *logrus.Logger) (*server.Server, error) {
	s, err := settings.Parse(args)
	if err != nil {
		return nil, err
	}
	configure(log, s)
	return server.New(s, log)
}

// report says why the daemon does not start and returns the exit code.
func report(err error, log *logrus.Logger, out, errOut io.Writer) int {
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

func configure(log *logrus.Logger, s settings.Daemon) {
	if s.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
}
