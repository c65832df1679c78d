package ledger_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/port"
)

const (
	prefix      = "/guavarill/test/"
	worldShards = 2
	worldTasks  = 5
	leaseTTL    = 10 * time.Second
	step        = 250 * time.Millisecond
	// maxCallsAtOnce is the maximum number of successive calls while no time passes.
	maxCallsAtOnce = 1000
)

// daemon is one owner under test: its ownership and one ledger per shard.
type daemon struct {
	name    model.DaemonID
	owner   *ownership.Machine
	ledgers []*ledger.Ledger
	paused  bool
	inbox   []answer
}

// answer is a response in transit to a daemon. Only a response that identifies its
// call may be delivered twice.
type answer struct {
	deliver    func(*daemon)
	repeatable bool
}

// request is a call in transit to the store.
type request struct {
	from    *daemon
	command any
	sentAt  time.Time
}

// world simulates two daemons and one store. It also records what an observer of every
// revision of the store has seen.
type world struct {
	t       *testing.T
	now     time.Time
	store   *fakeStore
	daemons []*daemon
	calls   []*request
	late    []*request // timed out at the daemon; may still reach the store
	failure string

	history      []map[uint64]string // per shard: replayed contents by sequence
	attempts     map[model.TaskKey]model.Attempt
	placed       map[model.AttemptKey]model.WorkerID
	live         map[model.TaskKey]bool
	owners       []int64
	notCommitted map[string]bool
	labels       int
	created      int
	commits      int
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0),
		attempts:     make(map[model.TaskKey]model.Attempt),
		placed:       make(map[model.AttemptKey]model.WorkerID),
		live:         make(map[model.TaskKey]bool),
		owners:       make([]int64, worldShards),
		notCommitted: make(map[string]bool),
	}
	w.store = newFakeStore(w.observe)
	names := []model.DaemonID{"d1", "d2"}
	for range worldShards {
		w.history = append(w.history, map[uint64]string{0: dump(emptyContents())})
	}
	for i, name := range names {
		d := &daemon{name: name, owner: ownership.New(name, "10.0.0.1:1", ownership.Options{
			KeyPrefix: prefix, LeaseTTL: leaseTTL, Margin: 2 * time.Second,
			OutageGrace: 20 * time.Second, SettleTime: 5 * time.Second,
			FallbackAfter: 3 * time.Second, Seed: uint64(i),
		})}
		for shard := range worldShards {
			d.ledgers = append(d.ledgers, ledger.New(model.ShardID(shard), string(name), ledger.Options{
				KeyPrefix: prefix, MaxDeltas: 3, FlushInterval: step, InboxInterval: 5 * time.Second,
			}))
		}
		w.daemons = append(w.daemons, d)
		w.owner(d, ownership.Shards{Count: worldShards})
		w.owner(d, ownership.Members{Candidates: names})
	}
	return w
}

