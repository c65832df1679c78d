package config

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
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
	first, diff := mustAccept(t, nil, manifestWith(map[string]int{"a": 1, "b": 1, "c": 1}))
	if d := cmp.Diff(Diff{Added: []string{"a", "b", "c"}, Teams: []string{"t"}}, diff); d != "" {
		t.Error(d)
	}
	second, diff := mustAccept(t, first, manifestWith(map[string]int{"a": 1, "b": 2, "d": 1}))
	if d := cmp.Diff(Diff{Added: []string{"d"}, Changed: []string{"b"}, Removed: []string{"c"}}, diff); d != "" {
		t.Error(d)
	}
	if a := second.Workloads["a"]; a.Generation != 1 || a.Changed != 1 {
		t.Errorf("unchanged workload is now %+v", a)
	}
	if b := second.Workloads["b"]; b.Generation != 2 || b.Changed != 2 || b.Shards != 4 || b.Spec.Tasks != 2 {
		t.Errorf("changed workload is now %+v", b)
	}
	same, diff := mustAccept(t, second, manifestWith(map[string]int{"d": 1, "b": 2, "a": 1}))
	if same != second || !diff.Empty() {
		t.Errorf("the same manifest made revision %d, %+v", same.Revision, diff)
	}
	for i := range second.Manifest.Workloads {
		if spec := &second.Manifest.Workloads[i]; second.Workloads[spec.Name].Spec != spec {
			t.Errorf("%s: the declaration belongs to an older manifest", spec.Name)
		}
	}
	if d := diffConfigs(second, roundTrip(t, second)); d != "" || roundTrip(t, second).Hash() != second.Hash() {
		t.Error("changed by encoding and decoding: " + d)
	}
	if d := cmp.Diff([]string{"writer-2", "writer-1"}, roundTrip(t, second).Writers); d != "" {
		t.Error(d)
	}
}

// A task that never ran must not count as done. A workload completes, is
// removed, and its name is declared again, either directly or after so many other
// removals that the name is no longer listed. With a reused generation its tasks
// would have the keys of the completed ones.
func TestRetiredNameGetsANewGeneration(t *testing.T) {
	a, _ := mustAccept(t, nil, manifestWith(map[string]int{"x": 1}))
	a, _ = mustAccept(t, a, manifestWith(map[string]int{"x": 2}))
	a, _ = mustAccept(t, a, manifestWith(nil))
	direct, _ := mustAccept(t, a, manifestWith(map[string]int{"x": 1}))
	if g := direct.Workloads["x"].Generation; g != 3 {
		t.Errorf("generation %d directly after removal, want 3", g)
	}

	others := make(map[string]int)
	for i := range MaxRetired {
		others[fmt.Sprintf("other-%d", i)] = 1
	}
	a, _ = mustAccept(t, a, manifestWith(others))
	a, _ = mustAccept(t, a, manifestWith(nil))
	if _, kept := a.Retired["x"]; kept || len(a.Retired) != MaxRetired {
		t.Fatalf("%d retired names, x kept: %v", len(a.Retired), kept)
	}
	a = roundTrip(t, a)
	back, _ := mustAccept(t, a, manifestWith(map[string]int{"x": 1}))
	if g := back.Workloads["x"].Generation; g <= 2 {
		t.Errorf("generation %d after removal from the retired names, had 2 before", g)
	}
}

func TestCancelEndsAGenerationOnce(t *testing.T) {
	m := manifestWith(map[string]int{"a": 1, "b": 1})
	first, _ := mustAccept(t, nil, m)
	cancelled, diff := mustCancel(t, first, "b", "a", "b")
	if d := cmp.Diff(Diff{Cancelled: []string{"a", "b"}}, diff); d != "" || cancelled.Revision != 2 {
		t.Error(d, cancelled.Revision)
	}
	if again, diff := mustCancel(t, cancelled, "a"); again != cancelled || !diff.Empty() {
		t.Error("a second cancellation changed something")
	}
	if resent, _ := mustAccept(t, cancelled, m); resent != cancelled {
		t.Error("accepting the same manifest resumed cancelled workloads")
	}
	changed, _ := mustAccept(t, cancelled, manifestWith(map[string]int{"a": 2, "b": 1}))
	if a, b := changed.Workloads["a"], changed.Workloads["b"]; a.Cancelled || a.Generation != 2 || !b.Cancelled {
		t.Errorf("a %+v, b %+v", a, b)
	}
	if first.Workloads["a"].Cancelled {
		t.Error("an accepted configuration was modified")
	}
}

