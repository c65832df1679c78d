// Package grpcrelay lets the daemon that leads have its orders to workers
// carried by the other daemons. An order costs a call over HTTP, which is most
// of what leading costs; carried, it costs a few bytes in a batch.
//
// Carriers decide nothing. An order that is held up on its way is no worse than
// one held up between a daemon and a worker: it carries the leader's epoch, and
// a lease that ends by the worker's clock.
package grpcrelay
