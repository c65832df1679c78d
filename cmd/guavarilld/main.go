// Command guavarilld is the guavarill daemon: entry, scheduler and member.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for settings that
// cannot be.
package main

import (
	"context"
	"errors"
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

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	s, err := parse(args)
	if err != nil {
		return exitFor(err)
	}
	log := newLogger(s)
	srv, err := server.New(s, log)
	if err != nil {
		log.WithError(err).Error("cannot start")
		return exitFor(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := srv.Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return exitOK
}

func parse(args []string) (settings.Daemon, error) {
	var s settings.Daemon
	if _, err := flags.NewParser(&s, flags.Default).ParseArgs(args); err != nil {
		return s, err
	}
	if s.ID == "" {
		name, err := os.Hostname()
		if err != nil {
			return s, err
		}
		s.ID = name
	}
	return s, nil
}

func exitFor(err error) int {
	var wrong *settings.InvalidError
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return exitOK
	case errors.As(err, &usage), errors.As(err, &wrong):
		return exitSettings
	}
	return exitFailed
}

func newLogger(s settings.Daemon) *logrus.Logger {
	log := logrus.New()
	if s.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
	return log
}
