// Package config turns accepted manifests into revisions of the configuration
// and replicates them between daemons as deltas.
//
// An Accepted is one revision of the configuration. Accept and Cancel derive
// the next revision, which is one higher, from the current one. Every workload
// has a generation, which increases whenever its declaration changes, and the
// number of shards over which the tasks of that generation are distributed. If
// a removed name is declared again, its generation is higher than any it had
// before. Otherwise the new tasks would share keys with the old ones, and a task
// that never ran would be considered done because its predecessor had ended.
//
// ApplyOp applies one acceptance or cancellation to the store: it reads the
// stored configuration, derives the next revision, and writes it with one
// compare-and-swap. The stored value is compressed. A separate head key holds
// only the revision, so that pollers need not read the whole value. Operators
// race each other and responses get lost, so the ApplyResult distinguishes
// accepted, no change, conflict, refused, not made and unknown. It reports
// unknown whenever the outcome is not certain.
//
// State is the configuration that one daemon holds. Its revision never
// decreases. For a peer with an older revision it returns a delta of the
// subjects (workloads, teams, retired names) that changed since then. It
// verifies each delta that it applies against the sender's hash of the whole
// configuration.
//
// The package does no I/O. Values of type Accepted are immutable.
package config
