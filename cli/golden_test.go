package cli

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
)

func twoDaemons() (*fakeDaemon, *fakeDaemon) {
	members := []daemon.MemberStatus{
		{ID: "entry-1", State: "alive", Zone: "a", Address: "10.0.0.1:8082", Revision: 3},
		{ID: "entry-2", State: "alive", Zone: "b", Address: "10.0.0.2:8082", Revision: 3},
	}
	start := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	one := &fakeDaemon{
		statuses: []daemon.Status{{
			Daemon: "entry-1", Zone: "a", Cluster: "c", Serving: true, Revision: 3, Shards: 2, Members: members,
			Cordons: cordon.Zones{"a": 17, "c": 9},
			Owned: []daemon.ShardStatus{{Shard: 0, Loaded: true, Epoch: 11, Workers: []daemon.WorkerStatus{{
				ID: "worker-00", Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 61440},
				Committed: model.Resources{MilliCPU: 4000, MemoryMB: 8192}, Tasks: 1, Leaving: true, Cordoned: true,
			}}}},
		}},
		tasks: []daemon.TaskStatus{
			{Task: "web@1/0", Workload: "web", Team: "t", Service: true, State: "running", Attempt: 1, Worker: "worker-00"},
			{Task: "night@1/0", Workload: "night", Team: "t", State: "moved", Attempt: 0},
		},
		events: []timeline.Event{{Time: start, Sequence: 1, Process: "entry-1", Kind: timeline.DaemonStarted}},
	}
	two := &fakeDaemon{
		statuses: []daemon.Status{{
			Daemon: "entry-2", Zone: "b", Cluster: "c", Revision: 3, Shards: 2, Members: members,
			Reason: "entry takes no requests: starting", StoreSilent: true,
			Owned: []daemon.ShardStatus{{Shard: 1, Loaded: true, Epoch: 12, Workers: []daemon.WorkerStatus{{
				ID: "worker-01", Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 61440},
				Unreachable: true, Quarantine: "quarantined",
			}}}},
		}},
		tasks: []daemon.TaskStatus{
			{Task: "night@1/0", Workload: "night", Team: "t", State: "pending", Evictions: 1, Reason: "no worker has room", Shard: 1},
			{Task: "night@1/1", Workload: "night", Team: "t", State: "failed", Attempt: 4, Failures: 4, Reason: "attempts exhausted", Shard: 1},
		},
		events: []timeline.Event{{
			Time: start.Add(time.Second), Sequence: 7, Process: "entry-2", Kind: timeline.ShardAcquired,
			Shard: timeline.ShardPtr(1), Epoch: 12,
		}},
	}
	return one, two
}

func TestOutput(t *testing.T) {
	refused := &manifest.InvalidError{Problems: []manifest.Problem{
		{Path: "workloads[0].name", Reason: manifest.ReasonDuplicate, Detail: "web"},
	}}
	diff := config.Diff{Added: []string{"night"}, Changed: []string{"web"}, Teams: []string{"t"}}
	for _, c := range []struct {
		name   string
		result config.ApplyResult
		args   []string
	}{
		{"apply-accepted", config.ApplyAccepted{Revision: 3, Diff: diff}, []string{"apply", "--wait", "FILE"}},
		{"apply-json", config.ApplyAccepted{Revision: 3, Diff: diff}, []string{"apply", "--wait", "-o", "json", "FILE"}},
		{"apply-refused", config.ApplyRefused{Problems: refused.Problems, Cause: refused}, []string{"apply", "FILE"}},
		{"apply-dry-run", nil, []string{"apply", "--dry-run", "CHANGED"}},
		{"apply-dry-run-json", nil, []string{"apply", "--dry-run", "-o", "json", "CHANGED"}},
		{"validate-valid", nil, []string{"validate", "FILE"}},
		{"validate-wrong", nil, []string{"validate", "WRONG"}},
		{"validate-json", nil, []string{"validate", "-o", "json", "WRONG"}},
		{"cancel", config.ApplyAccepted{Revision: 4, Diff: config.Diff{Cancelled: []string{"night"}}}, []string{"cancel", "night"}},
		{"cordon", nil, []string{"cordon", "a"}},
		{"cordon-list", nil, []string{"cordon"}},
		{"cordon-list-json", nil, []string{"cordon", "-o", "json"}},
		{"uncordon", nil, []string{"uncordon", "a"}},
		{"status", nil, []string{"status", "--workers"}},
		{"status-json", nil, []string{"status", "-o", "json"}},
		{"jobs", nil, []string{"jobs"}},
		{"jobs-json", nil, []string{"jobs", "-o", "json"}},
		{"tasks", nil, []string{"jobs", "--tasks"}},
		{"timeline", nil, []string{"timeline"}},
		{"timeline-json", nil, []string{"timeline", "-o", "json"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			one, two := twoDaemons()
			one.result, one.current = c.result, accepted(t, document)
			files := map[string]string{"FILE": file(t, document), "CHANGED": file(t, changed), "WRONG": file(t, wrong)}
			for i, arg := range c.args {
				if path, named := files[arg]; named {
					c.args[i] = path
				}
			}
			r := guavarill([]string{serve(t, one), serve(t, two)}, c.args...)
			text := fmt.Sprintf("%s-- standard error --\n%s-- exit code %d --\n", r.out, r.errOut, r.code)
			goldie.New(t).Assert(t, c.name, []byte(text))
		})
	}
}

const changed = `
cluster: c
teams: [{name: t}]
workloads:
  - {name: web, team: t, kind: service, class: web, priority: urgent, tasks: 3,
     size: {milliCPU: 500, memoryMB: 512}, slots: 8, connections: 60, maxQueue: 10}
`

const wrong = `
cluster: c
teams: [{name: t}]
workloads:
  - {name: web, team: t, kind: service, class: web, priority: urgent, tasks: 2, replicas: 3,
     size: {milliCPU: 99999999, memoryMB: 256}, slots: 8, connections: 60, timeout: -2s}
  - {name: web, team: t, kind: batch, class: night, priority: low, tasks: 4,
     size: {milliCPU: 1000, memoryMB: 512}}
`
