// Package adminapi implements the HTTP API of a daemon for operators, and a client
// for it.
//
//	POST /v1/manifest    accept the manifest in the body; query: base, dryRun
//	GET  /v1/manifest    the manifest in force at this daemon
//	POST /v1/cancel      cancel workloads; body: CancelRequest
//	GET  /v1/status      daemon.Status
//	GET  /v1/tasks       tasks of the shards that this daemon owns
//	GET  /v1/timeline    the timeline events that this daemon retains
//	POST /v1/drain       start a planned stop
//	GET  /metrics        Prometheus metrics
//	GET  /livez          200 while the process is running
//	GET  /readyz         200 while requests are accepted, otherwise 503 and the reason
//
// The response to a change is a ChangeResult. Its status depends on the outcome:
// 200 accepted or unchanged, 409 conflict, 422 refused, 503 definitely not made,
// 502 unknown. The response to any other failed request is a Problem: 400 for an
// invalid query or body, including unknown parameters and fields; 404 for an
// unknown path, or when there is no manifest yet; 503 if the daemon does not
// respond. With dryRun=true, the response reports what the manifest would change
// relative to the configuration in force at this daemon, and nothing is changed.
package adminapi
