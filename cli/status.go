package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/daemon"
)

type statusCommand struct {
	app     *app
	Workers bool `long:"workers" description:"list the workers too"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	statuses, missing, err := askAll(c.app, c.app.clients(), func(ctx context.Context, client *adminapi.Client) (daemon.Status, error) {
		return client.Status(ctx)
	})
	if err != nil {
		return err
	}
	err = c.app.print(statuses, func(w *tabwriter.Writer) {
		daemonRows(w, statuses)
		if c.Workers {
			workerRows(w, statuses)
		}
	})
	if err != nil {
		return err
	}
	return missing.incomplete()
}

func daemonRows(w *tabwriter.Writer, statuses []daemon.Status) {
	row(w, "DAEMON", "ZONE", "SERVING", "REVISION", "SHARDS", "MEMBERS", "NOTE")
	for _, st := range statuses {
		row(w, st.Daemon, st.Zone, st.Serving, st.Revision, shardList(st), len(st.Members), note(st))
	}
}

func shardList(st daemon.Status) string {
	var ids []string
	for _, s := range st.Owned {
		ids = append(ids, fmt.Sprint(s.Shard))
	}
	if len(ids) == 0 {
		ids = append(ids, "none")
	}
	return fmt.Sprintf("%s of %d", strings.Join(ids, ","), st.Shards)
}

func note(st daemon.Status) string {
	var notes []string
	if st.Reason != "" {
		notes = append(notes, st.Reason)
	}
	if st.Draining {
		notes = append(notes, "draining")
	}
	if zones := zoneList(st.Cordons); len(zones) > 0 {
		notes = append(notes, "cordoned zones: "+strings.Join(zones, ","))
	}
	if st.StoreSilent {
		notes = append(notes, "store silent")
	}
	return strings.Join(notes, "; ")
}

func workerRows(w *tabwriter.Writer, statuses []daemon.Status) {
	row(w)
	row(w, "WORKER", "SHARD", "COMMITTED", "CAPACITY", "TASKS", "NOTE")
	for _, st := range statuses {
		for _, s := range st.Owned {
			for _, worker := range s.Workers {
				row(w, worker.ID, s.Shard, worker.Committed, worker.Capacity, worker.Tasks, workerNote(worker))
			}
		}
	}
}

func workerNote(w daemon.WorkerStatus) string {
	var notes []string
	if w.Leaving {
		notes = append(notes, "leaving")
	}
	if w.Unreachable {
		notes = append(notes, "unreachable")
	}
	if w.Cordoned {
		notes = append(notes, "zone cordoned")
	}
	if w.Quarantine != "" {
		notes = append(notes, w.Quarantine)
	}
	return strings.Join(notes, "; ")
}
