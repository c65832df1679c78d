// Package vmlist is a stand-in for the platform's list of VMs: an HTTP server
// that returns a JSON array of model.VM. The list can be delayed, empty, stale,
// unavailable or slow. The server supports conditional reads by ETag, and gzip
// for clients that accept it.
package vmlist
