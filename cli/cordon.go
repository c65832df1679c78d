package cli

import (
	"context"
	"text/tabwriter"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/daemon"
)

type cordonCommand struct {
	app  *app
	Args struct {
		Zone string `positional-arg-name:"ZONE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *cordonCommand) Execute([]string) error {
	if c.Args.Zone == "" {
		return c.list()
	}
	return c.app.changeCordon(func(ctx context.Context, client *adminapi.Client) (adminapi.ChangeResult, error) {
		return client.Cordon(ctx, model.Zone(c.Args.Zone))
	})
}

// cordonRow is one cordoned zone as a daemon knows it, in the JSON output of cordon.
type cordonRow struct {
	Daemon   model.DaemonID `json:"daemon"`
	Zone     model.Zone     `json:"availabilityZone"`
	Revision int64          `json:"storeRevision"`
}

// list shows the cordons that each daemon with shards goes by.
func (c *cordonCommand) list() error {
	statuses, missing, err := askAll(c.app, c.app.clients(), func(ctx context.Context, client *adminapi.Client) (daemon.Status, error) {
		return client.Status(ctx)
	})
	if err != nil {
		return err
	}
	rows := []cordonRow{}
	for _, st := range statuses {
		for _, zone := range st.Cordons.Names() {
			rows = append(rows, cordonRow{Daemon: st.Daemon, Zone: zone, Revision: st.Cordons[zone]})
		}
	}
	err = c.app.print(rows, func(w *tabwriter.Writer) {
		row(w, "DAEMON", "CORDONED ZONE", "STORE REVISION")
		for _, r := range rows {
			row(w, r.Daemon, r.Zone, r.Revision)
		}
	})
	if err != nil {
		return err
	}
	return missing.incomplete()
}

type uncordonCommand struct {
	app  *app
	Args struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *uncordonCommand) Execute([]string) error {
	return c.app.changeCordon(func(ctx context.Context, client *adminapi.Client) (adminapi.ChangeResult, error) {
		return client.LiftCordon(ctx, model.Zone(c.Args.Zone))
	})
}

// changeCordon sends a change of a cordon and prints its outcome.
func (a *app) changeCordon(send func(context.Context, *adminapi.Client) (adminapi.ChangeResult, error)) error {
	result, err := a.change(send)
	if err != nil {
		return err
	}
	return a.finish(result, changeReport{ChangeResult: result})
}

// zoneList returns the names of cordoned zones, for a note.
func zoneList(zones cordon.Zones) []string {
	var names []string
	for _, zone := range zones.Names() {
		names = append(names, string(zone))
	}
	return names
}
