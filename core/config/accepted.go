package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// MaxRetired bounds how many names no longer in use are remembered one by one.
const MaxRetired = 512

// MaxWriters bounds how many of the latest acceptances name their writer.
const MaxWriters = 16

// Accepted is a configuration in force. It is immutable, and made by Decode,
// Accept, Cancel and State only.
type Accepted struct {
	Revision model.Revision
	// Manifest is normalised.
	Manifest *manifest.Manifest
	// Workloads holds every workload of Manifest by name.
	Workloads map[string]AcceptedWorkload
	// Retired holds names that were removed lately and not declared since.
	Retired map[string]Retired
	// GenerationFloor is at least the last generation of every name that is
	// neither in Workloads nor in Retired.
	GenerationFloor uint64
	// Writers identify who made the latest revisions: Writers[i] made Revision
	// less i. It is known only of what was decoded from the store or made by
	// Accept and Cancel, and is no part of the hash.
	Writers []string

	teams map[string]teamRecord
	hash  uint64
}

// AcceptedWorkload is what acceptance decided about a workload.
type AcceptedWorkload struct {
	// Generation grows whenever the declaration changes.
	Generation uint64
	// Shards is over how many shards this generation's tasks are dealt.
	Shards uint32
	// Changed is the revision that made this generation.
	Changed model.Revision
	// Cancelled is set when operators ended this generation. Sending the same
	// declaration again does not bring it back; a changed one does.
	Cancelled bool
	// Spec points into the Manifest.
	Spec *manifest.Workload

	digest uint64
}

// Retired is what is remembered of a name that was removed.
type Retired struct {
	// Generation is the last one that the name had.
	Generation uint64
	// Changed is the revision that removed it.
	Changed model.Revision
}

type teamRecord struct {
	spec   *manifest.Team
	digest uint64
}

// Hash returns a hash of everything but Writers. Configurations of the same
// hash are taken to be the same.
func (a *Accepted) Hash() uint64 { return a.hash }

// Names returns the names of all workloads, sorted.
func (a *Accepted) Names() []string { return slices.Sorted(maps.Keys(a.Workloads)) }

// draft is a configuration being put together. Records may still point at
// declarations of an older configuration; seal moves them into one new
// manifest.
type draft struct {
	revision  model.Revision
	cluster   string
	teams     map[string]teamRecord
	workloads map[string]AcceptedWorkload
	retired   map[string]Retired
	floor     uint64
	writers   []string
}

// draftFrom copies a, or begins an empty configuration when a is nil.
func draftFrom(a *Accepted) *draft {
	if a == nil {
		return &draft{
			teams:     make(map[string]teamRecord),
			workloads: make(map[string]AcceptedWorkload),
			retired:   make(map[string]Retired),
		}
	}
	return &draft{
		revision:  a.Revision,
		cluster:   a.Manifest.Cluster,
		teams:     maps.Clone(a.teams),
		workloads: maps.Clone(a.Workloads),
		retired:   maps.Clone(a.Retired),
		floor:     a.GenerationFloor,
		writers:   a.Writers,
	}
}

// seal makes the draft immutable. Every record is pointed at the new manifest:
// a pointer into an old one would keep all of it in memory for as long as one
// workload stays unchanged.
func (d *draft) seal() *Accepted {
	a := &Accepted{
		Revision:        d.revision,
		Manifest:        d.buildManifest(),
		Workloads:       d.workloads,
		Retired:         d.retired,
		GenerationFloor: d.floor,
		Writers:         d.writers,
		teams:           d.teams,
	}
	for i := range a.Manifest.Teams {
		spec := &a.Manifest.Teams[i]
		a.teams[spec.Name] = teamRecord{spec: spec, digest: a.teams[spec.Name].digest}
	}
	for i := range a.Manifest.Workloads {
		spec := &a.Manifest.Workloads[i]
		w := a.Workloads[spec.Name]
		w.Spec = spec
		a.Workloads[spec.Name] = w
	}
	a.hash = hashAccepted(a)
	return a
}

func (d *draft) buildManifest() *manifest.Manifest {
	m := &manifest.Manifest{
		Cluster:   d.cluster,
		Teams:     make([]manifest.Team, 0, len(d.teams)),
		Workloads: make([]manifest.Workload, 0, len(d.workloads)),
	}
	for _, name := range slices.Sorted(maps.Keys(d.teams)) {
		m.Teams = append(m.Teams, *d.teams[name].spec)
	}
	for _, name := range slices.Sorted(maps.Keys(d.workloads)) {
		m.Workloads = append(m.Workloads, *d.workloads[name].Spec)
	}
	return m
}

// putTeam declares a team.
func (d *draft) putTeam(spec *manifest.Team) {
	d.teams[spec.Name] = teamRecord{spec: spec, digest: digestOf(spec.Canonical())}
}

// putWorkload declares a workload under what was decided about it.
func (d *draft) putWorkload(spec *manifest.Workload, w AcceptedWorkload) {
	w.Spec = spec
	w.digest = digestOf(spec.Canonical())
	d.workloads[spec.Name] = w
	delete(d.retired, spec.Name)
}

// retire removes a workload and remembers its generation.
func (d *draft) retire(name string, at model.Revision) {
	d.retired[name] = Retired{Generation: d.workloads[name].Generation, Changed: at}
	delete(d.workloads, name)
}

// nextGeneration returns the generation for a declaration under name that is
// new or differs from the current one.
func (d *draft) nextGeneration(name string) uint64 {
	if w, ok := d.workloads[name]; ok {
		return w.Generation + 1
	}
	if r, ok := d.retired[name]; ok {
		return r.Generation + 1
	}
	return d.floor + 1
}

// forgetOldest keeps at most MaxRetired retired names. Build pipelines that
// name each release's jobs anew would otherwise fill the store's value with names
// that never return, until nothing more can be accepted. A forgotten name's
// generation goes into the floor, above which any unknown name begins.
func (d *draft) forgetOldest() {
	excess := len(d.retired) - MaxRetired
	if excess <= 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(d.retired), d.byRetirement)
	for _, name := range names[:excess] {
		d.floor = max(d.floor, d.retired[name].Generation)
		delete(d.retired, name)
	}
}

// byRetirement orders retired names by when they were removed, then by name.
func (d *draft) byRetirement(a, b string) int {
	return cmp.Or(
		cmp.Compare(d.retired[a].Changed, d.retired[b].Changed),
		cmp.Compare(a, b),
	)
}
