package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// manifestWith returns a manifest with one batch job for each name in tasks, which
// gives its number of tasks.
func manifestWith(tasks map[string]int) *manifest.Manifest {
	m := &manifest.Manifest{Cluster: "c", Teams: []manifest.Team{{Name: "t"}}}
	for _, name := range slices.Sorted(maps.Keys(tasks)) {
		m.Workloads = append(m.Workloads, manifest.Workload{
			Name: name, Team: "t", Kind: model.KindBatch,
			Size: model.Resources{MilliCPU: 500, MemoryMB: 512}, Tasks: tasks[name],
		})
	}
	return m
}

func mustAccept(t testing.TB, current *Accepted, m *manifest.Manifest) (*Accepted, Diff) {
	t.Helper()
	next, diff, err := Accept(current, m, 4, fmt.Sprintf("writer-%d", revisionOf(current)+1))
	if err != nil {
		t.Fatal(err)
	}
	return next, diff
}

func mustCancel(t testing.TB, current *Accepted, names ...string) (*Accepted, Diff) {
	t.Helper()
	next, diff, err := Cancel(current, names, fmt.Sprintf("writer-%d", revisionOf(current)+1))
	if err != nil {
		t.Fatal(err)
	}
	return next, diff
}

// diffConfigs returns the difference between two configurations, or an empty
// string. It ignores the writers, which deltas do not include.
func diffConfigs(a, b *Accepted) string {
	ea, eb := a.Encode(), b.Encode()
	ea.Writer, eb.Writer = "", ""
	if proto.Equal(ea, eb) {
		return ""
	}
	return cmp.Diff(ea, eb, protocmp.Transform())
}

func roundTrip(t testing.TB, a *Accepted) *Accepted {
	t.Helper()
	m := proto.CloneOf(a.Encode())
	back, err := Decode(m)
	if err != nil {
		t.Fatal(err)
	}
	return back
}
