package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/adapter/jobapi"
)

// clients returns a client of each daemon's operators' interface, in the order
// of --daemon.
func (a *app) clients() []*adminapi.Client {
	clients := make([]*adminapi.Client, 0, len(a.globals.Daemons))
	for _, address := range a.globals.Daemons {
		clients = append(clients, adminapi.NewClient(address, http.DefaultTransport))
	}
	return clients
}

// jobClients returns a client of each daemon's interface for jobs, in the order
// of --daemon.
func (a *app) jobClients() []*jobapi.Client {
	clients := make([]*jobapi.Client, 0, len(a.globals.Daemons))
	for _, address := range a.globals.Daemons {
		clients = append(clients, jobapi.NewClient(address, http.DefaultTransport))
	}
	return clients
}

// daemonClient is a client of one daemon, for either interface.
type daemonClient interface{ Address() string }

// reportUnreachable reports on standard error that a call to a daemon failed.
func (a *app) reportUnreachable(client daemonClient, err error) {
	fmt.Fprintf(a.errOut, "no answer from %s: %v\n", client.Address(), err)
}

// unreachableDaemons lists the addresses of the daemons whose calls failed.
type unreachableDaemons []string

// incomplete returns an error with ExitIncomplete if any daemon did not respond,
// and nil otherwise. The command has printed the responses of the others.
func (s unreachableDaemons) incomplete() error {
	if len(s) == 0 {
		return nil
	}
	return &Error{Code: ExitIncomplete, Text: "incomplete: no answer from " + strings.Join(s, " ")}
}

// askAll calls every daemon in turn and returns the successful responses and the
// daemons whose calls failed. It returns an error with ExitNotMade if all calls
// failed.
func askAll[C daemonClient, T any](a *app, clients []C, ask func(context.Context, C) (T, error)) ([]T, unreachableDaemons, error) {
	var responses []T
	var missing unreachableDaemons
	var last error
	for _, client := range clients {
		response, err := askOne(a, client, ask)
		if err != nil {
			last = err
			missing = append(missing, client.Address())
			a.reportUnreachable(client, err)
			continue
		}
		responses = append(responses, response)
	}
	if len(responses) == 0 {
		return nil, nil, &Error{Code: ExitNotMade, Text: "no daemon answered", Cause: last}
	}
	return responses, missing, nil
}

// askAny calls the daemons in turn until one call succeeds and returns its
// response, or the error of the last call if all failed.
func askAny[T any](a *app, ask func(context.Context, *adminapi.Client) (T, error)) (T, error) {
	var response T
	var err error
	for _, client := range a.clients() {
		response, err = askOne(a, client, ask)
		if err == nil {
			break
		}
	}
	return response, err
}

// askOne calls one daemon with the deadline of --timeout.
func askOne[C daemonClient, T any](a *app, client C, ask func(context.Context, C) (T, error)) (T, error) {
	ctx, cancel := a.callContext()
	defer cancel()
	return ask(ctx, client)
}
