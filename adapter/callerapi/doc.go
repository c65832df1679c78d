// Package callerapi implements the HTTP interface of an entry for callers.
//
//	ANY /v1/services/{service}/call[/path]   a request to the service
//	GET /healthz                             200 while the process runs
//	GET /readyz                              200 while the entry takes requests, else 503
//
// The path after "call", the query, the method and the body are forwarded to the
// target unchanged, and so are the headers, except hop-by-hop headers and those
// that begin with Guavarill-. Callers may set these headers:
//
//	Guavarill-Request-Id   the id of the request; a UUIDv7 is best, because an
//	                       entry that has just started can recognize it as new
//	Guavarill-Idempotent   true or false; GET, HEAD and OPTIONS are idempotent
//	                       by default, all other methods are not
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
// A target's response is buffered until it is whole, and only then does the
// response to the caller begin. A target that fails midway therefore yields a
// 502 with a typed body, never a truncated success. The cost is memory, at most
// the size limit of a response for each slot in use, and latency, as the first
// byte is forwarded only after the last has arrived. A service that streams
// without end cannot be used through an entry.
package callerapi
