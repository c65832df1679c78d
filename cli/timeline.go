package cli

import (
	"context"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/timeline"
)

type timelineCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	lists, missing, err := askAll(c.app, c.app.clients(), func(ctx context.Context, client *adminapi.Client) ([]timeline.Event, error) {
		return client.Timeline(ctx)
	})
	if err != nil {
		return err
	}
	if err := c.print(timeline.Merge(lists...)); err != nil {
		return err
	}
	return missing.incomplete()
}

func (c *timelineCommand) print(events []timeline.Event) error {
	if c.app.globals.Output == outputJSON {
		return c.app.print(events, nil)
	}
	return timeline.Format(c.app.out, events)
}
