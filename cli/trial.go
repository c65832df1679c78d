package cli

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/demo"
	"github.com/guavarill/guavarill/standin/site"
)

type trialOptions struct {
	Deployment string `long:"deployment" default:"agency" choice:"agency" choice:"pindan" description:"which sample site"`
}

func (o trialOptions) find() (demo.Deployment, error) {
	d, known := demo.Find(o.Deployment)
	if !known {
		return d, &Error{Code: ExitUsage, Text: "no such deployment: " + o.Deployment}
	}
	return d, nil
}

type demoCommand struct {
	app *app
	trialOptions
	Serve    bool `long:"serve" description:"keep the deployment up, to be tried by hand, until interrupted"`
	Timeline bool `long:"timeline" description:"print the time line of all daemons after the report"`
	Verbose  bool `long:"verbose" description:"print the daemons' logs"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	deployment, err := c.find()
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if c.Verbose {
		log.SetOutput(c.app.errOut)
	}
	report, err := demo.Run(c.app.ctx, demo.Options{
		Deployment: deployment, Out: c.app.out, Log: log, Serve: c.Serve,
	})
	if err != nil {
		return &Error{Code: ExitFailed, Text: "demo", Cause: err}
	}
	if report == nil {
		return nil
	}
	report.Write(c.app.out)
	if c.Timeline {
		if err := timeline.Format(c.app.out, report.Events); err != nil {
			return err
		}
	}
	if !report.OK() {
		return &Error{Code: ExitFailed, Text: "promises were broken"}
	}
	fmt.Fprintln(c.app.out, "\nnothing lost, doubled or overcommitted")
	return nil
}

type standinCommand struct {
	app *app
	trialOptions
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	deployment, err := c.find()
	if err != nil {
		return err
	}
	s, err := site.Start(deployment.Site)
	if err != nil {
		return &Error{Code: ExitFailed, Text: "stand-in platform", Cause: err}
	}
	defer s.Close()
	fmt.Fprintf(c.app.out, "--cluster %s --store %s --vm-list %s\n", deployment.Name, s.StoreAddress(), s.VMListURL())
	<-c.app.ctx.Done()
	return nil
}
