package workersession_test

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

// epochTime is the start of the virtual time.
var epochTime = time.Date(2026, 3, 7, 8, 0, 0, 0, time.UTC)

// The dimensions of a world. The rate of the agents' clocks differs from true time by
// clockError, so a lease can end that much later than its owner computes. The margin
// covers this and the length of a step.
const (
	worldStep    = 100 * time.Millisecond
	worldLength  = 60 * time.Second
	worldQuiet   = 25 * time.Second // without faults, at the end
	storeLease   = 2 * time.Second
	worldGrace   = 4 * time.Second
	clockError   = 0.08
	worldTasks   = 3
	worldWorkers = 2
	maxDelay     = 8 * time.Second
)

func worldOptions() workersession.Options {
	return workersession.Options{
		Lease:       4 * time.Second,
		Margin:      500 * time.Millisecond,
		RenewEvery:  800 * time.Millisecond,
		OutageGrace: worldGrace,
		CallTimeout: 500 * time.Millisecond,
	}
}

// faultKind is the kind of a fault in a world.
type faultKind int

const (
	pauseOwner    faultKind = iota // the owner is paused; its lease may lapse and another host takes over
	outageOwner                    // the owner and two more hosts lose the store, which serves the others
	outageAll                      // no host reaches the store
	flapHost                       // host Target loses the store for an eighth of the time
	splitHosts                     // hosts with and without the store do not reach each other
	restartAgent                   // the agent on Target restarts and loses its tasks
	cutAgent                       // Target is partitioned from all owners
	cutSuccessors                  // Target is partitioned from all later owners
	evictTask                      // the owner evicts task Target
	releaseOwner                   // the owner releases the shard voluntarily
	dropTask                       // as evictTask, without a checkpoint
	faultKinds
)

// fault is one fault and when it happens, relative to the start of the world.
type fault struct {
	Kind   faultKind
	Target int
	At     time.Duration
	For    time.Duration
}

// scaledClock is a clock that runs at rate times the speed of the virtual time.
type scaledClock struct {
	w    *world
	rate float64
}

func (c scaledClock) Now() time.Time {
	return epochTime.Add(time.Duration(float64(c.w.now.Sub(epochTime)) * c.rate))
}

// taskRow is a task's row in the ledger.
type taskRow struct {
	key        model.TaskKey
	attempt    model.Attempt
	worker     int // -1: pending
	running    bool
	stopping   bool
	discard    bool // stopping without a checkpoint
	checkpoint string
}

func (r taskRow) attemptKey() model.AttemptKey {
	return model.AttemptKey{Task: r.key, Attempt: r.attempt}
}

// owner is one daemon that owns or owned the shard.
type owner struct {
	host             *host
	epoch            model.Epoch
	acquired         time.Time
	predecessorsOver bool // the attempts of all its predecessors are over
	sessions         []*workersession.Session
	leaseEnd         time.Time
	lost             bool       // the store reported that its lease is gone
	inbox            []delivery // responses that are handled when it runs
	ledger           []taskRow  // its own view, which becomes stale once it is replaced
}

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	worker  int
	from    *owner
	id      uint64
	req     *workerv1.ApplyRequest  // to the agent, or nil
	resp    *workerv1.ApplyResponse // to the owner, or nil
	failure bool                    // a timeout at the owner
}

// world simulates a store, a succession of owners, a network that delays, loses and
// duplicates messages, and agents with their own clocks.
type world struct {
	now        time.Time
	rnd        *rand.Rand
	opt        workersession.Options
	agents     []*worker.Agent
	partitions []partition
	seenEpochs []model.Epoch // the highest epoch that each agent has seen
	ledger     []taskRow
	current    *owner
	old        []*owner
	net        []delivery
	faults     []fault
	problem    string
	starts     int
	// dropped are the attempts that an owner stopped renewing.
	dropped map[string]bool

	hosts []*host
	mail  []mail
	// joinAt is when separated hosts reach each other again.
	joinAt time.Time
	// storeDown is whether no host reaches the store.
	storeDown bool
	// noise is for how long messages are lost, duplicated and delayed.
	noise  time.Duration
	length time.Duration

	// skipProof makes owners consider their predecessors over from the start.
	skipProof bool
	// eagerClean makes owners release the shard as clean regardless of whether their
	// predecessors are over.
	eagerClean bool
}

// partition separates an agent from the owners with an epoch above the given one.
type partition struct {
	until time.Time
	above model.Epoch
}

