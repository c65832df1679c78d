package scheduler

import (
	"cmp"
	"errors"
	"slices"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/placement"
)

// placePending places pending tasks whose NotBefore time has passed, at most
// MaxStartsPerCycle of them.
func (c *cycle) placePending() {
	ready := c.readyTasks()
	if len(ready) == 0 {
		return
	}
	p := &placementPass{
		cycle:   c,
		workers: c.placementSnapshot(),
		usage:   c.teamUsage(),
	}
	c.sortFairly(ready, p.usage)
	for _, t := range ready {
		if p.started >= c.options.MaxStartsPerCycle {
			return
		}
		p.place(t)
	}
}

func (c *cycle) readyTasks() []ledger.Task {
	var ready []ledger.Task
	for _, t := range c.snapshot.Ledger.Pending() {
		if c.touched[t.Key] || t.NotBefore.After(c.snapshot.Now) {
			continue
		}
		if _, current := c.declared(t.Key); current {
			ready = append(ready, t)
		}
	}
	return ready
}

// sortFairly sorts tasks by descending priority. Within a priority the teams
// take turns, starting with the team that has the smallest dominant share, so
// that a team's ten tasks do not wait for the thousand tasks of another team.
func (c *cycle) sortFairly(ready []ledger.Task, usage teamUsage) {
	type rank struct {
		turn int
		held float64
	}
	type group struct {
		priority model.Priority
		team     string
	}
	turns := make(map[group]int)
	ranks := make(map[model.TaskKey]rank, len(ready))
	slices.SortFunc(ready, func(a, b ledger.Task) int { return a.Key.Compare(b.Key) })
	for _, t := range ready {
		g := group{t.Priority, t.Team}
		ranks[t.Key] = rank{turns[g], usage.dominantShare(t.Team)}
		turns[g]++
	}
	slices.SortStableFunc(ready, func(a, b ledger.Task) int {
		ra, rb := ranks[a.Key], ranks[b.Key]
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(ra.turn, rb.turn),
			cmp.Compare(ra.held, rb.held),
			a.Key.Compare(b.Key),
		)
	})
}

// placementPass is the state of placing the pending tasks of one cycle.
type placementPass struct {
	*cycle
	workers   *placement.Snapshot
	usage     teamUsage
	started   int
	preempted int
	// shardRoom is Snapshot.ShardRoom less the resources of the tasks handed
	// off in this cycle. It is nil until the first task is handed off.
	shardRoom map[model.ShardID]model.Resources
}

func (p *placementPass) place(t ledger.Task) {
	w, _ := p.declared(t.Key)
	size := p.snapshot.CommitSize(t.Key.Workload, w.Spec.Size)
	if p.neverFits(t, size) {
		return
	}
	if dimension, over := p.usage.overQuota(p.snapshot, t.Team, size); over {
		p.setPendingReason(t, size, "team quota reached: "+string(dimension))
		return
	}
	request := p.request(t, w, size)
	decision, err := p.snapshot.Placer.Place(p.workers, request)
	if err != nil {
		p.unplaceable(t, size, err)
		return
	}
	if !p.workers.Assume(request, decision.Worker) {
		return
	}
	p.usage.add(t.Team, size)
	p.started++
	p.assign(t, decision.Worker, size)
}

// neverFits reports whether a task is larger than every worker of the cluster,
// and records that as the reason why it is pending. The task stays pending
// because a larger worker may join.
func (p *placementPass) neverFits(t ledger.Task, size model.Resources) bool {
	err := placement.NeverFits(t.Key, size, p.snapshot.LargestCapacities)
	if err == nil {
		return false
	}
	p.setPendingReason(t, size, "no worker is large enough: "+string(err.Dimension))
	return true
}

func (p *placementPass) request(t ledger.Task, w config.AcceptedWorkload, size model.Resources) *placement.Request {
	return &placement.Request{
		Key:           t.Key,
		Workload:      t.Key.Workload,
		Class:         t.Class,
		Team:          t.Team,
		Service:       t.Service,
		Priority:      t.Priority,
		Size:          size,
		Spread:        w.Spec.Spread,
		FailedWorkers: t.FailedWorkers,
		Evictions:     t.Evictions,
	}
}

func (p *placementPass) assign(t ledger.Task, worker model.WorkerID, size model.Resources) {
	t.State = ledger.Assigned
	t.Attempt++
	t.Worker = worker
	t.Size = size
	t.Address = ""
	t.Reason = ""
	t.Resume = false
	p.put(t)
}

// unplaceable handles a task that no worker of the shard can take now: it
// preempts for an urgent task, hands the task off to another shard, or leaves
// it pending with a reason. A task is handed off only if it was unplaceable
// in an earlier cycle too, which shows in its recorded reason.
func (p *placementPass) unplaceable(t ledger.Task, size model.Resources, err error) {
	if t.Priority == model.PriorityUrgent && p.preempt(t, size) {
		return
	}
	if t.Reason != "" && p.handOff(t, size) {
		return
	}
	var full *placement.UnplaceableError
	if errors.As(err, &full) && full.Dimension != "" {
		p.setPendingReason(t, size, "no room now: "+string(full.Dimension))
		return
	}
	p.setPendingReason(t, size, "no worker can take it now")
}

// setPendingReason records why a task stays pending. It writes nothing if the
// reason and the size are unchanged, so that a long queue in a full shard
// causes no writes.
func (p *placementPass) setPendingReason(t ledger.Task, size model.Resources, reason string) {
	if t.Reason == reason && t.Size == size {
		return
	}
	t.Reason = reason
	t.Size = size
	p.put(t)
}

// placementSnapshot returns the shard's workers in the form that the placer
// reads.
func (c *cycle) placementSnapshot() *placement.Snapshot {
	workers := make([]placement.Worker, 0, len(c.snapshot.Workers))
	for i := range c.snapshot.Workers {
		workers = append(workers, c.placementWorker(&c.snapshot.Workers[i]))
	}
	return placement.NewSnapshot(workers, c.snapshot.Predictor)
}

func (c *cycle) placementWorker(w *Worker) placement.Worker {
	committed := c.snapshot.Ledger.Committed(w.VM.ID)
	view := placement.Worker{
		VM:          w.VM,
		Free:        w.VM.Capacity.Sub(committed),
		Committed:   committed,
		Quarantined: w.Quarantined,
		Leaving:     w.Leaving,
		Unreachable: w.Unreachable,
		Cordoned:    w.Cordoned,
		Load:        w.Load,
	}
	for _, t := range c.snapshot.Ledger.OnWorker(w.VM.ID) {
		view.Tasks = append(view.Tasks, placement.Resident{
			Key:         t.Key,
			Class:       t.Class,
			Service:     t.Service,
			Priority:    t.Priority,
			Size:        t.Size,
			LongRunning: c.longRunning(t.Key),
		})
	}
	return view
}

func (c *cycle) longRunning(key model.TaskKey) bool {
	w, current := c.declared(key)
	return current && w.Spec.LongRunning
}
