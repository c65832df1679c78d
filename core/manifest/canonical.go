package manifest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// LoadError is a canonical document that cannot be read, because it was cut
// short, changed, or written by a version that knows more fields.
type LoadError struct {
	// Part is what was being read: a manifest, a workload, a team.
	Part  string
	Cause error
}

// Error implements error.
func (e *LoadError) Error() string { return fmt.Sprintf("read stored %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// Canonical returns the manifest as JSON, always the same bytes for the same
// declaration. The manifest must be normalised, as Parse and Load return it.
func (m *Manifest) Canonical() []byte { return marshal(m) }

// Canonical returns the workload as JSON, as it stands in the manifest's.
func (w *Workload) Canonical() []byte { return marshal(w) }

// Canonical returns the team as JSON, as it stands in the manifest's.
func (t *Team) Canonical() []byte { return marshal(t) }

// marshal cannot fail: the types hold nothing but text, numbers and booleans.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(&LoadError{Part: "declaration", Cause: err})
	}
	return data
}

// Load reads what Manifest.Canonical wrote. An error is a *LoadError.
func Load(document []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := loadStrict(document, m); err != nil {
		return nil, &LoadError{Part: "manifest", Cause: err}
	}
	m.normalise()
	return m, nil
}

// LoadWorkload reads what Workload.Canonical wrote. An error is a *LoadError.
func LoadWorkload(document []byte) (*Workload, error) {
	w := &Workload{}
	if err := loadStrict(document, w); err != nil {
		return nil, &LoadError{Part: "workload", Cause: err}
	}
	w.normalise()
	return w, nil
}

// LoadTeam reads what Team.Canonical wrote. An error is a *LoadError.
func LoadTeam(document []byte) (*Team, error) {
	t := &Team{}
	if err := loadStrict(document, t); err != nil {
		return nil, &LoadError{Part: "team", Cause: err}
	}
	return t, nil
}

// loadStrict refuses fields that it does not know. During an upgrade an older
// daemon would otherwise drop a newer one's field without a sign, hash the
// rest and believe itself up to date.
func loadStrict(document []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(document))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return &trailingError{}
	}
	return nil
}

type trailingError struct{}

func (*trailingError) Error() string { return "text after the end" }

// normalise gives equal declarations the same form. It copies the slices, so
// that a caller's manifest keeps its order.
func (m *Manifest) normalise() {
	m.Teams = append(make([]Team, 0, len(m.Teams)), m.Teams...)
	m.Workloads = append(make([]Workload, 0, len(m.Workloads)), m.Workloads...)
	for i := range m.Workloads {
		m.Workloads[i].normalise()
	}
	slices.SortStableFunc(m.Teams, func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(m.Workloads, func(a, b Workload) int { return strings.Compare(a.Name, b.Name) })
}

func (w *Workload) normalise() {
	w.Class = cmp.Or(w.Class, w.Name)
	w.Priority = cmp.Or(w.Priority, defaultPriority)
	if len(w.Args) == 0 {
		w.Args = nil
	}
}

// Normalised returns a normalised copy of m, for manifests that were built in
// code and not by Parse. Nothing in it is shared with m except what both only
// read.
func (m *Manifest) Normalised() *Manifest {
	c := *m
	c.normalise()
	return &c
}
