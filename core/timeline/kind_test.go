package timeline

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

var declaredKind = regexp.MustCompile(`Kind = "([^"]+)"`)

// The page for operators must explain every kind of event, and no other. It can fall
// behind when a kind is added or renamed, because kinds are declared elsewhere.
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
			t.Errorf("%q is not documented", kind)
		}
	}
	for kind := range explained {
		if kind != "kind" && kind != "---" && !declared[kind] {
			t.Errorf("%q is documented but not declared", kind)
		}
	}
}