func newWorld(seed int64, faults []fault, opt workersession.Options, flaws worker.Flaws) *world {
	w := &world{
		now:        epochTime,
		rnd:        rand.New(rand.NewSource(seed)),
		opt:        opt,
		dropped:    make(map[string]bool),
		partitions: make([]partition, worldWorkers),
		seenEpochs: make([]model.Epoch, worldWorkers),
		faults:     slices.Clone(faults),
		noise:      worldLength,
		length:     worldLength + worldQuiet,
	}
	w.addHosts()
	slices.SortStableFunc(w.faults, func(a, b fault) int { return int(a.At - b.At) })
	for i := range worldWorkers {
		rate := 1 + clockError*float64(1-2*i) // one fast, one slow
		w.agents = append(w.agents, worker.New(worker.Options{
			ID:          model.WorkerID(fmt.Sprintf("w%d", i)),
			Capacity:    model.Resources{MilliCPU: 2000, MemoryMB: 2000},
			Clock:       scaledClock{w, rate},
			RecordClock: scaledClock{w, 1},
			Flaws:       flaws,
		}))
	}
	for i := range worldTasks {
		w.ledger = append(w.ledger, taskRow{
			key:    model.TaskKey{Workload: "ladder", Generation: 1, Index: uint32(i)},
			worker: -1,
		})
	}
	w.takeOver(true)
	return w
}

// takeOver creates a new owner from the committed ledger if a host can acquire the
// shard.
func (w *world) takeOver(clean bool) {
	h := w.nextHost()
	if h == nil {
		return
	}
	epoch := model.Epoch(1)
	if w.current != nil {
		epoch = w.current.epoch + 1
		w.old = append(w.old, w.current)
	}
	o := &owner{host: h, epoch: epoch, acquired: w.now, predecessorsOver: clean, leaseEnd: w.now.Add(storeLease)}
	for i := range w.agents {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		o.sessions = append(o.sessions, workersession.New(id, 0, epoch, w.now, clean, w.opt))
	}
	w.current = o
	w.sendDesired(o)
}

// run simulates the world until its end or the first problem.
func (w *world) run() {
	for w.now.Sub(epochTime) < w.length && w.problem == "" {
		w.now = w.now.Add(worldStep)
		for _, a := range w.agents {
			a.Advance()
		}
		w.applyDueFaults()
		w.driveHosts()
		w.takeOverIfLapsed()
		w.deliver()
		for _, o := range append(slices.Clone(w.old), w.current) {
			w.drive(o)
		}
		w.schedule()
		w.check()
	}
}

// noisy reports whether messages are still lost, duplicated and delayed.
func (w *world) noisy() bool { return w.now.Sub(epochTime) < w.noise }

// applyDueFaults applies the faults that are due.
func (w *world) applyDueFaults() {
	for len(w.faults) > 0 && w.now.Sub(epochTime) >= w.faults[0].At {
		w.apply(w.faults[0])
		w.faults = w.faults[1:]
	}
	w.join()
}

// takeOverIfLapsed replaces an owner whose lease lapsed in the store. A store that was
// down for all hosts extends its leases when it returns.
func (w *world) takeOverIfLapsed() {
	down := !slices.ContainsFunc(w.hosts, func(h *host) bool { return !w.now.Before(h.cutOff) })
	if w.storeDown && !down {
		w.current.leaseEnd = w.now.Add(storeLease)
	}
	w.storeDown = down
	if !down && w.now.After(w.current.leaseEnd) {
		w.takeOver(false)
	}
}

func (w *world) apply(f fault) {
	switch f.Kind {
	case pauseOwner:
		w.current.host.pausedUntil = w.now.Add(f.For)
	case outageOwner:
		w.cutOffStore(f.Target, worldHosts/2, f.For)
	case outageAll:
		w.cutOffStore(f.Target, worldHosts, f.For)
	case flapHost:
		w.hosts[f.Target%worldHosts].cutOff = w.now.Add(f.For / 8)
	case splitHosts:
		w.split(f.For)
	case restartAgent:
		w.agents[f.Target%worldWorkers].Restart()
		w.seenEpochs[f.Target%worldWorkers] = 0
	case cutAgent:
		w.partitions[f.Target%worldWorkers] = partition{until: w.now.Add(f.For)}
	case cutSuccessors:
		w.partitions[f.Target%worldWorkers] = partition{until: w.now.Add(f.For), above: w.current.epoch}
	case releaseOwner:
		w.release()
	case evictTask:
		w.evict(f.Target%worldTasks, false)
	case dropTask:
		w.evict(f.Target%worldTasks, true)
	}
}