func emptyContents() *ledger.Contents {
	stored, _ := ledger.Read(prefix, 0, nil)
	return stored.Contents
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// owner gives an event to the daemon's ownership machine and executes its commands.
func (w *world) owner(d *daemon, ev ownership.Event) {
	for _, c := range d.owner.Step(w.now, ev) {
		switch c := c.(type) {
		case ownership.ShardAcquired:
			w.ledger(d, c.Shard, ledger.Acquired{Epoch: c.Epoch})
		case ownership.ShardLost:
			w.ledger(d, c.Shard, ledger.OwnershipLost{})
		default:
			w.send(d, c)
		}
	}
	w.checkOneOwner()
}

type ledgerCall struct {
	shard   model.ShardID
	command ledger.Command
}

func (w *world) ledger(d *daemon, shard model.ShardID, ev ledger.Event) {
	l := d.ledgers[shard]
	for _, c := range l.Step(w.now, ev) {
		switch c := c.(type) {
		case ledger.Commit:
			if !d.owner.MayCommit(w.now) {
				refused := &port.StoreError{Kind: port.StoreCallCanceled, Outcome: port.OutcomeNotDone}
				w.ledger(d, shard, ledger.TxnAnswered{ID: c.ID, Err: refused})
				continue
			}
			w.send(d, ledgerCall{shard, c})
		case ledger.Load, ledger.ReadBack, ledger.ListInbox:
			w.send(d, ledgerCall{shard, c})
		case ledger.Loaded:
			w.checkContents(d, shard)
		case ledger.Committed:
			w.commits++
			w.checkContents(d, shard)
		case ledger.Dropped:
			w.noteDropped(c)
		case ledger.StandDown:
			w.owner(d, ownership.LedgerStoodDown{Shard: shard})
		}
	}
}

// noteDropped records changes that the ledger reported as not committed.
func (w *world) noteDropped(c ledger.Dropped) {
	if c.Reason != ledger.DropOwnershipLost {
		return
	}
	for _, change := range c.Changes {
		if change.Put != nil {
			w.notCommitted[change.Put.Reason] = true
		}
	}
}

func (w *world) send(d *daemon, command any) {
	w.calls = append(w.calls, &request{from: d, command: command, sentAt: w.now})
}

// execute executes the call in the store. It returns a function that delivers the
// response, or nil if there is none.
func (w *world) execute(r *request) func(*daemon) {
	switch c := r.command.(type) {
	case ownership.GrantLease:
		id := w.store.grant(w.now, c.TTL)
		return w.toOwner(ownership.LeaseGranted{ID: id, TTL: c.TTL, SentAt: r.sentAt})
	case ownership.KeepAlive:
		ev := ownership.KeptAlive{ID: c.ID, TTL: leaseTTL, SentAt: r.sentAt}
		if !w.store.keepAlive(w.now, c.ID, leaseTTL) {
			ev.Err = &port.StoreError{Kind: port.StoreLeaseNotFound, Outcome: port.OutcomeNotDone}
		}
		return w.toOwner(ev)
	case ownership.RevokeLease:
		w.store.revoke(c.ID)
	case ownership.ReadOwner:
		return w.toOwner(ownership.OwnerRead{Shard: c.Shard, KVs: w.store.list(c.Prefix)})
	case ownership.Acquire:
		ev := ownership.AcquireAnswered{Shard: c.Shard}
		if _, ok := w.store.leases[c.Ops[0].Lease]; ok {
			ev.Result = w.store.txn(c.Conditions, c.Ops)
		} else {
			ev.Err = &port.StoreError{Kind: port.StoreLeaseNotFound, Outcome: port.OutcomeNotDone}
		}
		return w.toOwner(ev)
	case ownership.Release:
		w.store.txn(c.Conditions, c.Ops)
		return w.toOwner(ownership.ReleaseAnswered{Shard: c.Shard})
	case ledgerCall:
		return w.executeLedger(c)
	}
	return nil
}

func (w *world) executeLedger(c ledgerCall) func(*daemon) {
	var ev ledger.Event
	switch call := c.command.(type) {
	case ledger.Load:
		ev = ledger.LoadAnswered{KVs: w.store.list(call.Prefix), Revision: w.store.revision}
	case ledger.ReadBack:
		ev = ledger.ReadAnswered{ID: call.ID, KVs: w.store.list(call.Prefix)}
	case ledger.ListInbox:
		ev = ledger.InboxListed{KVs: w.store.list(call.Prefix)}
	case ledger.Commit:
		ev = ledger.TxnAnswered{ID: call.ID, Result: w.store.txn(call.Conditions, call.Ops)}
	}
	return func(d *daemon) { w.ledger(d, c.shard, ev) }
}

func (w *world) toOwner(ev ownership.Event) func(*daemon) {
	return func(d *daemon) { w.owner(d, ev) }
}

// timeout returns a function that delivers the error of a call with an unknown
// outcome.
func (w *world) timeout(r *request) func(*daemon) {
	err := &port.StoreError{Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
	switch c := r.command.(type) {
	case ownership.GrantLease:
		return w.toOwner(ownership.LeaseGranted{SentAt: r.sentAt, Err: err})
	case ownership.KeepAlive:
		return w.toOwner(ownership.KeptAlive{ID: c.ID, SentAt: r.sentAt, Err: err})
	case ownership.ReadOwner:
		return w.toOwner(ownership.OwnerRead{Shard: c.Shard, Err: err})
	case ownership.Acquire:
		return w.toOwner(ownership.AcquireAnswered{Shard: c.Shard, Err: err})
	case ownership.Release:
		return w.toOwner(ownership.ReleaseAnswered{Shard: c.Shard, Err: err})
	case ledgerCall:
		var ev ledger.Event
		switch call := c.command.(type) {
		case ledger.Load:
			ev = ledger.LoadAnswered{Err: err}
		case ledger.ReadBack:
			ev = ledger.ReadAnswered{ID: call.ID, Err: err}
		case ledger.ListInbox:
			ev = ledger.InboxListed{Err: err}
		case ledger.Commit:
			ev = ledger.TxnAnswered{ID: call.ID, Err: err}
		}
		return func(d *daemon) { w.ledger(d, c.shard, ev) }
	}
	return nil
}

// act performs one random action, selected by op.
func (w *world) act(op uint64) {
	kind, choice := op%64, int(op>>8&0xffff)
	switch {
	case kind < 20:
		w.deliverCall(choice, kind == 0)
	case kind < 40:
		w.deliverAnswer(choice, kind == 20)
	case kind == 40:
		w.abandonCall(choice)
	case kind == 41:
		w.executeLate(choice)
	case kind == 42:
		d := w.daemons[choice%len(w.daemons)]
		d.paused = !d.paused && choice/2%4 == 0
	case kind == 43:
		w.changeMembers(choice)
	case kind == 44:
		w.advance([]time.Duration{leaseTTL, time.Second, time.Second, time.Second}[choice%4])
	case kind < 50:
		w.advance(step)
	default:
		w.proposeRandom(op >> 8)
	}
}

// changeMembers changes a daemon's view of the members: both daemons are alive, or only
// itself.
func (w *world) changeMembers(choice int) {
	d := w.daemons[choice%len(w.daemons)]
	if d.paused {
		return
	}
	views := [][]model.DaemonID{{"d1", "d2"}, {"d1", "d2"}, {"d1", "d2"}, {d.name}}
	w.owner(d, ownership.Members{Candidates: views[choice/2%len(views)]})
}

// executeLate executes a call in the store that has already timed out.
func (w *world) executeLate(choice int) {
	if len(w.late) == 0 {
		return
	}
	i := choice % len(w.late)
	r := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	w.execute(r)
}

// deliverCall executes one of the calls in transit, and loses its response if lose is
// set.
func (w *world) deliverCall(choice int, lose bool) {
	if len(w.calls) == 0 {
		return
	}
	i := choice % len(w.calls)
	r := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	deliver := w.execute(r)
	if lose && deliver != nil {
		deliver = w.timeout(r)
	}
	if deliver != nil {
		r.from.inbox = append(r.from.inbox, answer{deliver, r.repeatable()})
	}
}

func (r *request) repeatable() bool {
	switch c := r.command.(type) {
	case ownership.KeepAlive:
		return true
	case ledgerCall:
		_, isCommit := c.command.(ledger.Commit)
		_, isRead := c.command.(ledger.ReadBack)
		return isCommit || isRead
	}
	return false
}

// abandonCall lets a call time out while it is still in transit.
func (w *world) abandonCall(choice int) {
	if len(w.calls) == 0 {
		return
	}
	i := choice % len(w.calls)
	r := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	w.late = append(w.late, r)
	if deliver := w.timeout(r); deliver != nil {
		r.from.inbox = append(r.from.inbox, answer{deliver, r.repeatable()})
	}
}

// deliverAnswer delivers a response to a daemon. If duplicate is set and the response is
// repeatable, it is kept and may be delivered again.
func (w *world) deliverAnswer(choice int, duplicate bool) {
	d := w.daemons[choice%len(w.daemons)]
	if d.paused || len(d.inbox) == 0 {
		return
	}
	i := choice / 2 % len(d.inbox)
	a := d.inbox[i]
	if !duplicate || !a.repeatable {
		d.inbox = slices.Delete(d.inbox, i, i+1)
	}
	a.deliver(d)
}

func (w *world) advance(by time.Duration) {
	w.now = w.now.Add(by)
	w.store.expire(w.now)
	for _, d := range w.daemons {
		if d.paused {
			continue
		}
		w.owner(d, ownership.Tick{})
		for shard := range d.ledgers {
			w.ledger(d, model.ShardID(shard), ledger.Tick{})
		}
	}
}

// proposeRandom proposes a change, which may be invalid, to a random ledger.
func (w *world) proposeRandom(op uint64) {
	d := w.daemons[op%2]
	shard := model.ShardID(op >> 1 % worldShards)
	l := d.ledgers[shard]
	if d.paused || l.Phase() == ledger.Idle {
		return
	}
	key := w.pickTask(l.Effective(), shard, op>>2)
	if c, ok := w.randomChange(l.Effective(), shard, key, op>>6); ok {
		w.ledger(d, shard, ledger.Propose{Changes: []ledger.Change{c}, Urgent: op>>5%4 == 0})
	}
}

// pickTask returns a task of the ledger or, while the ledger has few tasks, possibly a new
// one. Each task is created in only one shard, as in the acceptance of a configuration.
func (w *world) pickTask(view *ledger.Contents, shard model.ShardID, op uint64) model.TaskKey {
	var keys []model.TaskKey
	for t := range view.Tasks() {
		keys = append(keys, t.Key)
	}
	if len(keys) < worldTasks {
		w.created++
		index := uint32(w.created)*worldShards + uint32(shard)
		keys = append(keys, model.TaskKey{Workload: "w", Generation: 1, Index: index})
	}
	return keys[op%uint64(len(keys))]
}

func (w *world) randomChange(view *ledger.Contents, shard model.ShardID, key model.TaskKey, op uint64) (ledger.Change, bool) {
	t, known := view.Task(key)
	w.labels++
	t.Reason = fmt.Sprintf("change %d", w.labels)
	t.Size = model.Resources{MilliCPU: 1000, MemoryMB: 100}
	if !known {
		t.Key, t.State = key, ledger.Pending
		return ledger.Change{Put: &t}, true
	}
	switch op % 8 {
	case 0:
		t.Worker, t.MovedTo = "", 0
		return ledger.Change{Handoff: &ledger.Handoff{Task: t, To: 1 - shard}}, true
	case 1:
		return ledger.Change{Remove: &key}, true
	case 2:
		worker := model.WorkerID(fmt.Sprintf("v%d", op>>3%2))
		until := w.now.Add(time.Duration(op>>4%2) * time.Minute)
		if op>>5%2 == 0 {
			until = time.Time{}
		}
		return ledger.Change{Quarantine: &ledger.Quarantine{Worker: worker, Until: until, Level: 1}}, true
	}
	t.State = w.randomState(t.State, op>>3)
	t.Resume = t.State == ledger.Stopping
	switch t.State {
	case ledger.Assigned:
		t.Attempt++
		t.Worker = model.WorkerID(fmt.Sprintf("v%d", op>>8%3))
	case ledger.Pending:
		t.Worker = ""
	}
	switch op >> 10 % 16 {
	case 0:
		t.Attempt++
	case 1:
		t.Attempt = max(t.Attempt, 1) - 1
	case 2:
		t.Worker = "v3"
	}
	return ledger.Change{Put: &t}, true
}

// randomState returns a state that is mostly allowed after from.
func (w *world) randomState(from ledger.State, op uint64) ledger.State {
	next := map[ledger.State][]ledger.State{
		ledger.Pending:  {ledger.Assigned},
		ledger.Assigned: {ledger.Running, ledger.Running, ledger.Stopping, ledger.Pending},
		ledger.Running:  {ledger.Running, ledger.Stopping, ledger.Stopping, ledger.Succeeded},
		ledger.Stopping: {ledger.Pending, ledger.Pending, ledger.Pending, ledger.Cancelled},
	}[from]
	if len(next) == 0 || op%8 == 0 {
		return ledger.State(1 + op>>3%8)
	}
	return next[int(op>>3)%len(next)]
}

// observe checks the stored state after a revision of the store.
func (w *world) observe(ops []port.Op) {
	places := make(map[model.TaskKey]int)
	seen := make(map[model.TaskKey]bool)
	for shard := range worldShards {
		id := model.ShardID(shard)
		w.observeShard(id, touches(ops, id), places, seen)
	}
	for key, n := range places {
		if n > 1 {
			w.fail("task %s is in %d places", key, n)
		}
	}
	w.observeOps(ops, seen)
	for key := range w.live {
		if places[key] == 0 && !seen[key] {
			w.fail("task %s is lost", key)
		}
	}
	w.live = make(map[model.TaskKey]bool)
	for key := range places {
		w.live[key] = true
	}
}

func touches(ops []port.Op, shard model.ShardID) bool {
	return slices.ContainsFunc(ops, func(op port.Op) bool {
		return strings.HasPrefix(op.Key, ledger.ShardPrefix(prefix, shard)+"ledger/")
	})
}

// observeShard counts, per task that has not ended, the places where it is recorded, and
// adds the tasks that have ended to over.
func (w *world) observeShard(shard model.ShardID, changed bool, places map[model.TaskKey]int, over map[model.TaskKey]bool) {
	kvs := w.store.list(ledger.ShardPrefix(prefix, shard))
	stored, err := ledger.Read(prefix, shard, kvs)
	if err != nil {
		w.fail("shard %d: %v", shard, err)
		return
	}
	w.owners[shard] = int64(stored.Epoch)
	if changed {
		w.noteHistory(shard, stored.Contents)
	}
	for t := range stored.Contents.Tasks() {
		w.observeTask(t)
		switch {
		case t.State.Terminal():
			over[t.Key] = true
		case t.State != ledger.Moved:
			places[t.Key]++
		}
	}
	for _, item := range stored.Inbox {
		w.observeTask(item.Task)
		places[item.Task.Key]++
	}
}

func (w *world) noteHistory(shard model.ShardID, c *ledger.Contents) {
	sequence, text := c.Sequence(), dump(c)
	if before, ok := w.history[shard][sequence]; ok && before != text {
		w.fail("shard %d changed at sequence %d:\n%s\nthen\n%s", shard, sequence, before, text)
	}
	w.history[shard][sequence] = text
}

func (w *world) observeTask(t ledger.Task) {
	if t.State != ledger.Moved && t.Attempt < w.attempts[t.Key] {
		w.fail("task %s fell back from attempt %d to %d", t.Key, w.attempts[t.Key], t.Attempt)
	}
	w.attempts[t.Key] = max(w.attempts[t.Key], t.Attempt)
	if !t.State.HoldsRoom() {
		return
	}
	if worker, ok := w.placed[t.AttemptKey()]; ok && worker != t.Worker {
		w.fail("attempt %s is on %s and on %s", t.AttemptKey(), worker, t.Worker)
	}
	w.placed[t.AttemptKey()] = t.Worker
}

// observeOps checks that deltas were written under the epoch of the current owner, and that
// no change is written that was reported as not committed. Tasks that a delta removes ended
// in the same delta or before.
func (w *world) observeOps(ops []port.Op, over map[model.TaskKey]bool) {
	for _, op := range ops {
		if op.Delete || !strings.Contains(op.Key, "/ledger/delta/") {
			continue
		}
		var shard int
		fmt.Sscanf(op.Key, prefix+"shard/%d/", &shard)
		d := &ledgerv1.Delta{}
		if err := proto.Unmarshal(op.Value, d); err != nil {
			w.fail("delta: %v", err)
		}
		if d.GetEpoch() != w.owners[shard] {
			w.fail("shard %d: commit under epoch %d of owner %d", shard, d.GetEpoch(), w.owners[shard])
		}
		for _, k := range d.GetRemoved() {
			over[model.TaskKey{Workload: k.GetWorkload(), Generation: k.GetGeneration(), Index: k.GetIndex()}] = true
		}
		for _, t := range d.GetTasks() {
			if w.notCommitted[t.GetReason()] {
				w.fail("%q was dropped as not committed, and then committed", t.GetReason())
			}
		}
	}
}

// checkOneOwner checks that no two daemons may commit for one shard.
func (w *world) checkOneOwner() {
	sure := make(map[model.ShardID]model.DaemonID)
	for _, d := range w.daemons {
		if !d.owner.MayCommit(w.now) {
			continue
		}
		for _, shard := range d.owner.Owned() {
			if other, ok := sure[shard]; ok {
				w.fail("%s and %s both own shard %d", other, d.name, shard)
			}
			sure[shard] = d.name
		}
	}
}

// checkContents checks that the committed contents of an owner equal the stored contents at
// the same sequence.
func (w *world) checkContents(d *daemon, shard model.ShardID) {
	l := d.ledgers[shard]
	if l.Phase() != ledger.Active && l.Phase() != ledger.Resolving {
		return
	}
	have := dump(l.Contents())
	if want := w.history[shard][l.Contents().Sequence()]; have != want {
		w.fail("%s shard %d at sequence %d holds\n%s\nstore held\n%s",
			d.name, shard, l.Contents().Sequence(), have, want)
	}
}

func dump(c *ledger.Contents) string {
	var b strings.Builder
	for t := range c.Tasks() {
		fmt.Fprintln(&b, t.Key, t.State, t.Attempt, t.Worker, t.Size, t.Reason, t.Resume, t.MovedTo)
	}
	for _, q := range c.Quarantines() {
		fmt.Fprintf(&b, "%+v\n", q)
	}
	for _, worker := range c.Workers() {
		fmt.Fprintf(&b, "%s %s\n", worker, c.Committed(worker))
	}
	return b.String()
}

// heal runs the world without faults for a while. After that every shard must have one
// active owner that has committed all its changes, and an empty inbox.
func (w *world) heal() {
	for _, d := range w.daemons {
		d.paused = false
		w.owner(d, ownership.Members{Candidates: []model.DaemonID{"d1", "d2"}})
	}
	w.run(90 * time.Second)
	for shard := range worldShards {
		w.checkHealed(model.ShardID(shard))
	}
}

// run advances the time by d without faults.
func (w *world) run(d time.Duration) {
	for range d / step {
		w.advance(step)
		for n := 0; len(w.calls) > 0; n++ {
			if n > maxCallsAtOnce {
				w.fail("more than maxCallsAtOnce calls in a row, the next is %+v", w.calls[0].command)
				return
			}
			w.deliverCall(0, false)
		}
		for _, d := range w.daemons {
			for len(d.inbox) > 0 {
				a := d.inbox[0]
				d.inbox = d.inbox[1:]
				a.deliver(d)
			}
		}
	}
}

func (w *world) checkHealed(shard model.ShardID) {
	active := 0
	for _, d := range w.daemons {
		l := d.ledgers[shard]
		if l.Phase() != ledger.Active {
			continue
		}
		active++
		if dump(l.Effective()) != dump(l.Contents()) {
			w.fail("shard %d: uncommitted changes after the faults", shard)
		}
	}
	if active != 1 {
		w.fail("shard %d: %d active owners after the faults", shard, active)
	}
	if items := w.store.list(ledger.InboxPrefix(prefix, shard)); len(items) > 0 {
		w.fail("shard %d: %d tasks left in the inbox", shard, len(items))
	}
}

// TestInterleavings guards against tasks that run twice or are lost, and owners that
// decide on other contents than the store's: because the outcome of a commit is
// assumed, or a commit is applied after a change of owner or of its sequence. Two
// daemons share two shards while responses are lost, late or duplicated.
func TestInterleavings(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20)
	parameters.MinSuccessfulTests = 400
	parameters.MaxShrinkCount = 100
	parameters.MinSize = 1500
	parameters.MaxSize = 3000
	properties := gopter.NewProperties(parameters)
	commits := 0
	properties.Property("every revision is consistent", prop.ForAll(func(ops []uint64) string {
		w := newWorld(t)
		w.run(10 * time.Second)
		for _, op := range ops {
			w.act(op)
			if w.failure != "" {
				return w.failure
			}
		}
		w.heal()
		commits += w.commits
		return w.failure
	}, gen.SliceOf(gen.UInt64())))
	properties.TestingRun(t)
	t.Logf("%d commits", commits)
	if commits < 20*parameters.MinSuccessfulTests {
		t.Errorf("only %d commits: the interleavings do not exercise the ledger", commits)
	}
}
