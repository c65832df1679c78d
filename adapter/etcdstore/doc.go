// Package etcdstore implements port.Store over the etcd v3 gRPC API.
//
// Each method makes one call with a deadline and counts it. The adapter never
// retries a call: the gRPC library's retries, service configuration, name
// resolution and load balancing are disabled. The one exception is a transparent
// retry: the library sends a call again on a new connection if the old one
// certainly did not process it.
//
// A failed mutating call is reported as not done only with proof: its message
// was never passed to a connection, it was too large to send, or the store
// rejected it with a status that the protocol returns only for changes that were
// not made. Every other failure has an unknown outcome. A failed read is always
// reported as not done.
//
// A connection on which a call timed out without any response from the store is
// suspected to be silent. Later calls use a new connection, and after the first
// response on it the suspected connection is closed, which ends its watches.
// HTTP/2 pings detect a silent connection that has only watches.
package etcdstore
