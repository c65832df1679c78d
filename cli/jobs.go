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
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/daemon"
)

type jobsCommand struct {
	app   *app
	Tasks bool `long:"tasks" description:"list every task"`
}

// workload summarizes the tasks of a declared workload.
type workload struct {
	Workload  string         `json:"workload"`
	Team      string         `json:"team"`
	Service   bool           `json:"service"`
	States    map[string]int `json:"states"`
	Evictions uint32         `json:"evictions"`
	Failures  uint32         `json:"failures"`
	// Reasons counts the tasks by the reason why they are pending or ended.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// Execute implements flags.Commander.
func (c *jobsCommand) Execute([]string) error {
	responses, missing, err := askAll(c.app, c.app.clients(), askTasks)
	if err != nil {
		return err
	}
	all := collect(responses)
	if err := c.print(all.tasks); err != nil {
		return err
	}
	if err := missing.incomplete(); err != nil {
		return err
	}
	return all.incomplete()
}

func (c *jobsCommand) print(tasks []daemon.TaskStatus) error {
	if c.Tasks {
		return c.app.print(tasks, func(w *tabwriter.Writer) { taskRows(w, tasks) })
	}
	jobs := jobsOf(tasks)
	return c.app.print(jobs, func(w *tabwriter.Writer) { jobRows(w, jobs) })
}

// tasksResponse holds the tasks that one daemon returned for its shards, and the
// daemon's status before and after that call, which tells the shards it owned.
type tasksResponse struct {
	before, after daemon.Status
	tasks         []daemon.TaskStatus
}

func askTasks(ctx context.Context, client *adminapi.Client) (tasksResponse, error) {
	var response tasksResponse
	var err error
	if response.before, err = client.Status(ctx); err != nil {
		return response, err
	}
	if response.tasks, err = client.Tasks(ctx); err != nil {
		return response, err
	}
	response.after, err = client.Status(ctx)
	return response, err
}

// steady returns the shards, with their epochs, that the daemon owned with the
// ledger loaded both before and after it returned its tasks. The tasks of a shard
// that was released, taken over or still being loaded in between may be missing
// from the response, so counting that shard would make an incomplete list look
// complete.
func (t tasksResponse) steady() map[model.ShardID]model.Epoch {
	owned := make(map[model.ShardID]model.Epoch)
	for _, s := range t.before.Owned {
		if s.Loaded {
			owned[s.Shard] = s.Epoch
		}
	}
	steady := make(map[model.ShardID]model.Epoch)
	for _, s := range t.after.Owned {
		if epoch, before := owned[s.Shard]; before && epoch == s.Epoch {
			steady[s.Shard] = s.Epoch
		}
	}
	return steady
}

// collected holds the tasks of all shards that the queried daemons own, the
// cluster's number of shards, and the shards without an owner among them.
type collected struct {
	tasks   []daemon.TaskStatus
	shards  uint32
	missing []model.ShardID
}

// collect merges the responses of the daemons. If two daemons report the same
// shard, the one with the higher epoch owns it, and the other's tasks of that
// shard are ignored.
func collect(responses []tasksResponse) collected {
	all := collected{}
	owner := make(map[model.ShardID]int)
	epochs := make(map[model.ShardID]model.Epoch)
	for i, response := range responses {
		all.shards = max(all.shards, response.after.Shards)
		for shard, epoch := range response.steady() {
			if epoch > epochs[shard] {
				owner[shard], epochs[shard] = i, epoch
			}
		}
	}
	for i, response := range responses {
		for _, t := range response.tasks {
			if o, owned := owner[t.Shard]; owned && o == i {
				all.tasks = append(all.tasks, t)
			}
		}
	}
	for shard := range model.ShardID(all.shards) {
		if _, owned := owner[shard]; !owned {
			all.missing = append(all.missing, shard)
		}
	}
	all.tasks = oncePerTask(all.tasks)
	return all
}

// oncePerTask returns one record of each task, sorted by name. A shard that moved
// a task to another shard keeps a record in the state "moved". That record is
// dropped if another shard has a record of the task. Until the other shard has
// accepted the task, the moved record is the only one, and without it the task
// would look lost.
func oncePerTask(records []daemon.TaskStatus) []daemon.TaskStatus {
	byTask := make(map[string]daemon.TaskStatus, len(records))
	for _, t := range records {
		if known, ok := byTask[t.Task]; !ok || known.State == ledger.Moved.String() {
			byTask[t.Task] = t
		}
	}
	tasks := make([]daemon.TaskStatus, 0, len(byTask))
	for _, name := range slices.Sorted(maps.Keys(byTask)) {
		tasks = append(tasks, byTask[name])
	}
	return tasks
}

// incomplete returns an error with ExitIncomplete if the number of shards is not
// known or some shard has no owner among the queried daemons.
func (c collected) incomplete() error {
	switch {
	case c.shards == 0:
		return &Error{Code: ExitIncomplete, Text: "incomplete: no daemon asked knows the cluster's shards yet"}
	case len(c.missing) > 0:
		text := fmt.Sprintf("incomplete: no daemon asked owns shards %v; name more with --daemon", c.missing)
		return &Error{Code: ExitIncomplete, Text: text}
	}
	return nil
}

func taskRows(w *tabwriter.Writer, tasks []daemon.TaskStatus) {
	row(w, "TASK", "STATE", "ATTEMPT", "WORKER", "EVICTIONS", "FAILURES", "REASON")
	for _, t := range tasks {
		row(w, t.Task, t.State, t.Attempt, t.Worker, t.Evictions, t.Failures, t.Reason)
	}
}

func jobRows(w *tabwriter.Writer, jobs []*workload) {
	row(w, "WORKLOAD", "TEAM", "KIND", "TASKS", "EVICTIONS", "FAILURES", "REASONS")
	for _, j := range jobs {
		kind := model.KindBatch
		if j.Service {
			kind = model.KindService
		}
		row(w, j.Workload, j.Team, kind, countList(j.States), j.Evictions, j.Failures, countList(j.Reasons))
	}
}

func jobsOf(tasks []daemon.TaskStatus) []*workload {
	byName := make(map[string]*workload)
	for _, t := range tasks {
		j := byName[t.Workload]
		if j == nil {
			j = &workload{
				Workload: t.Workload, Team: t.Team, Service: t.Service,
				States: make(map[string]int), Reasons: make(map[string]int),
			}
			byName[t.Workload] = j
		}
		j.add(t)
	}
	jobs := []*workload{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		jobs = append(jobs, byName[name])
	}
	return jobs
}

func (j *workload) add(t daemon.TaskStatus) {
	j.States[t.State]++
	j.Evictions += t.Evictions
	j.Failures += t.Failures
	if t.Reason != "" {
		j.Reasons[t.Reason]++
	}
}

func countList(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}
