package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/adapter/jobapi"
)

func (a *app) clients() []*adminapi.Client {
	clients := make([]*adminapi.Client, 0, len(a.globals.Daemons))
	for _, address := range a.globals.Daemons {
		clients = append(clients, adminapi.NewClient(address, http.DefaultTransport))
	}
	return clients
}

// jobClients are the clients of the daemons' interface for jobs.
func (a *app) jobClients() []*jobapi.Client {
	clients := make([]*jobapi.Client, 0, len(a.globals.Daemons))
	for _, address := range a.globals.Daemons {
		clients = append(clients, jobapi.NewClient(address, http.DefaultTransport))
	}
	return clients
}

// daemonClient reaches one daemon.
type daemonClient interface{ Address() string }

func (a *app) noAnswer(client daemonClient, err error) {
	fmt.Fprintf(a.errOut, "no answer from %s: %v\n", client.Address(), err)
}

// silent are the daemons that did not answer.
type silent []string

// incomplete returns the end of a command that showed what the others said.
func (s silent) incomplete() error {
	if len(s) == 0 {
		return nil
	}
	return &Error{Code: ExitIncomplete, Text: "incomplete: no answer from " + strings.Join(s, " ")}
}

// askAll asks every daemon and returns the answers of those that answered. It
// fails when none did.
func askAll[C daemonClient, T any](a *app, clients []C, ask func(context.Context, C) (T, error)) ([]T, silent, error) {
	var answers []T
	var missing silent
	var last error
	for _, client := range clients {
		answer, err := askOne(a, client, ask)
		if err != nil {
			last = err
			missing = append(missing, client.Address())
			a.noAnswer(client, err)
			continue
		}
		answers = append(answers, answer)
	}
	if len(answers) == 0 {
		return nil, nil, &Error{Code: ExitNotMade, Text: "no daemon answered", Cause: last}
	}
	return answers, missing, nil
}

// askAny returns the first answer of any daemon.
func askAny[T any](a *app, ask func(context.Context, *adminapi.Client) (T, error)) (T, error) {
	var answer T
	var err error
	for _, client := range a.clients() {
		answer, err = askOne(a, client, ask)
		if err == nil {
			break
		}
	}
	return answer, err
}

func askOne[C daemonClient, T any](a *app, client C, ask func(context.Context, C) (T, error)) (T, error) {
	ctx, cancel := a.call()
	defer cancel()
	return ask(ctx, client)
}
