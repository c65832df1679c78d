package capacity

import (
	"bytes"
	"flag"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the page")

const pageFile = "../docs/CAPACITY.md"

// Symptom: the page promises what the slopes do not give.
// Sequence: a slope is measured anew, or the model changes, and the page is
// left as it was. Cause: figures are kept in two places.
func TestPageSaysWhatIsComputed(t *testing.T) {
	want, err := Page()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(pageFile, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d differs; run go test ./capacity -update\npage:     %s\ncomputed: %s", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("page has %d lines, computed %d; run go test ./capacity -update", len(gotLines), len(wantLines))
}

// Symptom: a slope cannot be measured again.
// Sequence: its benchmark or metric is renamed or removed. Cause: the page
// names benchmarks that nothing ties to the code.
func TestSlopesNameBenchmarksThatExist(t *testing.T) {
	seen := make(map[Name]bool)
	for _, s := range Slopes() {
		if seen[s.Name] {
			t.Errorf("%s is listed twice", s.Name)
		}
		seen[s.Name] = true
		if s.Value <= 0 || s.Load <= 0 || s.Times == "" {
			t.Errorf("%s lacks its value, load or times", s.Name)
		}
		function, _, _ := strings.Cut(s.Benchmark, "/")
		source := benchmarkSource(t, s.Package, function)
		if source == "" {
			t.Errorf("%s: no %s in %s", s.Name, function, s.Package)
			continue
		}
		if s.Metric != "ns/op" && !strings.Contains(source, `"`+s.Metric+`"`) {
			t.Errorf("%s: %s does not report %s", s.Name, function, s.Metric)
		}
	}
}

// benchmarkSource returns the test file that declares a benchmark.
func benchmarkSource(t *testing.T, directory, function string) string {
	files, err := filepath.Glob(filepath.Join("..", directory, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	declared := regexp.MustCompile(`(?m)^func ` + function + `\(`)
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if declared.Match(source) {
			return string(source)
		}
	}
	return ""
}

// Symptom: the page says that a limit is not kept, and not what to do.
// Sequence: an item grows. Cause: nothing ties an excess to a change.
func TestEveryExcessNamesItsChange(t *testing.T) {
	page, err := Page()
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []Size{Today(), TwoYears()} {
		for _, table := range []Table{CPU(size), Memory(size), Traffic(size)} {
			named := false
			for _, i := range table.Items {
				named = named || i.Change != ""
				if i.Change == "" && i.After != i.Today {
					t.Errorf("%s: %s differs without a change", table.Title, i.What)
				}
				if i.Change != "" && !strings.Contains(string(page), "| "+i.Change+" | ") {
					t.Errorf("%s: %s is not explained", i.What, i.Change)
				}
			}
			if table.Today() > table.Limit && !named {
				t.Errorf("%s is over its limit and no change is named", table.Title)
			}
		}
	}
}

// The figures below are worked out by hand from the slopes as measured.
func TestModelAgainstHandArithmetic(t *testing.T) {
	s := TwoYears()
	life, commit := ledgerBytes(0)
	for _, c := range []struct {
		what      string
		got, want float64
	}{
		{"shards", s.Shards(), 219},
		{"workloads", s.Workloads(), 2000 + 59_000.0/24},
		{"bytes of a life with 5 a commit", life + commit, slope(LedgerLifeFew)},
		{"bytes of a life with 50 a commit", life + commit/10, slope(LedgerLifeMany)},
		{"flush, s", s.Flush(), 219.0 / 150},
		{"commits of all shards", s.Shards() * s.Commits(), 150},
		{"slots given out", s.Oversent(), 3},
		{"slots given out today", Today().Oversent(), 1},
		{"hops", s.Hops(), 4},
		{"requests a second", s.Requests(), 2_080_000},
		{"claims far away", s.FarClaims(), 20.0 / 27},
		{"whole lists of VMs a day", s.WholeLists() * daySeconds, 1200 + 288},
		{"list of VMs, B/s", Traffic(s).Items[0].Today, slope(UnchangedBytes) + 1488*3800/86_400.0*slope(VMZipped)},
		{"configuration's head, B/s", Traffic(s).Items[1].Today, (slope(ExchangeFraming) + slope(HeadBytes)) / 30},
		{"tasks in a zone", LoseWorkers(s, 437.5, 37.5).Services, 3250},
	} {
		if math.Abs(c.got-c.want) > 0.005*c.want {
			t.Errorf("%s: %v, by hand %v", c.what, c.got, c.want)
		}
	}
}
