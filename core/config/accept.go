package config

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

const maxWriterBytes = 128

// Diff lists the names that an acceptance or cancellation changed, each list
// sorted.
type Diff struct {
	Added     []string `json:"added,omitempty"`
	Changed   []string `json:"changed,omitempty"`
	Removed   []string `json:"removed,omitempty"`
	Cancelled []string `json:"cancelled,omitempty"`
	// Teams lists the teams that were added, changed or removed.
	Teams []string `json:"teams,omitempty"`
}

// Empty reports whether nothing changed.
func (d Diff) Empty() bool {
	return len(d.Added)+len(d.Changed)+len(d.Removed)+len(d.Cancelled)+len(d.Teams) == 0
}

func (d *Diff) sort() {
	for _, names := range [][]string{d.Added, d.Changed, d.Removed, d.Cancelled, d.Teams} {
		slices.Sort(names)
	}
}

// CheckBase returns a *ConflictError unless base is the revision of current. A
// nil current has revision 0.
func CheckBase(current *Accepted, base model.Revision) error {
	if have := revisionOf(current); have != base {
		return &ConflictError{Base: base, Current: have}
	}
	return nil
}

func revisionOf(a *Accepted) model.Revision {
	if a == nil {
		return 0
	}
	return a.Revision
}

// Accept returns the configuration in which m replaces the manifest of current,
// which is nil for the first one. If m declares the same as the current
// manifest, Accept returns current and an empty Diff. The tasks of new and
// changed workloads are distributed over the given number of shards. The writer
// is an id that is unique to this acceptance and holds no white space.
//
// The error is a *manifest.InvalidError (also for a manifest of another cluster
// and for one that is too large for the store), a *NoShardsError, a *WriterError
// or, if the value cannot be encoded, a *DecodeError.
func Accept(current *Accepted, m *manifest.Manifest, shards uint32, writer string) (*Accepted, Diff, error) {
	if err := checkAcceptance(current, m, shards, writer); err != nil {
		return nil, Diff{}, err
	}
	d := draftFrom(current)
	d.cluster = m.Cluster
	d.revision++
	diff := d.declare(m.Normalised(), shards)
	if diff.Empty() && current != nil {
		return current, Diff{}, nil
	}
	next, err := d.finish(writer)
	if err != nil {
		return nil, Diff{}, err
	}
	return next, diff, nil
}

func checkAcceptance(current *Accepted, m *manifest.Manifest, shards uint32, writer string) error {
	if err := m.Check(); err != nil {
		return err
	}
	if current != nil && current.Manifest.Cluster != m.Cluster {
		detail := fmt.Sprintf("%q; this is %q", m.Cluster, current.Manifest.Cluster)
		return invalid("cluster", manifest.ReasonOtherCluster, detail)
	}
	if shards == 0 {
		return &NoShardsError{}
	}
	return checkWriter(writer)
}

// checkWriter rejects an id that cannot be stored in a list separated by
// spaces. After a lost response, the operation looks for its id in that list; if
// the id were not found, it would report a conflict for a change that was made.
func checkWriter(writer string) error {
	if writer == "" || len(writer) > maxWriterBytes || !utf8.ValidString(writer) || strings.ContainsFunc(writer, unicode.IsSpace) {
		return &WriterError{Writer: writer}
	}
	return nil
}

func invalid(path string, reason manifest.Reason, detail string) error {
	return &manifest.InvalidError{Problems: []manifest.Problem{{Path: path, Reason: reason, Detail: detail}}}
}

// declare replaces the workloads and teams of the draft by those of m and
// returns the changes.
func (d *draft) declare(m *manifest.Manifest, shards uint32) Diff {
	var diff Diff
	d.declareTeams(m, &diff)
	d.declareWorkloads(m, shards, &diff)
	diff.sort()
	return diff
}

