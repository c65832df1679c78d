// Package adminapi is the operators' HTTP interface of a daemon.
//
//	POST /v1/manifest    accept the manifest in the body; query: base, dryRun
//	GET  /v1/manifest    the manifest in force here
//	POST /v1/cancel      cancel workloads; body: CancelRequest
//	GET  /v1/status      daemon.Status
//	GET  /v1/tasks       tasks of the shards that this daemon owns
//	GET  /v1/timeline    events that this daemon holds
//	POST /v1/drain       begin a planned stop
//	GET  /metrics        Prometheus metrics
//	GET  /livez          200 while the process works
//	GET  /readyz         200 while requests are taken, else 503 and the reason
//
// A change answers with ChangeResult and the status of its outcome: 200
// accepted or unchanged, 409 conflict, 422 refused, 503 certainly not made,
// 502 unknown. An error answers with Problem: 400 a query or body that is not
// understood, a parameter or field that is not known included; 404 no such
// call, or no manifest yet; 503 the daemon does not answer. With dryRun=true
// the answer says what would become of the manifest at the configuration in
// force here, and nothing is changed.
package adminapi
