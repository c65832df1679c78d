package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"

	"github.com/guavarill/guavarill/adapter/adminapi"
)

// ExitCode is how the command ends.
type ExitCode int

// The exit codes.
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

// Error ends the command with a code.
type Error struct {
	Code  ExitCode
	Text  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Text
	}
	return e.Text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// globals are the options of all commands.
type globals struct {
	Daemons []string      `long:"daemon" env:"GUAVARILL_DAEMONS" env-delim:"," default:"127.0.0.1:8081" description:"host:port of a daemon's operators' interface; may be given several times"`
	Output  string        `long:"output" short:"o" env:"GUAVARILL_OUTPUT" default:"table" choice:"table" choice:"json" description:"form of the output"`
	Timeout time.Duration `long:"timeout" env:"GUAVARILL_TIMEOUT" default:"15s" description:"deadline of one call of a daemon"`
}

// app is one run of the command.
type app struct {
	globals globals
	out     io.Writer
	errOut  io.Writer
	ctx     context.Context
}

// Main runs the command with the given arguments.
func Main(args []string, out, errOut io.Writer) ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	a := &app{out: out, errOut: errOut, ctx: ctx}
	parser := flags.NewParser(&a.globals, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "guavarill"
	a.addCommands(parser)
	_, err := parser.ParseArgs(args)
	return a.exit(err)
}

func (a *app) addCommands(parser *flags.Parser) {
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"apply", "accept a manifest", &applyCommand{app: a}},
		{"validate", "check a manifest without a daemon", &validateCommand{app: a}},
		{"status", "show daemons, shards and workers", &statusCommand{app: a}},
		{"jobs", "show workloads with the state and reason of each", &jobsCommand{app: a}},
		{"cancel", "end workloads", &cancelCommand{app: a}},
		{"timeline", "show the events of all daemons in order", &timelineCommand{app: a}},
		{"drain", "stop one daemon in the planned way", &drainCommand{app: a}},
		{"standin", "run a stand-in platform for trials", &standinCommand{app: a}},
		{"demo", "run a whole deployment on stand-ins", &demoCommand{app: a}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			panic(err)
		}
	}
}

func (a *app) exit(err error) ExitCode {
	var usage *flags.Error
	var ended *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(a.errOut, usage.Message)
		return ExitUsage
	case errors.As(err, &ended):
		fmt.Fprintln(a.errOut, ended.Error())
		return ended.Code
	}
	fmt.Fprintln(a.errOut, err.Error())
	return ExitFailed
}

// call returns the context of one call.
func (a *app) call() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.globals.Timeout)
}

func (a *app) clients() []*adminapi.Client {
	clients := make([]*adminapi.Client, 0, len(a.globals.Daemons))
	for _, address := range a.globals.Daemons {
		clients = append(clients, adminapi.NewClient(address, http.DefaultTransport))
	}
	return clients
}

// askAll asks every daemon and returns the answers of those that answered. It
// fails when none did.
func askAll[T any](a *app, ask func(context.Context, *adminapi.Client) (T, error)) ([]T, error) {
	var answers []T
	var last error
	for _, client := range a.clients() {
		ctx, cancel := a.call()
		answer, err := ask(ctx, client)
		cancel()
		if err != nil {
			last = err
			fmt.Fprintf(a.errOut, "no answer from %s: %v\n", client.Address(), err)
			continue
		}
		answers = append(answers, answer)
	}
	if len(answers) == 0 {
		return nil, &Error{Code: ExitNotMade, Text: "no daemon answered", Cause: last}
	}
	return answers, nil
}
