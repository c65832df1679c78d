package config

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

func TestAcceptDiffsByWorkload(t *testing.T) {
	first, diff := mustAccept(t, nil, declaring(map[string]int{"a": 1, "b": 1, "c": 1}))
	if d := cmp.Diff(Diff{Added: []string{"a", "b", "c"}, Teams: []string{"t"}}, diff); d != "" {
		t.Error(d)
	}
	second, diff := mustAccept(t, first, declaring(map[string]int{"a": 1, "b": 2, "d": 1}))
	if d := cmp.Diff(Diff{Added: []string{"d"}, Changed: []string{"b"}, Removed: []string{"c"}}, diff); d != "" {
		t.Error(d)
	}
	if a := second.Workloads["a"]; a.Generation != 1 || a.Changed != 1 {
		t.Errorf("unchanged workload became %+v", a)
	}
	if b := second.Workloads["b"]; b.Generation != 2 || b.Changed != 2 || b.Shards != 4 || b.Spec.Tasks != 2 {
		t.Errorf("changed workload became %+v", b)
	}
	same, diff := mustAccept(t, second, declaring(map[string]int{"d": 1, "b": 2, "a": 1}))
	if same != second || !diff.Empty() {
		t.Errorf("the same manifest made revision %d, %+v", same.Revision, diff)
	}
	for i := range second.Manifest.Workloads {
		if spec := &second.Manifest.Workloads[i]; second.Workloads[spec.Name].Spec != spec {
			t.Errorf("%s: an older manifest is kept in memory", spec.Name)
		}
	}
	if d := differ(second, reread(t, second)); d != "" || reread(t, second).Hash() != second.Hash() {
		t.Error("changed by the store: " + d)
	}
	if d := cmp.Diff([]string{"writer-2", "writer-1"}, reread(t, second).Writers); d != "" {
		t.Error(d)
	}
}

// Symptom: a task that never ran is counted as done.
// Sequence: a workload runs to its end, is removed, and its name is declared
// again, directly or after so many other removals that the name is forgotten.
// Cause: its tasks carry the keys of the ended ones.
func TestRetiredNameGetsANewGeneration(t *testing.T) {
	a, _ := mustAccept(t, nil, declaring(map[string]int{"x": 1}))
	a, _ = mustAccept(t, a, declaring(map[string]int{"x": 2}))
	a, _ = mustAccept(t, a, declaring(nil))
	direct, _ := mustAccept(t, a, declaring(map[string]int{"x": 1}))
	if g := direct.Workloads["x"].Generation; g != 3 {
		t.Errorf("generation %d directly after removal, want 3", g)
	}

	others := make(map[string]int)
	for i := range MaxRetired {
		others[fmt.Sprintf("other-%d", i)] = 1
	}
	a, _ = mustAccept(t, a, declaring(others))
	a, _ = mustAccept(t, a, declaring(nil))
	if _, kept := a.Retired["x"]; kept || len(a.Retired) != MaxRetired {
		t.Fatalf("%d retired names, x kept: %v", len(a.Retired), kept)
	}
	a = reread(t, a)
	back, _ := mustAccept(t, a, declaring(map[string]int{"x": 1}))
	if g := back.Workloads["x"].Generation; g <= 2 {
		t.Errorf("generation %d after being forgotten, had 2 before", g)
	}
}

func TestCancelEndsAGenerationOnce(t *testing.T) {
	m := declaring(map[string]int{"a": 1, "b": 1})
	first, _ := mustAccept(t, nil, m)
	cancelled, diff := mustCancel(t, first, "b", "a", "b")
	if d := cmp.Diff(Diff{Cancelled: []string{"a", "b"}}, diff); d != "" || cancelled.Revision != 2 {
		t.Error(d, cancelled.Revision)
	}
	if again, diff := mustCancel(t, cancelled, "a"); again != cancelled || !diff.Empty() {
		t.Error("a second cancellation changed something")
	}
	if resent, _ := mustAccept(t, cancelled, m); resent != cancelled {
		t.Error("sending the same manifest brought cancelled work back")
	}
	changed, _ := mustAccept(t, cancelled, declaring(map[string]int{"a": 2, "b": 1}))
	if a, b := changed.Workloads["a"], changed.Workloads["b"]; a.Cancelled || a.Generation != 2 || !b.Cancelled {
		t.Errorf("a %+v, b %+v", a, b)
	}
	if first.Workloads["a"].Cancelled {
		t.Error("an accepted configuration was changed in place")
	}
}

