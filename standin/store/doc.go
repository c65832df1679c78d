// Package store is a small in-memory stand-in for the platform's key-value
// service. It serves the subset of the etcd v3 gRPC API that guavarill calls
// over a real socket, and the same state in process as a port.Store without
// sockets. Both count calls and can be made to fail.
//
// It keeps revisions, leases and a history for watches as the service does:
// one transaction makes one revision, a transaction must not change a key
// twice, watches resume from a revision unless it was compacted. It keeps no
// old values to read and has no users, nested transactions or members.
//
// All methods are safe for concurrent use, and faults may be set at any time.
package store
