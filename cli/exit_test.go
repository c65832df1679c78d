package cli

import (
	"maps"
	"strings"
	"testing"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/port"
)

func TestExitCodeOfEachOutcome(t *testing.T) {
	down := &port.StoreError{Call: "txn", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
	for name, c := range map[string]struct {
		result config.ApplyResult
		code   ExitCode
	}{
		"accepted":  {config.ApplyAccepted{Revision: 2}, ExitOK},
		"no change": {config.ApplyNoChange{Revision: 2}, ExitOK},
		"conflict":  {config.ApplyConflict{Current: 3}, ExitConflict},
		"refused":   {config.ApplyRefused{Cause: &manifest.InvalidError{}}, ExitRefused},
		"no shards": {config.ApplyRefused{Cause: &config.NoShardsError{}}, ExitNotMade},
		"not made":  {config.ApplyNotMade{Cause: down}, ExitNotMade},
		"unknown":   {config.ApplyUnknown{Cause: down}, ExitUnknown},
	} {
		d := &fakeDaemon{result: c.result}
		address := []string{serve(t, d)}
		if r := guavarill(address, "apply", file(t, document)); r.code != c.code {
			t.Errorf("apply, %s: exit code %d: %s", name, r.code, r.errOut)
		}
		if r := guavarill(address, "cancel", "web"); r.code != c.code {
			t.Errorf("cancel, %s: exit code %d: %s", name, r.code, r.errOut)
		}
	}
}

func TestWrongUsageSendsNothing(t *testing.T) {
	d := &fakeDaemon{result: config.ApplyAccepted{}}
	address := []string{serve(t, d)}
	path := file(t, document)
	for _, args := range [][]string{
		{},
		{"aply", path},
		{"apply"},
		{"apply", path, "more"},
		{"apply", "--dryrun", path},
		{"apply", "--base=-1", path},
		{"apply", "--wait", "--dry-run", path},
		{"apply", "--wait-for=-1s", path},
		{"--timeout=-1s", "apply", path},
		{"--output=xml", "apply", path},
		{"--daemon=", "apply", path},
		{"cancel"},
		{"standin", "--entry=entry-1"},
		{"demo", "--deployment=other"},
	} {
		if r := guavarill(address, args...); r.code != ExitUsage || r.errOut == "" {
			t.Errorf("%q: exit code %d: %s", args, r.code, r.errOut)
		}
	}
	if r := guavarill(append(address, address...), "drain"); r.code != ExitUsage {
		t.Errorf("drain of two: exit code %d", r.code)
	}
	if len(d.requests) != 0 || d.drains != 0 {
		t.Errorf("%d changes and %d drains reached the daemon", len(d.requests), d.drains)
	}
}

// Guards against a change that is made twice, or is reported as not made although
// it was made. This happens if a connection that breaks after the change was sent
// is treated as one that was never established, and the change is sent to the
// next daemon.
func TestBrokenConnectionIsUnknownAndNotSentOn(t *testing.T) {
	d := &fakeDaemon{result: config.ApplyConflict{Current: 2}}
	addresses := []string{breaking(t), serve(t, d)}
	for _, args := range [][]string{{"apply", file(t, document)}, {"cancel", "web"}} {
		if r := guavarill(addresses, args...); r.code != ExitUnknown || !strings.Contains(r.errOut, "guavarill status") {
			t.Errorf("%s: exit code %d: %s", args[0], r.code, r.errOut)
		}
	}
	if r := guavarill(addresses[:1], "drain"); r.code != ExitUnknown {
		t.Errorf("drain: exit code %d: %s", r.code, r.errOut)
	}
	if len(d.requests) != 0 {
		t.Errorf("%d changes were sent to the second daemon", len(d.requests))
	}
}

func TestChangeGoesToTheFirstDaemonReached(t *testing.T) {
	d := &fakeDaemon{result: config.ApplyAccepted{Revision: 1}}
	if r := guavarill([]string{nobody(t), serve(t, d)}, "apply", file(t, document)); r.code != ExitOK {
		t.Errorf("exit code %d: %s", r.code, r.errOut)
	}
	if len(d.requests) != 1 {
		t.Errorf("the second daemon received %d changes, want 1", len(d.requests))
	}
	for _, args := range [][]string{{"apply", file(t, document)}, {"cancel", "web"}, {"drain"}, {"status"}, {"jobs"}, {"timeline"}} {
		if r := guavarill([]string{nobody(t)}, args...); r.code != ExitNotMade {
			t.Errorf("%s: exit code %d: %s", args[0], r.code, r.errOut)
		}
	}
}

// Guards against a list that looks complete although tasks are missing from it.
// Tasks are missing if a daemon does not respond, a shard has no owner, a shard
// changes its owner between two calls, or no daemon knows the shards yet.
func TestIncompleteListsSaySo(t *testing.T) {
	one, two := twoDaemons()
	first, second := serve(t, one), serve(t, two)
	for _, command := range []string{"status", "jobs", "timeline"} {
		if r := guavarill([]string{first, nobody(t), second}, command); r.code != ExitIncomplete || r.out == "" {
			t.Errorf("%s: exit code %d: %s", command, r.code, r.errOut)
		}
	}
	if r := guavarill([]string{first}, "jobs"); r.code != ExitIncomplete || !strings.Contains(r.errOut, "[1]") {
		t.Errorf("shard without owner: exit code %d: %s", r.code, r.errOut)
	}
	if r := guavarill([]string{first, second}, "jobs"); r.code != ExitOK {
		t.Errorf("all shards: exit code %d: %s", r.code, r.errOut)
	}
	owned, given, again, loading := one.statuses[0], one.statuses[0], one.statuses[0], one.statuses[0]
	given.Owned = nil
	loading.Owned = []daemon.ShardStatus{{Shard: 0, Epoch: 11}}
	again.Owned = []daemon.ShardStatus{{Shard: 0, Loaded: true, Epoch: 13}}
	for name, seen := range map[string][]daemon.Status{
		"given up": {owned, given}, "taken over": {given, owned}, "lost and taken again": {owned, again}, "being loaded": {loading, owned},
	} {
		one.statuses = seen
		if r := guavarill([]string{first, second}, "jobs"); r.code != ExitIncomplete || !strings.Contains(r.errOut, "[0]") {
			t.Errorf("shard %s: exit code %d: %s", name, r.code, r.errOut)
		}
	}
	one.statuses = []daemon.Status{{Daemon: "entry-1"}}
	if r := guavarill([]string{first}, "jobs"); r.code != ExitIncomplete {
		t.Errorf("no shards known: exit code %d: %s", r.code, r.errOut)
	}
}

func TestTwoOwnersCountOnce(t *testing.T) {
	old := tasksResponse{tasks: []daemon.TaskStatus{{Task: "web@1/0", State: "running"}}}
	old.before = daemon.Status{Shards: 1, Owned: []daemon.ShardStatus{{Shard: 0, Loaded: true, Epoch: 4}}}
	old.after = old.before
	fresh := tasksResponse{tasks: []daemon.TaskStatus{{Task: "web@1/0", State: "pending"}}}
	fresh.before = daemon.Status{Shards: 1, Owned: []daemon.ShardStatus{{Shard: 0, Loaded: true, Epoch: 9}}}
	fresh.after = fresh.before
	for _, responses := range [][]tasksResponse{{old, fresh}, {fresh, old}} {
		all := collect(responses)
		if len(all.tasks) != 1 || all.tasks[0].State != "pending" {
			t.Errorf("collected tasks %+v, want one pending task", all.tasks)
		}
	}
}

// Guards against a task that is in no list although it is neither lost nor
// cancelled. This happens if records in the state "moved" are always left out:
// between the move and the other shard's acceptance they are the only records.
func TestMovedTasksAreListed(t *testing.T) {
	response := tasksResponse{tasks: []daemon.TaskStatus{
		{Task: "web@1/0", State: "moved", Shard: 0},
		{Task: "web@1/0", State: "running", Shard: 1},
		{Task: "web@1/1", State: "running", Shard: 0},
		{Task: "web@1/1", State: "moved", Shard: 1},
		{Task: "web@1/2", State: "moved", Shard: 0},
		{Task: "web@1/2", State: "moved", Shard: 1},
	}}
	response.before = daemon.Status{Shards: 2, Owned: []daemon.ShardStatus{{Shard: 0, Loaded: true, Epoch: 4}, {Shard: 1, Loaded: true, Epoch: 5}}}
	response.after = response.before
	states := make(map[string]string)
	for _, task := range collect([]tasksResponse{response}).tasks {
		states[task.Task] += task.State
	}
	want := map[string]string{"web@1/0": "running", "web@1/1": "running", "web@1/2": "moved"}
	if !maps.Equal(states, want) {
		t.Errorf("unexpected task states %v", states)
	}
}

// Guards against a release that proceeds while a daemon still serves the old
// configuration. This happens if --wait covers only daemons in the state "alive":
// a daemon in the state "suspect" may only be slow and still serve callers.
func TestWaitCoversEveryDaemonThatMayServe(t *testing.T) {
	status := func(state string, revision model.Revision) daemon.Status {
		return daemon.Status{Daemon: "entry-1", Revision: 2, Members: []daemon.MemberStatus{
			{ID: "entry-1", State: "alive", Revision: 1},
			{ID: "entry-2", State: state, Revision: revision},
		}}
	}
	d := &fakeDaemon{
		result:   config.ApplyAccepted{Revision: 2},
		statuses: []daemon.Status{status("alive", 1), status("suspect", 1), status("leaving", 1), status("suspect", 2)},
	}
	address := []string{serve(t, d)}
	if r := guavarill(address, "apply", "--wait", file(t, document)); r.code != ExitOK {
		t.Errorf("exit code %d: %s", r.code, r.errOut)
	}
	if len(d.statuses) != 1 {
		t.Errorf("apply --wait returned %d status calls early", len(d.statuses)-1)
	}
	d.statuses = []daemon.Status{status("suspect", 1)}
	r := guavarill(address, "apply", "--wait", "--wait-for=10ms", file(t, document))
	if r.code != ExitIncomplete || !strings.Contains(r.errOut, "on entry-2") {
		t.Errorf("exit code %d: %s", r.code, r.errOut)
	}
	d.statuses = []daemon.Status{status("dead", 1)}
	if r := guavarill(address, "apply", "--wait", file(t, document)); r.code != ExitOK {
		t.Errorf("dead member: exit code %d: %s", r.code, r.errOut)
	}
}

func TestHelpListsExitCodes(t *testing.T) {
	for _, d := range (&app{}).declarations() {
		r := guavarill(nil, d.name, "--help")
		if r.code != ExitOK {
			t.Errorf("%s: exit code %d", d.name, r.code)
		}
		for _, code := range d.codes {
			if !strings.Contains(r.out, exitTexts[code]) {
				t.Errorf("%s: help does not say %q:\n%s", d.name, exitTexts[code], r.out)
			}
		}
	}
}
