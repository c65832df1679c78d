package cli

import (
	"context"
	"fmt"

	"github.com/guavarill/guavarill/adapter/adminapi"
)

type drainCommand struct{ app *app }

// drainReport is the JSON output of drain.
type drainReport struct {
	Daemon   string `json:"daemon"`
	Draining bool   `json:"draining"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	clients := c.app.clients()
	if len(clients) != 1 {
		return usage("name the one daemon to drain with --daemon")
	}
	_, err := askOne(c.app, clients[0], func(ctx context.Context, client *adminapi.Client) (any, error) {
		return nil, client.Drain(ctx)
	})
	if err != nil {
		return callFailed(err)
	}
	address := clients[0].Address()
	if c.app.globals.Output == outputJSON {
		return c.app.print(drainReport{Daemon: address, Draining: true}, nil)
	}
	_, err = fmt.Fprintf(c.app.out, "%s is draining\n", address)
	return err
}
