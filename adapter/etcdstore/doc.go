// Package etcdstore implements port.Store over the etcd v3 gRPC API.
//
// Each method is one counted call with a deadline. Nothing is repeated behind
// the caller's back: the library's retries, service configuration, name
// resolution and balancing are off. What remains is that the library sends a
// call again on a new connection when the old one certainly did not process
// it.
//
// A mutating call is reported as not done only with proof: its message was
// never handed to a connection, it was too large to send, or the store
// refused it with a status that the protocol gives only to changes it did not
// make. Everything else is unknown. Reads are always not done.
//
// A connection on which a call ran out of time without any answer is suspected
// to have gone silent: later calls use a new connection, and once that one
// answers, the suspected one is closed, which ends its watches. HTTP/2 pings
// find a silent connection that carries only watches.
package etcdstore