// release makes the owner release the shard voluntarily. The release is clean if no
// earlier owner can still be renewing.
func (w *world) release() {
	o := w.current
	if !w.hasStore(o.host) || !w.now.Before(o.leaseEnd) {
		return
	}
	o.leaseEnd = w.now
	o.lost = true
	w.takeOver(o.predecessorsOver || w.eagerClean)
}

func attemptName(task string, attempt uint32) string {
	return fmt.Sprintf("%s#%d", task, attempt)
}

func (w *world) evict(i int, discard bool) {
	row := &w.ledger[i]
	if row.worker < 0 || row.stopping || w.paused(w.current.host) {
		return
	}
	row.stopping = true
	row.discard = discard
	w.dropped[attemptName(row.key.String(), uint32(row.attempt))] = discard
	w.sendDesired(w.current)
}

// deliver delivers the messages that are due.
func (w *world) deliver() {
	slices.SortStableFunc(w.net, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(w.net) > 0 && !w.net[0].at.After(w.now) {
		d := w.net[0]
		w.net = w.net[1:]
		if d.req != nil {
			w.deliverToAgent(d)
			continue
		}
		d.from.inbox = append(d.from.inbox, d)
	}
}

func (w *world) deliverToAgent(d delivery) {
	if c := w.partitions[d.worker]; w.now.Before(c.until) && d.from.epoch > c.above {
		return
	}
	resp := w.execute(d)
	if w.noisy() && w.rnd.Float64() < 0.1 {
		return // the response is lost
	}
	w.net = append(w.net, delivery{
		at: w.now.Add(w.delay()), worker: d.worker, from: d.from, id: d.id, resp: resp,
	})
}

// execute executes one request and checks that it changes nothing if the agent has
// seen a newer owner.
func (w *world) execute(d delivery) *workerv1.ApplyResponse {
	agent := w.agents[d.worker]
	if d.from.epoch >= w.seenEpochs[d.worker] {
		w.seenEpochs[d.worker] = d.from.epoch
		return agent.Apply(d.req)
	}
	before := fmt.Sprint(agent.Running())
	resp := agent.Apply(d.req)
	if fmt.Sprint(agent.Running()) != before {
		w.problem = fmt.Sprintf("owner %d acted on %s after owner %d",
			d.from.epoch, agent.ID(), w.seenEpochs[d.worker])
	}
	return resp
}

// delay returns the random transit time of a message.
func (w *world) delay() time.Duration {
	if w.noisy() && w.rnd.Float64() < 0.15 {
		return time.Duration(w.rnd.Int63n(int64(maxDelay)))
	}
	return time.Duration(w.rnd.Int63n(int64(100 * time.Millisecond)))
}

// drive runs one owner for a step, unless it is paused.
func (w *world) drive(o *owner) {
	if w.paused(o.host) {
		return
	}
	if w.hasStore(o.host) {
		o.lost = o.lost || o != w.current
		if !o.lost {
			o.leaseEnd = w.now.Add(storeLease)
		}
	}
	w.updatePredecessors(o)
	may := w.permission(o)
	for i := range o.sessions {
		w.step(o, i, may)
	}
	inbox := o.inbox
	o.inbox = nil
	for _, d := range inbox {
		ev := workersession.Answered{ID: d.id, Resp: d.resp, ReceivedAt: w.now}
		if d.failure {
			ev.Err = context.DeadlineExceeded
		}
		w.step(o, d.worker, ev)
	}
	for i := range o.sessions {
		w.step(o, i, workersession.Tick{})
	}
}

// permission returns the permission of an owner: everything while its lease is valid, and
// renewals without one while a majority of the hosts confirms an outage.
func (w *world) permission(o *owner) workersession.Permission {
	may := workersession.Permission{PredecessorsOver: o.predecessorsOver || w.skipProof}
	if o.lost {
		return may
	}
	may.Full, may.Until = w.now.Before(o.leaseEnd), o.leaseEnd
	if may.Full {
		return may
	}
	confirmed := o.host.machine.StoreSilentAt()
	may.Until = confirmed.Add(worldGrace)
	may.RenewOnly = !confirmed.IsZero() && w.now.Before(may.Until)
	return may
}

func (w *world) updatePredecessors(o *owner) {
	if o.predecessorsOver || o != w.current {
		return
	}
	end := w.opt.PredecessorExpiry()
	o.predecessorsOver = o.host.machine.OutageRenewalsEnded(o.acquired, end)
	o.host.awaits = !o.predecessorsOver && !w.now.Before(o.acquired.Add(end))
}

func (w *world) step(o *owner, i int, ev workersession.Event) {
	for _, c := range o.sessions[i].Step(w.now, ev) {
		switch c := c.(type) {
		case workersession.Send:
			w.send(o, i, c)
		case workersession.Observed:
			w.observed(o, c)
		case workersession.Over:
			w.ended(o, c.Attempt, "")
		}
	}
}

// send sends a message, which the network may lose or duplicate.
func (w *world) send(o *owner, i int, c workersession.Send) {
	copies := 1
	if w.noisy() {
		switch p := w.rnd.Float64(); {
		case p < 0.1:
			copies = 0
		case p < 0.25:
			copies = 2
		}
	}
	for range copies {
		w.net = append(w.net, delivery{
			at: w.now.Add(w.delay()), worker: i, from: o, id: c.ID, req: proto.CloneOf(c.Req),
		})
	}
	w.net = append(w.net, delivery{
		at: w.now.Add(c.Timeout), worker: i, from: o, id: c.ID, failure: true,
	})
}

func (w *world) observed(o *owner, c workersession.Observed) {
	if c.State != workersession.StateRunning {
		w.ended(o, c.Attempt, c.Checkpoint)
		return
	}
	row := &w.ledger[c.Attempt.Task.Index]
	if o == w.current && row.attemptKey() == c.Attempt && !row.running {
		row.running = true
		w.sendDesired(o)
	}
}

// ended commits the end of an attempt if o is still the owner.
func (w *world) ended(o *owner, key model.AttemptKey, checkpoint string) {
	row := &w.ledger[key.Task.Index]
	if o != w.current || row.attemptKey() != key || row.worker < 0 {
		return
	}
	if checkpoint != "" {
		row.checkpoint = checkpoint
	}
	row.worker = -1
	row.running = false
	row.stopping = false
	row.discard = false
	w.sendDesired(o)
}

// schedule commits pending tasks to workers with free capacity.
func (w *world) schedule() {
	o := w.current
	if w.paused(o.host) || !w.now.Before(o.leaseEnd) {
		return
	}
	placed := false
	for i := range w.ledger {
		row := &w.ledger[i]
		target := w.rnd.Intn(worldWorkers)
		if row.worker >= 0 || w.committed(target) >= 2 || o.sessions[target].Unreachable() {
			continue
		}
		row.worker = target
		row.attempt++
		w.starts++
		placed = true
	}
	if placed {
		w.sendDesired(o)
	}
}

func (w *world) committed(worker int) int {
	n := 0
	for _, row := range w.ledger {
		if row.worker == worker {
			n++
		}
	}
	return n
}

// sendDesired gives the owner's sessions the desired state of the committed ledger.
func (w *world) sendDesired(o *owner) {
	o.ledger = slices.Clone(w.ledger)
	for i := range o.sessions {
		w.step(o, i, workersession.Desired{Tasks: desiredTasks(o.ledger, i)})
	}
}

func desiredTasks(ledger []taskRow, worker int) []workersession.DesiredTask {
	var list []workersession.DesiredTask
	for _, row := range ledger {
		if row.worker != worker {
			continue
		}
		kind := workersession.Start
		switch {
		case row.stopping:
			kind = workersession.Stop
		case row.running:
			kind = workersession.Keep
		}
		list = append(list, workersession.DesiredTask{
			Attempt:    row.attemptKey(),
			Kind:       kind,
			Checkpoint: row.stopping && !row.discard,
			Start:      &workerv1.Start{MilliCpu: 1000, MemoryMb: 1000, Checkpoint: row.checkpoint},
		})
	}
	return list
}

// check records a problem if a task runs on both workers.
func (w *world) check() {
	first := w.agents[0].Running()
	for _, other := range w.agents[1].Running() {
		for _, t := range first {
			if t.GetTask() == other.GetTask() {
				w.problem = fmt.Sprintf("at %v: %v on w0, %v on w1", w.now.Sub(epochTime), t, other)
			}
		}
	}
}