func TestAcceptAndCancelErrors(t *testing.T) {
	current, _ := mustAccept(t, nil, manifestWith(map[string]int{"a": 1}))
	elsewhere := manifestWith(map[string]int{"a": 1})
	elsewhere.Cluster = "d"
	var invalid *manifest.InvalidError
	var noShards *NoShardsError
	var badWriter *WriterError
	var conflict *ConflictError

	_, _, err := Accept(current, elsewhere, 1, "w")
	if !errors.As(err, &invalid) || invalid.Problems[0].Reason != manifest.ReasonOtherCluster {
		t.Error(err)
	}
	_, _, err = Accept(current, manifestWith(map[string]int{"a": 0}), 1, "w")
	if !errors.As(err, &invalid) || invalid.Problems[0].Path != "workloads[0].tasks" {
		t.Error(err)
	}
	_, _, err = Accept(current, manifestWith(nil), 0, "w")
	if !errors.As(err, &noShards) {
		t.Error(err)
	}
	for _, writer := range []string{"", "a b", "a\xff"} {
		if _, _, err = Accept(current, manifestWith(nil), 1, writer); !errors.As(err, &badWriter) {
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

func TestDecodeRejectsInconsistentRecords(t *testing.T) {
	a, _ := mustAccept(t, nil, manifestWith(map[string]int{"a": 1, "b": 1}))
	for name, damage := range map[string]func(*ledgerv1.Manifest){
		"revision":                  func(m *ledgerv1.Manifest) { m.Revision = 0 },
		"document":                  func(m *ledgerv1.Manifest) { m.Document = m.Document[1:] },
		"missing record":            func(m *ledgerv1.Manifest) { m.Workloads = m.Workloads[1:] },
		"duplicate record":          func(m *ledgerv1.Manifest) { m.Workloads[1] = m.Workloads[0] },
		"both accepted and retired": func(m *ledgerv1.Manifest) { m.Retired = slices.Clone(m.Workloads[:1]) },
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

// A manifest that passes the checks must fit into the store and into a message
// between daemons. It fails to if the space reserved for the fields beside the
// document is too small. The manifests come on top of full lists of retired names
// and of writers: many small workloads, which compress well, and many with the
// longest names or few with large arguments, both of which compress badly.
func TestLargestManifestFitsTheStore(t *testing.T) {
	for _, c := range []struct {
		name                    string
		shape                   workloadShape
		leastEncoded, leastKept int
	}{
		{"many small", workloadShape{workloads: 24_000, nameBytes: 8}, manifest.MaxEncodedBytes * 9 / 10, 0},
		{"longest names", workloadShape{workloads: 12_000, nameBytes: manifest.MaxNameBytes}, manifest.MaxEncodedBytes / 2, 0},
		{"large arguments", incompressible, 0, port.MaxValueBytes * 9 / 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := largest(c.shape)
			if len(want.Workloads) == c.shape.workloads {
				t.Fatal("all workloads fit")
			}
			next, _ := mustAccept(t, fullEnvelope(t), want)
			value, err := next.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			encoded := proto.Size(next.Encode())
			t.Logf("%d workloads: %d bytes encoded, %d stored", len(want.Workloads), encoded, len(value))
			if encoded > manifest.MaxEncodedBytes || encoded < c.leastEncoded {
				t.Errorf("%d bytes encoded", encoded)
			}
			if len(value) > port.MaxValueBytes || len(value) < c.leastKept {
				t.Errorf("%d bytes stored", len(value))
			}
		})
	}
}

// An accepted manifest must fit into a value of the store, or it could never be
// written. Declarations that do not compress can be within the limit of the
// encoded configuration and still exceed that of a stored value.
func TestIncompressibleManifestIsRefused(t *testing.T) {
	m := largest(incompressible)
	n := len(m.Workloads)
	m.Workloads = m.Workloads[:n+1]
	if size := len(m.Normalised().Canonical()); size > manifest.MaxDocumentBytes*2/3 {
		t.Fatalf("%d bytes are too large without compression", size)
	}
	_, _, err := Accept(nil, m, 4, "w")
	var refused *manifest.InvalidError
	if !errors.As(err, &refused) || refused.Problems[0].Reason != manifest.ReasonTooLarge {
		t.Fatalf("%d workloads: %v", n+1, err)
	}
	if !strings.Contains(refused.Problems[0].Detail, "in the store") {
		t.Errorf("detail %q", refused.Problems[0].Detail)
	}
}

// Unmarshal must read an uncompressed value, as earlier versions stored it, or a
// daemon started after an upgrade has no configuration. A value with changed,
// missing or added bytes, or one that decompresses to more than the limit, must
// return an error: it must neither crash the daemon nor be accepted.
func TestStoredValues(t *testing.T) {
	a, _ := mustAccept(t, nil, manifestWith(map[string]int{"a": 1, "b": 1}))
	value, err := a.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	again, err := roundTrip(t, a).Marshal()
	if err != nil || !bytes.Equal(value, again) {
		t.Errorf("different value for the same configuration: %v", err)
	}
	plain, err := proto.Marshal(a.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for name, stored := range map[string][]byte{"compressed": value, "plain": plain} {
		back, err := Unmarshal(port.KeyValue{Value: stored, ModRevision: 1})
		if err != nil || diffConfigs(a, back) != "" || !slices.Equal(back.Writers, a.Writers) {
			t.Errorf("%s: %v", name, err)
		}
	}
	flipped := slices.Clone(value)
	flipped[len(flipped)/2] ^= 1
	document := manifest.Compress(protoDocument(t, a))
	for _, c := range []struct {
		name  string
		value []byte
		kind  DecodeErrorKind
	}{
		{"flipped", flipped, DecodeCompression},
		{"truncated", value[:len(value)-1], DecodeCompression},
		{"header only", value[:2], DecodeCompression},
		{"trailing byte", append(slices.Clone(value), 1), DecodeCompression},
		{"first member only", document, DecodeRevision},
		{"decompresses beyond the limit", manifest.Compress(make([]byte, manifest.MaxEncodedBytes+1)), DecodeCompression},
		{"not a message", []byte("manifest"), DecodeEnvelope},
	} {
		_, err := Unmarshal(port.KeyValue{Value: c.value, ModRevision: 1})
		var failed *DecodeError
		if !errors.As(err, &failed) || failed.Kind != c.kind {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	var long *manifest.TooLargeError
	if _, err := manifest.Decompress(value, 10); !errors.As(err, &long) || long.MaxBytes != 10 {
		t.Error(err)
	}
}

func protoDocument(t *testing.T, a *Accepted) []byte {
	encoded, err := proto.Marshal(&ledgerv1.Manifest{Document: a.Manifest.Canonical()})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestHead(t *testing.T) {
	value, err := MarshalHead(7)
	if err != nil || len(value) > 16 {
		t.Fatal(value, err)
	}
	for _, c := range []struct {
		kv   port.KeyValue
		want model.Revision
		kind DecodeErrorKind
	}{
		{port.KeyValue{Value: value, ModRevision: 1}, 7, ""},
		{port.KeyValue{}, 0, ""},
		{port.KeyValue{Value: nil, ModRevision: 1}, 0, DecodeRevision},
		{port.KeyValue{Value: []byte("7"), ModRevision: 1}, 0, DecodeEnvelope},
	} {
		got, err := UnmarshalHead(c.kv)
		var failed *DecodeError
		if got != c.want || (c.kind == "") != (err == nil) || errors.As(err, &failed) && failed.Kind != c.kind {
			t.Errorf("%v: %d, %v", c.kv, got, err)
		}
	}
}

// longName returns a name of n bytes that hardly compresses.
func longName(prefix string, i, n int) string {
	name := fmt.Sprintf("%s%05d", prefix, i)
	return name + randomText(uint64(i), n-len(name), "abcdefghijklmnopqrstuvwxyz0123456789")
}

// randomText returns n random characters of alphabet, which are the same for equal
// seeds.
func randomText(seed uint64, n int, alphabet string) string {
	random := rand.New(rand.NewPCG(seed, 0))
	text := make([]byte, n)
	for i := range text {
		text[i] = alphabet[random.IntN(len(alphabet))]
	}
	return string(text)
}

// printable returns every printable ASCII character that JSON encodes as one
// byte.
func printable() string {
	var chars []byte
	for c := byte(' '); c <= '~'; c++ {
		if !strings.ContainsRune("\"\\<>&", rune(c)) {
			chars = append(chars, c)
		}
	}
	return string(chars)
}

// workloadShape describes the workloads of a generated manifest.
type workloadShape struct{ workloads, nameBytes, argBytes int }

var incompressible = workloadShape{workloads: 400, nameBytes: manifest.MaxNameBytes, argBytes: 8 << 10}

// largest returns a manifest with as many workloads of a shape as are valid. The
// capacity of the slice of workloads holds the remaining ones.
func largest(s workloadShape) *manifest.Manifest {
	tasks := make(map[string]int)
	for i := range s.workloads {
		tasks[longName("n", i, s.nameBytes)] = 1
	}
	m := manifestWith(tasks)
	if s.argBytes > 0 {
		for i := range m.Workloads {
			m.Workloads[i].Args = []string{randomText(uint64(i), s.argBytes, printable())}
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

// fullEnvelope returns a configuration with the longest list of writers, whose
// workloads fill the list of retired names once they are removed. Its numbers have
// long encodings.
func fullEnvelope(t *testing.T) *Accepted {
	tasks := make(map[string]int)
	for i := range MaxRetired {
		tasks[longName("o", i, manifest.MaxNameBytes)] = 1
	}
	a, _ := mustAccept(t, nil, manifestWith(tasks))
	a.Revision, a.GenerationFloor = 1<<62, 1<<62
	for name, w := range a.Workloads {
		w.Generation = 1 << 62
		a.Workloads[name] = w
	}
	for i := range MaxWriters {
		a.Writers = append(a.Writers, randomText(uint64(i), maxWriterBytes, "0123456789abcdef"))
	}
	return a
}

func TestWriterOf(t *testing.T) {
	var a *Accepted
	for i := range MaxWriters + 2 {
		a, _ = mustAccept(t, a, manifestWith(map[string]int{"a": i + 1}))
	}
	for revision, want := range map[model.Revision]string{18: "writer-18", 3: "writer-3", 2: "", 19: ""} {
		if got, known := a.WriterOf(revision); got != want || known != (want != "") {
			t.Errorf("revision %d: %q, %v", revision, got, known)
		}
	}
}
