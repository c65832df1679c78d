package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// MaxRetired is the maximum number of retired names that a configuration lists.
const MaxRetired = 512

// MaxWriters is the number of latest revisions whose writers are kept.
const MaxWriters = 16

// Accepted is one revision of the configuration. It is immutable and is created
// only by Decode, Accept, Cancel and State.
type Accepted struct {
	Revision model.Revision
	// Manifest is normalised.
	Manifest *manifest.Manifest
	// Workloads holds every workload of Manifest by name.
	Workloads map[string]AcceptedWorkload
	// Retired holds, by name, the most recently removed workloads that have not
	// been declared again, at most MaxRetired.
	Retired map[string]Retired
	// GenerationFloor is at least the last generation of every name that is
	// neither in Workloads nor in Retired.
	GenerationFloor uint64
	// Writers holds the writer ids of the latest revisions, newest first:
	// Writers[i] wrote revision Revision-i. It is empty in a configuration that
	// was built from a delta of changes, and is not part of the hash.
	Writers []string

	teams map[string]teamRecord
	hash  uint64
}

// AcceptedWorkload is the state of an accepted workload: its declaration and the
// values that Accept and Cancel assigned to it.
type AcceptedWorkload struct {
	// Generation increases whenever the declaration changes.
	Generation uint64
	// Shards is the number of shards over which the tasks of this generation
	// are distributed.
	Shards uint32
	// Changed is the revision that introduced this generation.
	Changed model.Revision
	// Cancelled is set if an operator cancelled this generation. Applying the
	// same declaration again does not resume it; a changed declaration starts a
	// new generation.
	Cancelled bool
	// Spec points into the Manifest of the same Accepted.
	Spec *manifest.Workload

	digest uint64
}

// Retired is the record kept of a removed workload, so that its name does not
// reuse a generation.
type Retired struct {
	// Generation is the last generation of the workload.
	Generation uint64
	// Changed is the revision that removed the workload.
	Changed model.Revision
}

type teamRecord struct {
	spec   *manifest.Team
	digest uint64
}

// Hash returns a hash of everything except Writers. Configurations with equal
// hashes are considered equal.
func (a *Accepted) Hash() uint64 { return a.hash }

// Names returns the sorted names of all workloads.
func (a *Accepted) Names() []string { return slices.Sorted(maps.Keys(a.Workloads)) }

// draft is a configuration under construction. Its records may still point to
// declarations of an older configuration; build copies these into a new manifest.
type draft struct {
	revision  model.Revision
	cluster   string
	teams     map[string]teamRecord
	workloads map[string]AcceptedWorkload
	retired   map[string]Retired
	floor     uint64
	writers   []string
}

// draftFrom returns a draft with the contents of a, or an empty one if a is nil.
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

// build returns the draft as an Accepted; the draft must not be used afterwards.
// Every record is made to point into the new manifest, because a pointer into an
// old manifest would keep all of it in memory for as long as one workload stays
// unchanged.
func (d *draft) build() *Accepted {
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

// putTeam adds or replaces a team.
func (d *draft) putTeam(spec *manifest.Team) {
	d.teams[spec.Name] = teamRecord{spec: spec, digest: digestOf(spec.Canonical())}
}

// putWorkload adds or replaces a workload with the declaration spec and the
// accepted values w, and removes its name from the retired ones.
func (d *draft) putWorkload(spec *manifest.Workload, w AcceptedWorkload) {
	w.Spec = spec
	w.digest = digestOf(spec.Canonical())
	d.workloads[spec.Name] = w
	delete(d.retired, spec.Name)
}

// retire removes a workload at revision at and records its last generation.
func (d *draft) retire(name string, at model.Revision) {
	d.retired[name] = Retired{Generation: d.workloads[name].Generation, Changed: at}
	delete(d.workloads, name)
}

// nextGeneration returns the generation for a new or changed declaration of the
// workload called name.
func (d *draft) nextGeneration(name string) uint64 {
	if w, ok := d.workloads[name]; ok {
		return w.Generation + 1
	}
	if r, ok := d.retired[name]; ok {
		return r.Generation + 1
	}
	return d.floor + 1
}

// pruneRetired removes the oldest retired names beyond MaxRetired. Without a
// bound, build pipelines that give the jobs of each release new names would fill
// the stored value with names that are never used again, until no manifest could
// be accepted. The generation of a removed name raises the floor; the first
// generation of any unknown name is above the floor.
func (d *draft) pruneRetired() {
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

// byRetirement compares retired names by the revision that removed them, then
// by name.
func (d *draft) byRetirement(a, b string) int {
	return cmp.Or(
		cmp.Compare(d.retired[a].Changed, d.retired[b].Changed),
		cmp.Compare(a, b),
	)
}
