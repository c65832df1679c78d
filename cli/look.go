package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
)

type statusCommand struct {
	app     *app
	Workers bool `long:"workers" description:"list the workers too"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	statuses, err := askAll(c.app, func(ctx context.Context, client *adminapi.Client) (daemon.Status, error) {
		return client.Status(ctx)
	})
	if err != nil {
		return err
	}
	return c.app.print(statuses, func(w *tabwriter.Writer) {
		row(w, "DAEMON", "ZONE", "SERVING", "REVISION", "SHARDS", "MEMBERS", "NOTE")
		for _, st := range statuses {
			row(w, st.Daemon, st.Zone, st.Serving, st.Revision, shardList(st), len(st.Members), note(st))
		}
		if c.Workers {
			workerRows(w, statuses)
		}
	})
}

func shardList(st daemon.Status) string {
	var ids []string
	for _, s := range st.Owned {
		ids = append(ids, fmt.Sprint(s.Shard))
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
	if w.Quarantine != "" {
		notes = append(notes, w.Quarantine)
	}
	return strings.Join(notes, "; ")
}

type jobsCommand struct {
	app   *app
	Tasks bool `long:"tasks" description:"list every task"`
}

// job is a workload as its tasks are.
type job struct {
	Workload  string         `json:"workload"`
	Team      string         `json:"team"`
	Service   bool           `json:"service"`
	States    map[string]int `json:"states"`
	Evictions uint32         `json:"evictions"`
	Failures  uint32         `json:"failures"`
	// Reasons counts the tasks by why they wait or ended.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// Execute implements flags.Commander.
func (c *jobsCommand) Execute([]string) error {
	tasks, missing, err := c.app.allTasks()
	if err != nil {
		return err
	}
	if c.Tasks {
		err = c.printTasks(tasks)
	} else {
		err = c.printJobs(tasks)
	}
	if err == nil && len(missing) > 0 {
		return &Error{
			Code: ExitIncomplete,
			Text: fmt.Sprintf("incomplete: no daemon asked owns shards %v; name more with --daemon", missing),
		}
	}
	return err
}

// allTasks returns the tasks of all shards and the shards that no daemon asked
// owns. Records of tasks that live in another shard are left out.
func (a *app) allTasks() ([]daemon.TaskStatus, []int, error) {
	type answer struct {
		status daemon.Status
		tasks  []daemon.TaskStatus
	}
	answers, err := askAll(a, func(ctx context.Context, client *adminapi.Client) (answer, error) {
		st, err := client.Status(ctx)
		if err != nil {
			return answer{}, err
		}
		tasks, err := client.Tasks(ctx)
		return answer{st, tasks}, err
	})
	if err != nil {
		return nil, nil, err
	}
	var tasks []daemon.TaskStatus
	shards, owned := 0, make(map[int]bool)
	for _, an := range answers {
		shards = max(shards, int(an.status.Shards))
		for _, s := range an.status.Owned {
			owned[int(s.Shard)] = true
		}
		for _, t := range an.tasks {
			if t.State != ledger.Moved.String() {
				tasks = append(tasks, t)
			}
		}
	}
	var missing []int
	for i := range shards {
		if !owned[i] {
			missing = append(missing, i)
		}
	}
	slices.SortFunc(tasks, func(x, y daemon.TaskStatus) int { return strings.Compare(x.Task, y.Task) })
	return tasks, missing, nil
}

func (c *jobsCommand) printTasks(tasks []daemon.TaskStatus) error {
	return c.app.print(tasks, func(w *tabwriter.Writer) {
		row(w, "TASK", "STATE", "ATTEMPT", "WORKER", "EVICTIONS", "FAILURES", "REASON")
		for _, t := range tasks {
			row(w, t.Task, t.State, t.Attempt, t.Worker, t.Evictions, t.Failures, t.Reason)
		}
	})
}

func (c *jobsCommand) printJobs(tasks []daemon.TaskStatus) error {
	jobs := jobsOf(tasks)
	return c.app.print(jobs, func(w *tabwriter.Writer) {
		row(w, "WORKLOAD", "TEAM", "KIND", "TASKS", "EVICTIONS", "FAILURES", "REASONS")
		for _, j := range jobs {
			kind := "batch"
			if j.Service {
				kind = "service"
			}
			row(w, j.Workload, j.Team, kind, countList(j.States), j.Evictions, j.Failures, countList(j.Reasons))
		}
	})
}

func jobsOf(tasks []daemon.TaskStatus) []*job {
	byName := make(map[string]*job)
	for _, t := range tasks {
		j := byName[t.Workload]
		if j == nil {
			j = &job{
				Workload: t.Workload, Team: t.Team, Service: t.Service,
				States: make(map[string]int), Reasons: make(map[string]int),
			}
			byName[t.Workload] = j
		}
		j.States[t.State]++
		j.Evictions += t.Evictions
		j.Failures += t.Failures
		if t.Reason != "" {
			j.Reasons[t.Reason]++
		}
	}
	var jobs []*job
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		jobs = append(jobs, byName[name])
	}
	return jobs
}

func countList(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}

type timelineCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	lists, err := askAll(c.app, func(ctx context.Context, client *adminapi.Client) ([]timeline.Event, error) {
		return client.Timeline(ctx)
	})
	if err != nil {
		return err
	}
	events := timeline.Merge(lists...)
	if c.app.globals.Output == outputJSON {
		return c.app.print(events, nil)
	}
	return timeline.Format(c.app.out, events)
}

type drainCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	if len(c.app.globals.Daemons) != 1 {
		return &Error{Code: ExitUsage, Text: "name the one daemon to drain with --daemon"}
	}
	ctx, cancel := c.app.call()
	defer cancel()
	client := c.app.clients()[0]
	if err := client.Drain(ctx); err != nil {
		return &Error{Code: ExitNotMade, Text: "drain", Cause: err}
	}
	fmt.Fprintf(c.app.out, "%s is draining\n", client.Address())
	return nil
}
