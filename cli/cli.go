package cli

import (
	"context"
	"io"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"

	"github.com/guavarill/guavarill/adapter/endpoint"
)

// globals holds the options that all commands share.
type globals struct {
	Daemons []string      `long:"daemon" env:"GUAVARILL_DAEMONS" env-delim:"," default:"127.0.0.1:8081" description:"host:port of a daemon's operators' interface; may be given several times"`
	Output  string        `long:"output" short:"o" env:"GUAVARILL_OUTPUT" default:"table" choice:"table" choice:"json" description:"form of the output"`
	Timeout time.Duration `long:"timeout" env:"GUAVARILL_TIMEOUT" default:"15s" description:"deadline of one call of a daemon"`
}

func (g *globals) check() error {
	if g.Timeout <= 0 {
		return usage("--timeout %s must be above 0", g.Timeout)
	}
	for _, address := range g.Daemons {
		if u, err := url.Parse(endpoint.URL(address)); err != nil || u.Host == "" {
			return usage("--daemon %q is not host:port", address)
		}
	}
	return nil
}

// app holds the state of one invocation of the command-line tool.
type app struct {
	globals globals
	out     io.Writer
	errOut  io.Writer
	ctx     context.Context
}

// Main parses args, runs the command that they name and returns its exit code.
// SIGINT and SIGTERM cancel the command's context.
func Main(args []string, out, errOut io.Writer) ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	a := &app{out: out, errOut: errOut, ctx: ctx}
	parser := flags.NewParser(&a.globals, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "guavarill"
	parser.LongDescription = "Drives guavarill. Each command's --help lists its exit codes."
	parser.CommandHandler = a.execute
	a.addCommands(parser)
	_, err := parser.ParseArgs(args)
	return a.exit(err)
}

// execute checks the global options and runs a parsed command. Positional
// arguments that the command does not declare are a usage error.
func (a *app) execute(command flags.Commander, rest []string) error {
	if len(rest) > 0 {
		return usage("unexpected argument %q", rest[0])
	}
	if err := a.globals.check(); err != nil {
		return err
	}
	return command.Execute(nil)
}

// callContext returns the context of one call to a daemon, with --timeout as its
// deadline.
func (a *app) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.globals.Timeout)
}
