package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const pageHead = `# Settings of guavarilld

<!-- Written from the flags by "go test ./settings -update". -->

Every setting is a flag and an environment variable; the flag wins. Durations
carry a unit (` + "`500ms`, `10s`, `2m`" + `). The daemon checks all of them before it
listens: a value that cannot be ends it with code 2 and an error that names the
flag, the value and the reason. Nothing is read from a file, and nothing changes
while the daemon runs, except for the contents of the TLS files.

| flag | environment | default | meaning |
| --- | --- | --- | --- |
`

// Guards against a settings page that disagrees with the flags: if a flag is
// renamed or its default changes and the page is not updated, an operator sets a
// variable from the page and the daemon ignores it.
func TestPageListsTheFlags(t *testing.T) {
	var page strings.Builder
	page.WriteString(pageHead)
	for field := range reflect.TypeFor[Daemon]().Fields() {
		tag := field.Tag
		fmt.Fprintf(&page, "| `--%s` | `%s` | %s | %s |\n",
			tag.Get("long"), tag.Get("env"), code(tag.Get("default")), tag.Get("description")+choices(tag))
	}
	pages := goldie.New(t, goldie.WithFixtureDir("../docs/operations"), goldie.WithNameSuffix(".md"))
	pages.Assert(t, "settings", []byte(page.String()))
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// choices formats the allowed values of a flag. The choice tag is repeated for each
// value, so tag.Get would return only the first one.
func choices(tag reflect.StructTag) string {
	var values []string
	for _, part := range strings.Split(string(tag), `choice:"`)[1:] {
		value, _, _ := strings.Cut(part, `"`)
		values = append(values, code(value))
	}
	if values == nil {
		return ""
	}
	return ": " + strings.Join(values, ", ")
}
