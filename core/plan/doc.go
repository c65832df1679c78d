// Package plan is the step between deciding and committing. A Plan is what the
// scheduler wishes to change in a shard's ledger, decided on a snapshot. Apply
// checks each wish against the ledger as it has become since, and against the
// workers' capacities, and passes on only what still fits.
//
// The check is the last one before the commit and does not trust the
// decision: whatever the scheduler got wrong, or whatever happened since its
// snapshot, no worker's committed sum passes its capacity.
package plan
