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

// LoadError reports a canonical document that cannot be decoded because it was
// truncated, damaged, or written by a version with more fields.
type LoadError struct {
	// Part names the failed part: "manifest", "workload" or "team".
	Part  string
	Cause error
}

// Error implements error.
func (e *LoadError) Error() string { return fmt.Sprintf("read stored %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// Canonical returns the manifest as JSON, always as the same bytes for the same
// declaration. The manifest must be normalised, as Parse and Load return it.
func (m *Manifest) Canonical() []byte { return marshal(m) }

// Canonical returns the workload as JSON, as in the canonical manifest.
func (w *Workload) Canonical() []byte { return marshal(w) }

// Canonical returns the team as JSON, as in the canonical manifest.
func (t *Team) Canonical() []byte { return marshal(t) }

// marshal encodes a declaration. It cannot fail, because the types hold only
// strings, numbers and booleans.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(&LoadError{Part: "declaration", Cause: err})
	}
	return data
}

// Load decodes the output of Manifest.Canonical. The error is a *LoadError.
func Load(document []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := decodeStrict(document, m); err != nil {
		return nil, &LoadError{Part: "manifest", Cause: err}
	}
	m.normalise()
	return m, nil
}

// LoadWorkload decodes the output of Workload.Canonical. The error is a
// *LoadError.
func LoadWorkload(document []byte) (*Workload, error) {
	w := &Workload{}
	if err := decodeStrict(document, w); err != nil {
		return nil, &LoadError{Part: "workload", Cause: err}
	}
	w.normalise()
	return w, nil
}

// LoadTeam decodes the output of Team.Canonical. The error is a *LoadError.
func LoadTeam(document []byte) (*Team, error) {
	t := &Team{}
	if err := decodeStrict(document, t); err != nil {
		return nil, &LoadError{Part: "team", Cause: err}
	}
	return t, nil
}

// decodeStrict rejects unknown fields. During an upgrade an older daemon would
// otherwise silently drop a field of a newer one, hash the rest and consider its
// configuration up to date.
func decodeStrict(document []byte, into any) error {
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

// normalise gives equal declarations the same form. It copies the slices of teams
// and workloads, so that those of the caller keep their order.
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
// code and not by Parse. The copy shares only data with m that is never modified,
// such as quotas and arguments.
func (m *Manifest) Normalised() *Manifest {
	c := *m
	c.normalise()
	return &c
}
