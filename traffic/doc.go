// Package traffic carries callers' requests to targets: admission, the claim
// of a non-idempotent request's id, the choice of a target, the exchange, the
// fate, and the retry.
//
// It runs on the callers' goroutines. The control goroutine hands it new
// services and target tables through Configure and SetTargets; both swap
// snapshots or take a service's lock for a moment, so neither side waits for
// the other's work. The lock of a service guards its queue, its retry budget
// and its counts, and is never held over I/O.
//
// Each call of Engine.Do ends in exactly one fate. A request that waits is
// told at once when it can no longer be answered in time.
package traffic
