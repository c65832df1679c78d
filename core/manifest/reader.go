package manifest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// problems collects the problems of a manifest, at most one per path.
type problems struct {
	list []Problem
	seen map[string]bool
}

// add records a problem unless its path, or a path that contains it, already has
// one: a value that could not be read must not also be reported as missing.
func (p *problems) add(path string, reason Reason, detail string) {
	if p.hasProblem(path) {
		return
	}
	if p.seen == nil {
		p.seen = make(map[string]bool)
	}
	p.seen[path] = true
	p.list = append(p.list, Problem{Path: path, Reason: reason, Detail: detail})
}

func (p *problems) hasProblem(path string) bool {
	for path != "" {
		if p.seen[path] {
			return true
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return false
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.list}
}

// objectReader reads the fields of one JSON object and records which fields are
// known.
type objectReader struct {
	problems *problems
	path     string
	fields   map[string]any
	known    map[string]bool
}

// newObject returns a reader of value. If value is not an object, a problem is
// recorded and every field is absent.
func newObject(p *problems, path string, value any) *objectReader {
	fields, ok := value.(map[string]any)
	if !ok {
		p.add(path, ReasonWrongType, "want an object, have "+typeName(value))
	}
	return &objectReader{problems: p, path: path, fields: fields, known: make(map[string]bool)}
}

func (o *objectReader) at(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

func (o *objectReader) get(field string) (any, bool) {
	o.known[field] = true
	value, ok := o.fields[field]
	return value, ok
}

// require records a problem for each of the fields that is absent.
func (o *objectReader) require(fields ...string) {
	for _, field := range fields {
		if _, ok := o.fields[field]; !ok {
			o.problems.add(o.at(field), ReasonMissing, "")
		}
	}
}

// reportUnknownFields records a problem for each field that was never read, in
// order of name.
func (o *objectReader) reportUnknownFields() {
	var unknown []string
	for field := range o.fields {
		if !o.known[field] {
			unknown = append(unknown, field)
		}
	}
	slices.Sort(unknown)
	for _, field := range unknown {
		o.problems.add(o.at(field), ReasonUnknownField, "")
	}
}

// readAs reads a field as a T. It returns the zero T and false if the field is
// absent or of another type, and records a problem for the latter.
func readAs[T any](o *objectReader, field, want string) (T, bool) {
	var none T
	value, ok := o.get(field)
	if !ok {
		return none, false
	}
	read, ok := value.(T)
	if !ok {
		o.problems.add(o.at(field), ReasonWrongType, "want "+want+", have "+typeName(value))
	}
	return read, ok
}

func (o *objectReader) text(field string) string {
	text, _ := readAs[string](o, field, "text")
	return text
}

func (o *objectReader) boolean(field string) bool {
	b, _ := readAs[bool](o, field, "true or false")
	return b
}

func (o *objectReader) integer(field string) int64 {
	number, ok := readAs[json.Number](o, field, "a whole number without a unit")
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil {
		o.problems.add(o.at(field), ReasonWrongType, "want a whole number, have "+number.String())
	}
	return n
}

func (o *objectReader) duration(field string) Duration {
	value, ok := o.get(field)
	if !ok {
		return 0
	}
	text, ok := value.(string)
	if !ok {
		o.problems.add(o.at(field), ReasonBadUnit, fmt.Sprintf("%v; write text such as \"500ms\" or \"2h\"", value))
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		o.problems.add(o.at(field), ReasonBadUnit, fmt.Sprintf("%q; write text such as \"500ms\" or \"2h\"", text))
	}
	return Duration(d)
}

// list reads a field as a list; an absent field is an empty list.
func (o *objectReader) list(field string) []any {
	list, _ := readAs[[]any](o, field, "a list")
	return list
}

func (o *objectReader) texts(field string) []string {
	values := o.list(field)
	if len(values) == 0 {
		return nil
	}
	texts := make([]string, len(values))
	for i, value := range values {
		text, ok := value.(string)
		if !ok {
			o.problems.add(elementPath(o.at(field), i), ReasonWrongType, "want text, have "+typeName(value))
		}
		texts[i] = text
	}
	return texts
}

func elementPath(list string, index int) string {
	return fmt.Sprintf("%s[%d]", list, index)
}

func typeName(value any) string {
	switch value.(type) {
	case nil:
		return "null"
	case string:
		return "text"
	case bool:
		return "true or false"
	case json.Number:
		return "a number"
	case []any:
		return "a list"
	}
	return "an object"
}
