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

// placePending places the pending tasks whose time has come.
func (c *cycle) placePending() {
	ready := c.readyTasks()
	if len(ready) == 0 {
		return
	}
	p := &placing{
		cycle:    c,
		snapshot: c.placementSnapshot(),
		usage:    c.teamUsage(),
	}
	c.sortFairly(ready, p.usage)
	for _, t := range ready {
		if p.started >= c.o.MaxStartsPerCycle {
			return
		}
		p.place(t)
	}
}

func (c *cycle) readyTasks() []ledger.Task {
	var ready []ledger.Task
	for _, t := range c.s.Ledger.Pending() {
		if c.touched[t.Key] || t.NotBefore.After(c.s.Now) {
			continue
		}
		if _, current := c.declared(t.Key); current {
			ready = append(ready, t)
		}
	}
	return ready
}

// sortFairly puts higher priorities first, and within one priority takes turns
// among the teams, beginning with the team that holds least: a team that sends
// a thousand tasks does not keep another's ten waiting behind them.
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

// placing is the state of placing one cycle's pending tasks.
type placing struct {
	*cycle
	snapshot  *placement.Snapshot
	usage     teamUsage
	started   int
	preempted int
	// shardRoom is what is left of Snapshot.ShardRoom; nil until needed.
	shardRoom map[model.ShardID]model.Resources
}

func (p *placing) place(t ledger.Task) {
	w, _ := p.declared(t.Key)
	size := p.s.CommitSize(t.Key.Workload, w.Spec.Size)
	if p.neverFits(t, size) {
		return
	}
	if dimension, over := p.usage.overQuota(p.s, t.Team, size); over {
		p.wait(t, size, "team quota reached: "+string(dimension))
		return
	}
	request := p.request(t, w, size)
	decision, err := p.s.Placer.Place(p.snapshot, request)
	if err != nil {
		p.unplaceable(t, size, err)
		return
	}
	if !p.snapshot.Assume(request, decision.Worker) {
		return
	}
	p.usage.add(t.Team, size)
	p.started++
	p.assign(t, decision.Worker, size)
}

// neverFits reports at once a task that no worker of the cluster could hold.
// It stays pending, since a larger worker may come; only the reason is
// recorded.
func (p *placing) neverFits(t ledger.Task, size model.Resources) bool {
	err := placement.NeverFits(t.Key, size, p.s.LargestCapacities)
	if err == nil {
		return false
	}
	p.wait(t, size, "no worker is large enough: "+string(err.Dimension))
	return true
}

func (p *placing) request(t ledger.Task, w config.AcceptedWorkload, size model.Resources) *placement.Request {
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

func (p *placing) assign(t ledger.Task, worker model.WorkerID, size model.Resources) {
	t.State = ledger.Assigned
	t.Attempt++
	t.Worker = worker
	t.Size = size
	t.Address = ""
	t.Reason = ""
	t.Resume = false
	p.put(t)
}

// unplaceable deals with a task that finds no room. It is handed on only once
// it has waited here for a cycle, which is what its recorded reason tells.
func (p *placing) unplaceable(t ledger.Task, size model.Resources, err error) {
	if t.Priority == model.PriorityUrgent && p.preempt(t, size) {
		return
	}
	if t.Reason != "" && p.handOff(t, size) {
		return
	}
	var full *placement.UnplaceableError
	if errors.As(err, &full) && full.Dimension != "" {
		p.wait(t, size, "no room now: "+string(full.Dimension))
		return
	}
	p.wait(t, size, "no worker can take it now")
}

// wait records why a task does not start. The record changes only with the
// reason, so that a long queue behind a full shard costs no writes.
func (p *placing) wait(t ledger.Task, size model.Resources, reason string) {
	if t.Reason == reason && t.Size == size {
		return
	}
	t.Reason = reason
	t.Size = size
	p.put(t)
}

// placementSnapshot describes the shard's workers to the placer.
func (c *cycle) placementSnapshot() *placement.Snapshot {
	workers := make([]placement.Worker, 0, len(c.s.Workers))
	for i := range c.s.Workers {
		workers = append(workers, c.placementWorker(&c.s.Workers[i]))
	}
	return placement.NewSnapshot(workers, c.s.Predictor)
}

func (c *cycle) placementWorker(w *Worker) placement.Worker {
	committed := c.s.Ledger.Committed(w.VM.ID)
	view := placement.Worker{
		VM:          w.VM,
		Free:        w.VM.Capacity.Sub(committed),
		Committed:   committed,
		Quarantined: w.Quarantined,
		Leaving:     w.Leaving,
		Unreachable: w.Unreachable,
		Load:        w.Load,
	}
	for _, t := range c.s.Ledger.OnWorker(w.VM.ID) {
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
