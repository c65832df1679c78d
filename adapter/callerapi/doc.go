// Package callerapi is the HTTP interface of an entry towards callers.
//
//	ANY /v1/services/{service}/call[/path]   a request to the service
//	GET /healthz                             200 while the process runs
//	GET /readyz                              200 while the entry takes requests, else 503
//
// What follows "call" and the query go to the target unchanged, as do the
// method, the body and the headers, except those that belong to one connection
// and those that begin with Guavarill-. The headers that callers may set:
//
//	Guavarill-Request-Id   names the request; a UUIDv7 is best, since an entry
//	                       that has just started can tell that it is new
//	Guavarill-Idempotent   true or false; GET, HEAD and OPTIONS are idempotent
//	                       unless told otherwise, all else is not
//	Guavarill-Timeout      how long the caller waits, e.g. 500ms
//	Guavarill-Priority     low, normal, high or urgent
//
// Every response carries Guavarill-Fate and Guavarill-Request-Id:
//
//	fate       status                     body
//	answered   the target's               the target's, whole
//	not-run    400 invalid request        JSON
//	           404 unknown service
//	           413 body too large
//	           429 shed because of load, with Retry-After
//	           503 any other reason, with Retry-After
//	unknown    502 the exchange failed    JSON
//	           504 no answer in time
//	           422 the id belongs to another payload
//
// The JSON of an error is {"fate","reason","detail","retryAfterMillis",
// "requestId"}; its reasons are the constants of package fate.
//
// The answer of a target is held until it is whole, and only then is the
// caller's begun: a target that breaks in the middle becomes a 502 with a
// typed body, never a short success. The price is memory, at most the bound of
// an answer for each slot in use, and the time until the last byte before the
// first is passed on; a service that streams without end cannot be reached
// through an entry.
package callerapi