func (d *draft) declareTeams(m *manifest.Manifest, diff *Diff) {
	declared := make(map[string]bool, len(m.Teams))
	for i := range m.Teams {
		spec := &m.Teams[i]
		declared[spec.Name] = true
		if old, ok := d.teams[spec.Name]; ok && old.spec.Equal(spec) {
			continue
		}
		d.putTeam(spec)
		diff.Teams = append(diff.Teams, spec.Name)
	}
	for name := range d.teams {
		if !declared[name] {
			delete(d.teams, name)
			diff.Teams = append(diff.Teams, name)
		}
	}
}

func (d *draft) declareWorkloads(m *manifest.Manifest, shards uint32, diff *Diff) {
	declared := make(map[string]bool, len(m.Workloads))
	for i := range m.Workloads {
		spec := &m.Workloads[i]
		declared[spec.Name] = true
		old, ok := d.workloads[spec.Name]
		if ok && old.Spec.Equal(spec) {
			continue
		}
		d.putWorkload(spec, AcceptedWorkload{
			Generation: d.nextGeneration(spec.Name),
			Shards:     shards,
			Changed:    d.revision,
		})
		if ok {
			diff.Changed = append(diff.Changed, spec.Name)
		} else {
			diff.Added = append(diff.Added, spec.Name)
		}
	}
	for name := range d.workloads {
		if !declared[name] {
			d.retire(name, d.revision)
			diff.Removed = append(diff.Removed, name)
		}
	}
	d.pruneRetired()
}

// Cancel returns the configuration in which the current generations of the
// named workloads are cancelled. Workloads that are already cancelled do not
// count as changed; if all are, Cancel returns current and an empty Diff. The
// error is a *manifest.InvalidError that lists the names of unknown workloads or
// reports a value that is too large for the store, a *WriterError or, if the
// value cannot be encoded, a *DecodeError.
func Cancel(current *Accepted, names []string, writer string) (*Accepted, Diff, error) {
	if err := checkWriter(writer); err != nil {
		return nil, Diff{}, err
	}
	if err := checkNames(current, names); err != nil {
		return nil, Diff{}, err
	}
	d := draftFrom(current)
	d.revision++
	diff := d.cancel(names)
	if diff.Empty() {
		return current, Diff{}, nil
	}
	next, err := d.finish(writer)
	if err != nil {
		return nil, Diff{}, err
	}
	return next, diff, nil
}

func checkNames(current *Accepted, names []string) error {
	refused := &manifest.InvalidError{}
	for i, name := range names {
		if current != nil && current.has(name) {
			continue
		}
		refused.Problems = append(refused.Problems, manifest.Problem{
			Path:   fmt.Sprintf("names[%d]", i),
			Reason: manifest.ReasonUnknownWorkload,
			Detail: name,
		})
	}
	if len(refused.Problems) == 0 {
		return nil
	}
	return refused
}

func (a *Accepted) has(name string) bool {
	_, ok := a.Workloads[name]
	return ok
}

func (d *draft) cancel(names []string) Diff {
	var diff Diff
	for _, name := range names {
		w := d.workloads[name]
		if w.Cancelled {
			continue
		}
		w.Cancelled = true
		d.workloads[name] = w
		diff.Cancelled = append(diff.Cancelled, name)
	}
	diff.sort()
	return diff
}

// finish adds writer to the draft and builds the configuration. It rejects one
// that is too large to be stored, or to be sent between daemons.
func (d *draft) finish(writer string) (*Accepted, error) {
	writers := append([]string{writer}, d.writers...)
	d.writers = writers[:min(len(writers), MaxWriters)]
	next := d.build()
	size := proto.Size(next.Encode())
	if size > manifest.MaxEncodedBytes {
		return nil, tooLarge(size, "when encoded", manifest.MaxEncodedBytes)
	}
	if size <= manifest.MaxStoredBytes {
		return next, nil // compression adds at most a few bytes
	}
	value, err := next.Marshal()
	if err != nil {
		return nil, err
	}
	if len(value) > port.MaxValueBytes {
		return nil, tooLarge(len(value), "in the store", port.MaxValueBytes)
	}
	return next, nil
}

func tooLarge(size int, where string, most int) error {
	return invalid("", manifest.ReasonTooLarge, fmt.Sprintf("%d bytes %s; at most %d", size, where, most))
}