func TestRefusals(t *testing.T) {
	current, _ := mustAccept(t, nil, declaring(map[string]int{"a": 1}))
	elsewhere := declaring(map[string]int{"a": 1})
	elsewhere.Cluster = "d"
	var invalid *manifest.InvalidError
	var noShards *NoShardsError
	var badWriter *WriterError
	var conflict *ConflictError

	_, _, err := Accept(current, elsewhere, 1, "w")
	if !errors.As(err, &invalid) || invalid.Problems[0].Reason != manifest.ReasonOtherCluster {
		t.Error(err)
	}
	_, _, err = Accept(current, declaring(map[string]int{"a": 0}), 1, "w")
	if !errors.As(err, &invalid) || invalid.Problems[0].Path != "workloads[0].tasks" {
		t.Error(err)
	}
	_, _, err = Accept(current, declaring(nil), 0, "w")
	if !errors.As(err, &noShards) {
		t.Error(err)
	}
	for _, writer := range []string{"", "a b", "a\xff"} {
		if _, _, err = Accept(current, declaring(nil), 1, writer); !errors.As(err, &badWriter) {
			t.Error(writer, err)
		}
	}
	_, _, err = Cancel(current, []string{"a", "nobody"}, "w")
	if !errors.As(err, &invalid) || len(invalid.Problems) != 1 || invalid.Problems[0].Path != "names[1]" {
		t.Error(err)
	}
	if err := CheckBase(current, 2); !errors.As(err, &conflict) || conflict.Current != 1 {
		t.Error(err)
	}
}

func TestDecodeRefusesWhatDoesNotFit(t *testing.T) {
	a, _ := mustAccept(t, nil, declaring(map[string]int{"a": 1, "b": 1}))
	for name, damage := range map[string]func(*ledgerv1.Manifest){
		"revision":  func(m *ledgerv1.Manifest) { m.Revision = 0 },
		"document":  func(m *ledgerv1.Manifest) { m.Document = m.Document[1:] },
		"missing":   func(m *ledgerv1.Manifest) { m.Workloads = m.Workloads[1:] },
		"twice":     func(m *ledgerv1.Manifest) { m.Workloads[1] = m.Workloads[0] },
		"two fates": func(m *ledgerv1.Manifest) { m.Retired = slices.Clone(m.Workloads[:1]) },
	} {
		m := proto.CloneOf(a.Encode())
		damage(m)
		_, err := Decode(m)
		var failed *DecodeError
		if !errors.As(err, &failed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Symptom: a manifest that was found valid can't be stored.
// Sequence: the longest names, every one new, on top of a full list of retired
// names and of writers; either many small workloads or few large ones.
// Cause: the room kept for what surrounds the document being too small.
func TestLargestManifestFitsTheStore(t *testing.T) {
	for _, argBytes := range []int{0, 8 << 10} {
		want := largest(argBytes)
		next, _ := mustAccept(t, fullEnvelope(t), want)
		if size := proto.Size(next.Encode()); size > port.MaxValueBytes || size < port.MaxValueBytes*9/10 {
			t.Errorf("%d bytes for the largest manifest of %d workloads", size, len(want.Workloads))
		}
	}
}

func longName(prefix string, i int) string {
	return fmt.Sprintf("%s%0*d", prefix, manifest.MaxNameBytes-1, i)
}

// largest returns the most workloads that are found valid.
func largest(argBytes int) *manifest.Manifest {
	tasks := make(map[string]int)
	for i := range 5000 {
		tasks[longName("n", i)] = 1
	}
	m := declaring(tasks)
	if argBytes > 0 {
		for i := range m.Workloads {
			m.Workloads[i].Args = []string{strings.Repeat("x", argBytes)}
		}
	}
	all := m.Workloads
	valid := sort.Search(len(all), func(n int) bool {
		m.Workloads = all[:n+1]
		return m.Check() != nil
	})
	m.Workloads = all[:valid]
	return m
}

// fullEnvelope returns a configuration whose workloads, once removed, fill the
// list of retired names.
func fullEnvelope(t *testing.T) *Accepted {
	tasks := make(map[string]int)
	for i := range MaxRetired {
		tasks[longName("o", i)] = 1
	}
	a, _ := mustAccept(t, nil, declaring(tasks))
	a.Revision, a.GenerationFloor = 1<<62, 1<<62
	for name, w := range a.Workloads {
		w.Generation = 1 << 62
		a.Workloads[name] = w
	}
	for range MaxWriters {
		a.Writers = append(a.Writers, fmt.Sprintf("%0*d", maxWriterBytes, 1))
	}
	return a
}

func TestWriterOf(t *testing.T) {
	var a *Accepted
	for i := range MaxWriters + 2 {
		a, _ = mustAccept(t, a, declaring(map[string]int{"a": i + 1}))
	}
	for revision, want := range map[model.Revision]string{18: "writer-18", 3: "writer-3", 2: "", 19: ""} {
		if got, known := a.WriterOf(revision); got != want || known != (want != "") {
			t.Errorf("revision %d: %q, %v", revision, got, known)
		}
	}
}
