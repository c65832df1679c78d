// Package traffic forwards callers' requests to targets. It admits a request,
// claims the id of a non-idempotent one, selects a target, exchanges request
// and response with it, determines the fate, and retries.
//
// It runs on the callers' goroutines. The control goroutine updates services
// and target tables through Configure and SetTargets. Both swap snapshots or
// hold a service's lock only briefly, so neither side waits for the other's
// work. The lock of a service guards its queue, its retry budget and its
// counts, and is never held during I/O.
//
// Each call of Engine.Do ends in exactly one fate. A queued request fails as
// soon as it can no longer be answered before its deadline.
package traffic
