// Package topology divides the racks of a cluster into shards.
//
// A shard is a set of whole racks of one availability zone. Racks are only added
// and never change their shard. The tasks of a shard are committed in the shard's
// ledger; if a rack moved to another shard, its workers would run tasks that are
// not in the ledger of the new shard, and their capacity could be committed
// twice. The topology is stored in one value, which is replaced by
// compare-and-swap. A daemon whose swap fails reads the value again and extends
// it.
package topology
