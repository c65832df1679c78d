package traffic

// The headers that callers, entries and targets exchange about a request.
const (
	// HeaderRequestID is the request's id. It is sent to the entry, to the
	// target and back to the caller.
	HeaderRequestID = "Guavarill-Request-Id"
	// HeaderIdempotent is set by a caller whose request may safely run more
	// than once.
	HeaderIdempotent = "Guavarill-Idempotent"
	// HeaderTimeout is a Go duration: from the caller, how long it waits; to
	// the target, how long the entry will still wait.
	HeaderTimeout = "Guavarill-Timeout"
	// HeaderPriority is the request's priority by name.
	HeaderPriority = "Guavarill-Priority"
	// HeaderFate is the request's fate, on every response of an entry.
	HeaderFate = "Guavarill-Fate"
	// HeaderNotStarted, with status 503, is set by a target that did not start
	// the request.
	HeaderNotStarted = "Guavarill-Not-Started"
	// HeaderLeaving is set by a target that takes no new requests.
	HeaderLeaving = "Guavarill-Leaving"
	// HeaderTrue is the value of the boolean headers, which are absent if
	// false.
	HeaderTrue = "true"
)
