// Package vmlist stands in for the platform's list of VMs: an HTTP server of
// a JSON array of model.VM that can lag, be empty, old, down or slow. It answers
// conditional reads by ETag, and gzip to those who take it.
package vmlist
