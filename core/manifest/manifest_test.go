package manifest_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/examples"
)

const small = `
cluster: c
teams: [{name: t}]
workloads:
- {name: b, team: t, kind: batch, size: {milliCPU: 1, memoryMB: 1}, tasks: 1, runTime: 90s}
- {name: a, team: t, kind: service, size: {milliCPU: 1, memoryMB: 1}, tasks: 2, slots: 8, connections: 60}
`

func parse(t *testing.T, text string) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func problemsOf(t *testing.T, text string) []manifest.Problem {
	t.Helper()
	_, err := manifest.Parse([]byte(text))
	var refused *manifest.InvalidError
	if !errors.As(err, &refused) {
		t.Fatalf("error %v, want an InvalidError", err)
	}
	return refused.Problems
}

func TestEveryProblemIsListed(t *testing.T) {
	text, err := os.ReadFile("testdata/wrong.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, p := range problemsOf(t, string(text)) {
		fmt.Fprintln(&out, p)
	}
	goldie.New(t).Assert(t, "wrong", out.Bytes())
}

// A second YAML document must be rejected. A pipeline joins two manifests with a
// line ---, and the decoder stops at the end of the first document, so the release
// would remove the workloads of the second.
func TestSecondDocumentIsRefused(t *testing.T) {
	for _, text := range []string{
		small + "---\n" + small,
		"--- \n" + small + "...\ncluster: d\n",
		"--- {cluster: c}\n---\n" + small,
	} {
		got := problemsOf(t, text)
		if len(got) != 1 || got[0].Reason != manifest.ReasonManyDocuments {
			t.Errorf("%v for %q", got, text)
		}
	}
	parse(t, "# comment\n%YAML 1.1\n---\n"+small)
}

func TestProblemsOfTheWholeText(t *testing.T) {
	for text, want := range map[string]manifest.Reason{
		"cluster: [":                 manifest.ReasonSyntax,
		small + "cluster: d\n":       manifest.ReasonRepeatedField,
		strings.Repeat("#", 1+4<<20): manifest.ReasonTooLarge,
		"[]":                         manifest.ReasonWrongType,
		"":                           manifest.ReasonWrongType,
		strings.Replace(small, "c\n", "c/d\n", 1): manifest.ReasonBadName,
	} {
		if got := problemsOf(t, text); got[0].Reason != want {
			t.Errorf("%.20q: %v, want %s", text, got, want)
		}
	}
}

// A manifest that is too large to be stored, or to be sent between daemons, must
// be rejected. Workloads are added until a limit is reached: that of the stored
// size, with declarations that do not compress, or that of the encoded size.
// Checking the size of the text, or only one of the two sizes, is not enough.
func TestManifestBeyondTheStoreIsRefused(t *testing.T) {
	for _, c := range []struct {
		name            string
		count, argBytes int
		detail          string
	}{
		{"encoded", 16_000, 0, "when encoded"},
		{"stored", 200, 8 << 10, "in the store"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := manifestWithWorkloads(t, c.count, c.argBytes)
			fits := func(n int) bool {
				part := *m
				part.Workloads = m.Workloads[:n]
				err := part.Check()
				var refused *manifest.InvalidError
				if errors.As(err, &refused) && refused.Problems[0].Reason != manifest.ReasonTooLarge {
					t.Fatal(err)
				}
				return err == nil
			}
			if !fits(2) || fits(c.count) {
				t.Fatalf("2 workloads fit: %v; %d fit: %v", fits(2), c.count, fits(c.count))
			}
			got := problemsOf(t, string(m.Normalised().Canonical()))
			if got[0].Reason != manifest.ReasonTooLarge || !strings.Contains(got[0].Detail, c.detail) {
				t.Error(got)
			}
		})
	}
}

