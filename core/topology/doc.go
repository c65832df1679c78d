// Package topology divides a cluster's racks into shards.
//
// A shard is a set of whole racks of one availability zone. Racks are only
// ever added, and never change their shard: the tasks of a shard are committed
// in that shard's ledger, and a rack that changed shard would carry tasks that
// the new shard's ledger does not know, so that its workers could be committed
// twice. One value in the store holds the topology, replaced by
// compare-and-swap; a daemon that loses the race reads it again and extends
// that.
package topology
