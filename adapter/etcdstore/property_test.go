package etcdstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/store"
)

// Parameters of the property test.
const (
	propertySeed  = 20260101
	propertyRuns  = 200
	propertySteps = 12
	propertyKeys  = 4
)

// fault is the fault injected into one transaction.
type fault int

const (
	faultNone fault = iota
	faultLoseByBreak
	faultLoseByHang
	faultDropByBreak
	faultDropByHang
	faultDown
	faultBroken
	faultSilent
	faultTooLarge
	faultCount
)

// step is one transaction: puts and a deletion under a condition that may
// hold or not.
type step struct {
	fault  int
	key    int
	other  int
	delete bool
	stale  bool
}

func genStep() gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(0, int(faultCount)-1), gen.IntRange(0, propertyKeys-1),
		gen.IntRange(0, propertyKeys-1), gen.Bool(), gen.Bool(),
	).Map(func(v []any) step {
		return step{fault: v[0].(int), key: v[1].(int), other: v[2].(int), delete: v[3].(bool), stale: v[4].(bool)}
	})
}

// contents is the model of the store: the value of each key.
type contents map[string]string

func read(server *store.Server) (contents, map[string]int64) {
	kvs, _, _ := server.Local().List(context.Background(), "k/")
	values, revisions := make(contents), make(map[string]int64)
	for _, kv := range kvs {
		values[kv.Key], revisions[kv.Key] = string(kv.Value), kv.ModRevision
	}
	return values, revisions
}

func (s step) txn(n int, revisions map[string]int64) ([]port.Condition, []port.Op) {
	key, other := fmt.Sprintf("k/%d", s.key), fmt.Sprintf("k/%d", s.other)
	condition := port.Condition{Key: key, Kind: port.CompareModRevision, Revision: revisions[key]}
	if s.stale {
		condition.Revision++
	}
	changes := put(key, fmt.Sprintf("value %d", n))
	if s.delete && other != key {
		changes = append(changes, port.Op{Key: other, Delete: true})
	}
	if fault(s.fault) == faultTooLarge {
		changes[0].Value = make([]byte, port.MaxValueBytes+1)
	}
	return []port.Condition{condition}, changes
}

// after returns the contents with the changes applied.
func (c contents) after(changes []port.Op) contents {
	next := maps.Clone(c)
	for _, op := range changes {
		if op.Delete {
			delete(next, op.Key)
			continue
		}
		next[op.Key] = string(op.Value)
	}
	return next
}

func arm(server *store.Server, f fault) {
	switch f {
	case faultLoseByBreak:
		server.LoseAnswer(1, store.LossBreak)
	case faultLoseByHang:
		server.LoseAnswer(1, store.LossHang)
	case faultDropByBreak:
		server.DropBefore(1, store.LossBreak)
	case faultDropByHang:
		server.DropBefore(1, store.LossHang)
	case faultDown:
		server.Down()
	case faultBroken:
		server.BreakConnections()
	case faultSilent:
		server.SilenceConnections()
	}
}

// cancelOnceUnanswered cancels a call as soon as the server has withheld its
// response or swallowed its request, so that no response can arrive. With a
// timeout instead, a call on a busy machine could time out before it reaches the
// server.
func cancelOnceUnanswered(server *store.Server, cancel context.CancelFunc, done <-chan struct{}) <-chan struct{} {
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		poll := time.NewTicker(time.Millisecond)
		defer poll.Stop()
		for server.Withheld() == 0 && server.Swallowed() == 0 {
			select {
			case <-poll.C:
			case <-done:
				return
			}
		}
		cancel()
	}()
	return settled
}

// clearFault clears the remaining effects of a step's fault and opens a new
// connection for the next step. The new connection is necessary because a
// canceled call, unlike a timeout, does not make the adapter replace a silent
// connection.
func clearFault(server *store.Server, s *etcdstore.Store) error {
	server.Up()
	server.ClearFaults()
	_, err := s.Get(etcdstore.WithFreshConnection(context.Background()), "k/")
	return err
}

// Guards against a change that is made twice, or that is missing although it was
// reported as done. Either happens if the adapter reports a change that was made
// as not done, reports one that was not made as done, or sends a call twice. The
// test runs random transactions, each with a random fault.
func TestReportedOutcomesAreCorrect(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	parameters.MaxSize = propertySteps
	properties := gopter.NewProperties(parameters)
	properties.Property("outcome agrees with the model", prop.ForAll(runSteps, gen.SliceOf(genStep())))
	properties.TestingRun(t)
}

// runSteps returns a description of the first violation, or an empty string.
func runSteps(steps []step) string {
	server := store.New(store.Options{})
	addr, err := server.Start()
	if err != nil {
		return err.Error()
	}
	defer server.Close()
	s, err := etcdstore.New(etcdstore.Options{
		Endpoint: addr, CallTimeout: waitTimeout, ReconnectAfter: time.Nanosecond,
	})
	if err != nil {
		return err.Error()
	}
	defer s.Close()
	if err := clearFault(server, s); err != nil {
		return err.Error()
	}
	refused := make(map[string]bool)
	for n, st := range steps {
		if wrong := runStep(server, s, n, st, refused); wrong != "" {
			return fmt.Sprintf("step %d %+v: %s", n, st, wrong)
		}
	}
	return findUnexpectedChange(server, refused)
}

func runStep(server *store.Server, s *etcdstore.Store, n int, st step, refused map[string]bool) string {
	before, revisions := read(server)
	conditions, changes := st.txn(n, revisions)
	server.ResetCounts()
	arm(server, fault(st.fault))
	ctx, cancel := context.WithCancel(context.Background())
	settled := cancelOnceUnanswered(server, cancel, ctx.Done())
	result, err := s.Txn(ctx, conditions, changes)
	cancel()
	<-settled
	if err := clearFault(server, s); err != nil {
		return "clear the fault: " + err.Error()
	}
	if calls := server.Calls(store.MethodTxn); calls > 1 {
		return fmt.Sprintf("%d calls", calls)
	}
	got, _ := read(server)
	made := before.after(changes)
	changed := !maps.Equal(got, before)
	if changed && (st.stale || !maps.Equal(got, made)) {
		return fmt.Sprintf("contents %v from %v", got, before)
	}
	if err == nil {
		if result.Succeeded == st.stale || result.Succeeded != changed {
			return fmt.Sprintf("result says succeeded %v, but changed is %v", result.Succeeded, changed)
		}
		return ""
	}
	var failure *port.StoreError
	if !errors.As(err, &failure) {
		return "error is not a StoreError: " + err.Error()
	}
	if failure.Outcome == port.OutcomeNotDone {
		refused[string(changes[0].Value)] = true
		if changed {
			return "change was made, but the call failed with: " + err.Error()
		}
	}
	if failure.Outcome == port.OutcomeDone {
		return "error with outcome done: " + err.Error()
	}
	return ""
}

// findUnexpectedChange searches the store's whole history for a change that was
// reported as not done, and returns a description of it, or an empty string.
func findUnexpectedChange(server *store.Server, refused map[string]bool) string {
	events, err := server.Local().Watch(context.Background(), "k/", 0)
	if err != nil {
		return err.Error()
	}
	for {
		select {
		case ev := <-events:
			if !ev.Deleted && refused[string(ev.KeyValue.Value)] {
				return fmt.Sprintf("change to %q was reported as not done, but was made", ev.KeyValue.Value)
			}
		default:
			return ""
		}
	}
}
