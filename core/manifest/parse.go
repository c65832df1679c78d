package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"

	"sigs.k8s.io/yaml"

	"github.com/guavarill/guavarill/core/model"
)

const defaultPriority = "normal"

// Parse reads a manifest from YAML or JSON, checks it and normalises it. The error
// is an *InvalidError that lists every problem.
func Parse(data []byte) (*Manifest, error) {
	found := &problems{}
	tree, ok := parseTree(found, data)
	if !ok {
		return nil, found.err()
	}
	m := readManifest(found, tree)
	m.check(found)
	if err := found.err(); err != nil {
		return nil, err
	}
	m.normalise()
	if err := m.checkDocument(); err != nil {
		return nil, err
	}
	return m, nil
}

// parseTree decodes the text into JSON values. It returns false if the text is too
// long, has several documents or cannot be decoded.
func parseTree(found *problems, data []byte) (any, bool) {
	if len(data) > MaxTextBytes {
		found.add("", ReasonTooLarge, fmt.Sprintf("%d bytes of text; at most %d", len(data), MaxTextBytes))
		return nil, false
	}
	if hasManyDocuments(data) {
		found.add("", ReasonManyDocuments, "a line --- or ... stands after the first document's begin")
		return nil, false
	}
	converted, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		// Strict mode adds a single check to plain mode: repeated fields. Text
		// that plain mode accepts has only this problem, and its other fields
		// can still be checked.
		var plainErr error
		if converted, plainErr = yaml.YAMLToJSON(data); plainErr != nil {
			found.add("", ReasonSyntax, plainErr.Error())
			return nil, false
		}
		found.add("", ReasonRepeatedField, err.Error())
	}
	var tree any
	dec := json.NewDecoder(bytes.NewReader(converted))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		found.add("", ReasonSyntax, err.Error())
		return nil, false
	}
	return tree, true
}

var (
	documentStart = []byte("---")
	documentEnd   = []byte("...")
)

// hasManyDocuments reports whether the text has a second YAML document. The YAML
// decoder silently stops at the end of the first one, so if a build pipeline
// joined two manifests, only the first would be accepted, and all workloads of the
// second would be removed. YAML allows neither marker at the beginning of a line
// within a document.
func hasManyDocuments(data []byte) bool {
	content := false
	for line := range bytes.Lines(data) {
		switch {
		case content && isMarker(line, documentStart), content && isMarker(line, documentEnd):
			return true
		case isMarker(line, documentStart):
			content = content || len(bytes.TrimSpace(line[len(documentStart):])) > 0
		case isContent(line):
			content = true
		}
	}
	return false
}

func isMarker(line, mark []byte) bool {
	rest, ok := bytes.CutPrefix(line, mark)
	return ok && (len(rest) == 0 || bytes.IndexByte([]byte(" \t\r\n"), rest[0]) >= 0)
}

func isContent(line []byte) bool {
	line = bytes.TrimSpace(line)
	return len(line) > 0 && line[0] != '#' && line[0] != '%'
}

func readManifest(p *problems, tree any) *Manifest {
	o := newObject(p, "", tree)
	o.require("cluster", "teams", "workloads")
	m := &Manifest{Cluster: o.text("cluster")}
	for i, value := range o.list("teams") {
		m.Teams = append(m.Teams, readTeam(p, elementPath("teams", i), value))
	}
	for i, value := range o.list("workloads") {
		m.Workloads = append(m.Workloads, readWorkload(p, elementPath("workloads", i), value))
	}
	o.reportUnknownFields()
	return m
}

func readTeam(p *problems, path string, value any) Team {
	o := newObject(p, path, value)
	o.require("name")
	t := Team{Name: o.text("name")}
	if quota, ok := o.get("quota"); ok {
		resources := readResources(p, o.at("quota"), quota)
		t.Quota = &resources
	}
	o.reportUnknownFields()
	return t
}

func readResources(p *problems, path string, value any) model.Resources {
	o := newObject(p, path, value)
	o.require("milliCPU", "memoryMB")
	r := model.Resources{
		MilliCPU:     o.integer("milliCPU"),
		MemoryMB:     o.integer("memoryMB"),
		Accelerators: o.integer("accelerators"),
	}
	o.reportUnknownFields()
	return r
}

func readWorkload(p *problems, path string, value any) Workload {
	o := newObject(p, path, value)
	o.require("name", "team", "kind", "size", "tasks")
	w := Workload{
		Name:        o.text("name"),
		Team:        o.text("team"),
		Kind:        model.Kind(o.text("kind")),
		Class:       o.text("class"),
		Priority:    o.text("priority"),
		Tasks:       int(o.integer("tasks")),
		Slots:       int(o.integer("slots")),
		Connections: int(o.integer("connections")),
		MaxQueue:    int(o.integer("maxQueue")),
		Timeout:     o.duration("timeout"),
		RunTime:     o.duration("runTime"),
		LongRunning: o.boolean("longRunning"),
		MaxAttempts: int(o.integer("maxAttempts")),
		Spread:      o.text("spread"),
		Args:        o.texts("args"),
	}
	if size, ok := o.get("size"); ok {
		w.Size = readResources(p, o.at("size"), size)
	}
	if w.IsService() {
		o.require("slots", "connections")
	}
	o.reportUnknownFields()
	return w
}
