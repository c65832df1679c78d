// Package manifest reads, checks and writes the operators' declaration of what
// should run.
//
// Parse takes YAML or JSON and is strict: a field it does not know, a field
// given twice, a value of another type, a duration without a unit or a size
// that no worker could hold refuses the whole manifest, and every problem is
// listed with its path. Nothing is guessed, because a manifest that is half
// understood would start the wrong work.
//
// A parsed manifest is normalised: teams and workloads are sorted by name, an
// absent priority is "normal" and an absent class is the workload's name.
// Canonical writes that form as JSON, always the same bytes for the same
// declaration; it is what the store keeps and what daemons compare. Load reads
// it back. Load does not apply the limits of Parse: a manifest that was
// accepted stays readable by a later version with tighter limits.
//
// HomeShard and TasksOf deal a workload's tasks over shards.
package manifest
