// Package grpcrelay lets the leader send its orders to workers through the other
// daemons, the relays. An order costs an HTTP call, and these calls are most of the
// leader's load; an order that is relayed costs the leader a few bytes in a batch.
//
// Relays make no decisions. An order that is delayed on its way through a relay is
// no worse than one delayed between a daemon and a worker: it contains the leader's
// epoch, and a lease that expires by the worker's clock.
//
// The package also lets a daemon without access to the store read and write it
// through another daemon (RecordsClient, RecordsServer).
package grpcrelay
