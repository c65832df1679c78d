// Command guavarill-platform is the guavarill daemon on the users' platform.
// Its settings are in the file that the variable GUAVARILL_SETTINGS names.
//
// Exit codes: 0 after a planned stop; 1 after a failure; 2 for settings that
// cannot be.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/platform"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	log := logrus.New()
	log.SetOutput(os.Stdout)
	log.SetFormatter(&logrus.JSONFormatter{})
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		log.WithError(err).Error("cannot start")
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := platform.New(settings, log).Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return exitOK
}
