// Package docs checks that the pages refer to what exists.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	link       = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	namedTest  = regexp.MustCompile("`(?:([a-z]+(?:/[a-z]+)*)\\.)?(Test[A-Za-z0-9]+)`")
	packageRef = regexp.MustCompile("`([a-z]+/[a-z]+)`: ")
)

// pages calls check for every page below root.
func pages(t *testing.T, root string, check func(path, text string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		if err == nil {
			check(path, string(text))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestLinksLeadSomewhere(t *testing.T) {
	check := func(path, text string) {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
				t.Errorf("%s links to %s, which is not there", path, m[1])
			}
		}
	}
	pages(t, ".", check)
	for _, name := range []string{"README.md", "CONTRIBUTING.md"} {
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		check(filepath.Join("..", name), string(text))
	}
}

// TestPromisesNameTests checks that each test named on the page stands in the
// package named with it, or in the last one named before it.
func TestPromisesNameTests(t *testing.T) {
	text, err := os.ReadFile("PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}
	page := packageRef.ReplaceAllString(string(text), "`$1.` ")
	pkg := ""
	found := regexp.MustCompile("`([a-z]+(?:/[a-z]+)*)\\.`|"+namedTest.String()).FindAllStringSubmatch(page, -1)
	if len(found) == 0 {
		t.Fatal("the page names no test")
	}
	for _, m := range found {
		switch {
		case m[1] != "":
			pkg = m[1]
			continue
		case m[2] != "":
			pkg = m[2]
		}
		if !hasTest(pkg, m[3]) {
			t.Errorf("%s is not in %s", m[3], pkg)
		}
	}
}

func hasTest(pkg, name string) bool {
	files, _ := filepath.Glob(filepath.Join("..", filepath.FromSlash(pkg), "*_test.go"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil && strings.Contains(string(text), "func "+name+"(") {
			return true
		}
	}
	return false
}
