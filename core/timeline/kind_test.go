package timeline

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

var declaredKind = regexp.MustCompile(`Kind = "([^"]+)"`)

// Symptom: an operator reads a kind of event that no page explains.
// Sequence: a kind is added or renamed; the page stays.
// Cause: kinds are declared in one place and explained in another.
func TestEveryKindIsDocumented(t *testing.T) {
	source, err := os.ReadFile("kind.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/operations/timeline.md")
	if err != nil {
		t.Fatal(err)
	}
	explained := make(map[string]bool)
	for _, line := range strings.Split(string(page), "\n| ")[1:] {
		kinds, _, _ := strings.Cut(line, " |")
		for _, kind := range strings.Split(kinds, ", ") {
			explained[kind] = true
		}
	}
	declared := make(map[string]bool)
	for _, match := range declaredKind.FindAllStringSubmatch(string(source), -1) {
		kind := match[1]
		declared[kind] = true
		if !explained[kind] && !strings.HasPrefix(kind, "request ") {
			t.Errorf("%q is not explained", kind)
		}
	}
	for kind := range explained {
		if kind != "kind" && kind != "---" && !declared[kind] {
			t.Errorf("%q is explained and not declared", kind)
		}
	}
}
