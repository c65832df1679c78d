// Package manifest parses, validates and encodes manifests. A manifest is the
// operators' declaration of the teams and workloads of a cluster.
//
// Parse reads YAML or JSON and is strict: an unknown field, a repeated field, a
// value of the wrong type, a duration without a unit or a size larger than any
// worker makes it reject the whole manifest. Every problem is listed with its
// path. Nothing is guessed, because a partly understood manifest would start the
// wrong tasks.
//
// A parsed manifest is normalised: teams and workloads are sorted by name, an
// absent priority becomes "normal" and an absent class becomes the name of the
// workload. Canonical encodes this form as JSON, always as the same bytes for the
// same declaration. The store keeps these bytes, and daemons compare them. Load
// decodes them without the limits of Parse, so that a manifest that was accepted
// remains readable by a later version with tighter limits.
//
// HomeShard and TasksOf distribute the tasks of a workload over shards.
package manifest
