package cli

import (
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/demo"
	"github.com/guavarill/guavarill/standin/site"
)

// deploymentOptions selects the sample deployment that demo and standin run.
type deploymentOptions struct {
	Deployment string `long:"deployment" default:"agency" choice:"agency" choice:"pindan" description:"which sample site"`
}

func (o deploymentOptions) find() (demo.Deployment, error) {
	d, known := demo.Find(o.Deployment)
	if !known {
		return d, usage("no such deployment: %s", o.Deployment)
	}
	return d, nil
}

type demoCommand struct {
	app *app
	deploymentOptions
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
	if err := c.print(report); err != nil {
		return err
	}
	return c.runJob()
}

// runJob runs the demo of a job that a caller submits, and prints its report.
func (c *demoCommand) runJob() error {
	fmt.Fprintln(c.app.out)
	report, err := demo.RunJob(c.app.ctx, c.app.out)
	if err != nil {
		return &Error{Code: ExitFailed, Text: "demo", Cause: err}
	}
	report.Write(c.app.out)
	if !report.OK() {
		return &Error{Code: ExitFailed, Text: "the job did not run as it should"}
	}
	return nil
}

func (c *demoCommand) print(report *demo.Report) error {
	report.Write(c.app.out)
	if c.Timeline {
		if err := timeline.Format(c.app.out, report.Events); err != nil {
			return err
		}
	}
	if !report.OK() {
		return &Error{Code: ExitFailed, Text: "promises were broken"}
	}
	_, err := fmt.Fprintln(c.app.out, "\nnothing lost, doubled or overcommitted")
	return err
}

type standinCommand struct {
	app *app
	deploymentOptions
	Entries []string `long:"entry" description:"ID,ZONE,IP:PORT of a daemon's VM to list, with its --id, --zone and --peer-address; may be given several times"`
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	deployment, err := c.find()
	if err != nil {
		return err
	}
	entries, err := parseEntries(c.Entries)
	if err != nil {
		return err
	}
	s, err := site.Start(deployment.Site)
	if err != nil {
		return &Error{Code: ExitFailed, Text: "stand-in platform", Cause: err}
	}
	defer s.Close()
	for _, e := range entries {
		s.AddEntry(e.id, e.zone, e.address)
	}
	fmt.Fprintf(c.app.out, "--cluster %s --store %s --vm-list %s\n", deployment.Name, s.StoreAddress(), s.VMListURL())
	<-c.app.ctx.Done()
	return nil
}

// entry is a daemon's VM on the stand-in's VM list. Daemons find each other
// through that list, so a daemon that is not listed is not found.
type entry struct {
	id      string
	zone    model.Zone
	address string
}

// parseEntries parses the values of --entry, each ID,ZONE,IP:PORT.
func parseEntries(texts []string) ([]entry, error) {
	var entries []entry
	for _, text := range texts {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return nil, usage("--entry %q is not ID,ZONE,IP:PORT", text)
		}
		if _, _, err := net.SplitHostPort(parts[2]); err != nil {
			return nil, usage("--entry %q is not ID,ZONE,IP:PORT: %v", text, err)
		}
		entries = append(entries, entry{id: parts[0], zone: model.Zone(parts[1]), address: parts[2]})
	}
	return entries, nil
}
