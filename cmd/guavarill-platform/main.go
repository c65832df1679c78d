// Command guavarill-platform is the guavarill daemon on the users' platform. It
// reads the platform's settings from the file that the environment variable
// GUAVARILL_SETTINGS names. Guavarill's own settings are flags.
//
// SIGTERM and SIGINT start a planned stop; SIGHUP reloads the settings file.
//
// Exit codes: 0 after a planned stop and for --help; 1 after a failure; 2 for
// invalid settings or flags.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/adapter/logsink"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/platform"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// logCloseTimeout bounds the time to write the last log lines at exit.
const logCloseTimeout = 300 * time.Millisecond

// recentLogBytes bounds the log lines that are kept in memory. It holds the lines of ten
// seconds of a busy leader, or of hours of another daemon, and is a thirtieth of the
// memory that the process may use.
const recentLogBytes = 1 << 20

// options contains guavarill's own settings.
type options struct {
	MetricsPort int    `long:"metrics-port" env:"GUAVARILL_METRICS_PORT" default:"0" description:"port for metrics; 0 serves none"`
	APIPort     int    `long:"api-port" env:"GUAVARILL_API_PORT" default:"0" description:"port for guavarill's own interface for jobs; 0 serves none"`
	LogLevel    string `long:"log-level" env:"GUAVARILL_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"least level of log lines"`

	Policies policyOptions `group:"Decisions under load"`
}

// policyOptions switches on the policies of jobsched.Policies.
type policyOptions struct {
	RejectHopeless bool `long:"reject-hopeless-jobs" env:"GUAVARILL_REJECT_HOPELESS_JOBS" description:"reject jobs that by the forecast cannot be served while they are of use"`
	ShareRoom      bool `long:"share-room" env:"GUAVARILL_SHARE_ROOM" description:"divide room among queues that want more than there is"`
	WorkerSpeeds   bool `long:"worker-speeds" env:"GUAVARILL_WORKER_SPEEDS" description:"place and move tasks by the learned speed of workers"`
	CopyStragglers bool `long:"copy-stragglers" env:"GUAVARILL_COPY_STRAGGLERS" description:"start second attempts of slow tasks of steps that allow them"`
}

// maxPort is the highest TCP port.
const maxPort = 65535

// validate returns a *platform.SettingsError for the first flag whose value is not
// allowed.
func (o options) validate() error {
	ports := []struct {
		flag string
		port int
	}{{"--metrics-port", o.MetricsPort}, {"--api-port", o.APIPort}}
	for _, p := range ports {
		if p.port < 0 || p.port > maxPort {
			return &platform.SettingsError{Field: p.flag, Value: strconv.Itoa(p.port), Reason: "must be 0 to 65535"}
		}
	}
	if o.APIPort != 0 && o.APIPort == o.MetricsPort {
		return &platform.SettingsError{Field: "--api-port", Value: strconv.Itoa(o.APIPort), Reason: "must differ from --metrics-port"}
	}
	return nil
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		return reportFlagError(err)
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close(logCloseTimeout)
	recent := logsink.NewRecent(recentLogBytes)
	log := newLogger(io.MultiWriter(sink, recent), o)
	path := os.Getenv(platform.SettingsEnv)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		log.WithError(err).Error("cannot start")
		return exitSettings
	}
	if err := o.validate(); err != nil {
		log.WithError(err).Error("cannot start")
		return exitSettings
	}
	log.AddHook(logsink.DaemonField(settings.NodeName))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	daemon := platform.New(settings, jobsched.Policies(o.Policies), log)
	go platform.WatchSettings(ctx, path, reloads, log, daemon.Reload)
	o.startServers(daemon, settings.IP, recent)
	if err := daemon.Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return exitOK
}

// startServers starts a server for each port that is set.
func (o options) startServers(daemon *platform.Daemon, ip string, recent *logsink.Recent) {
	if o.MetricsPort != 0 {
		mux := http.NewServeMux()
		mux.Handle("/metrics", daemon.MetricsHandler())
		mux.Handle("/metrics/brief", daemon.BriefMetricsHandler())
		go daemon.ServeOperators("metrics", address(ip, o.MetricsPort), mux)
	}
	if o.APIPort != 0 {
		go daemon.ServeOperators("job api", address(ip, o.APIPort), daemon.JobAPI(recent.Lines))
	}
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// reportFlagError prints the help text or the error of the flags, and returns the exit
// code.
func reportFlagError(err error) int {
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Println(wrong.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitSettings
}

// newLogger returns a logger with the level of the flags.
func newLogger(out io.Writer, o options) *logrus.Logger {
	log := logsink.NewLogger(out)
	if level, err := logrus.ParseLevel(o.LogLevel); err == nil {
		log.SetLevel(level)
	}
	return log
}