// manifestWithWorkloads returns a manifest of n workloads. Each generated one has
// an argument of argBytes random characters, or none if argBytes is 0.
func manifestWithWorkloads(t *testing.T, n, argBytes int) *manifest.Manifest {
	m := parse(t, small)
	random := rand.New(rand.NewPCG(1, 2))
	for len(m.Workloads) < n {
		w := m.Workloads[0]
		w.Name = fmt.Sprintf("w-%d", len(m.Workloads))
		if argBytes > 0 {
			arg := make([]byte, argBytes)
			for i := range arg {
				arg[i] = byte(' ' + random.IntN('~'-' '))
			}
			w.Args = []string{string(arg)}
		}
		m.Workloads = append(m.Workloads, w)
	}
	return m
}

func TestCanonicalIsStable(t *testing.T) {
	m := parse(t, small)
	reordered := parse(t, `{"workloads": [
	  {"tasks": 2, "team": "t", "connections": 60, "slots": 8, "size": {"memoryMB": 1, "milliCPU": 1}, "kind": "service", "name": "a", "priority": "normal", "args": []},
	  {"name": "b", "class": "b", "team": "t", "kind": "batch", "size": {"milliCPU": 1, "memoryMB": 1}, "tasks": 1, "runTime": "1m30s"}],
	  "teams": [{"name": "t"}], "cluster": "c"}`)
	if diff := cmp.Diff(string(m.Canonical()), string(reordered.Canonical())); diff != "" {
		t.Error(diff)
	}
	loaded, err := manifest.Load(m.Canonical())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m, loaded); diff != "" {
		t.Error(diff)
	}
	goldie.New(t).Assert(t, "canonical", m.Canonical())
}

func TestLoadRejectsInvalidDocuments(t *testing.T) {
	document := parse(t, small).Canonical()
	for _, bad := range [][]byte{
		bytes.Replace(document, []byte(`"cluster"`), []byte(`"newField":1,"cluster"`), 1),
		bytes.Replace(document, []byte(`"1m30s"`), []byte(`"1m30"`), 1),
		document[:len(document)-1],
		append(slices.Clone(document), '{'),
	} {
		_, err := manifest.Load(bad)
		var failed *manifest.LoadError
		if !errors.As(err, &failed) {
			t.Errorf("error %v for %s", err, bad)
		}
	}
}

func TestTasksAreAssignedOnce(t *testing.T) {
	for _, c := range []struct{ tasks, shards uint32 }{{0, 3}, {1, 1}, {7, 3}, {2, 5}, {1000, 7}, {50, 220}} {
		for _, name := range []string{"order-service", "a", "zz-9"} {
			seen := make(map[uint32]model.ShardID)
			for shard := range c.shards {
				for i := range manifest.TasksOf(name, c.tasks, c.shards, model.ShardID(shard)) {
					if other, twice := seen[i]; twice {
						t.Fatalf("%s/%d in shards %d and %d", name, i, other, shard)
					}
					seen[i] = model.ShardID(shard)
					if home := manifest.HomeShard(name, i, c.shards); home != model.ShardID(shard) {
						t.Fatalf("%s/%d: HomeShard %d, TasksOf %d", name, i, home, shard)
					}
				}
			}
			if len(seen) != int(c.tasks) {
				t.Errorf("%s: %d of %d tasks assigned to %d shards", name, len(seen), c.tasks, c.shards)
			}
		}
	}
}

func TestExamplesParse(t *testing.T) {
	for cluster, text := range map[string][]byte{"agency": examples.Agency(), "pindan": examples.Pindan()} {
		m := parse(t, string(text))
		if m.Cluster != cluster || len(m.Workloads) < 2 {
			t.Errorf("cluster %q, %d workloads", m.Cluster, len(m.Workloads))
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add(examples.Agency())
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := manifest.Parse(text)
		if err != nil {
			return
		}
		again, err := manifest.Parse(m.Canonical())
		if err != nil {
			t.Fatalf("canonical form rejected: %v", err)
		}
		if !bytes.Equal(m.Canonical(), again.Canonical()) {
			t.Fatal("canonical form changes when read again")
		}
	})
}
