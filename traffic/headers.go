package traffic

// The headers by which callers, entries and targets speak of a request.
const (
	// HeaderRequestID carries the request's id, to the entry, to the target
	// and back to the caller.
	HeaderRequestID = "Guavarill-Request-Id"
	// HeaderIdempotent is the caller's word that a repeat does no harm.
	HeaderIdempotent = "Guavarill-Idempotent"
	// HeaderTimeout is how long the caller waits, and towards the target how
	// long the entry still does, as a Go duration.
	HeaderTimeout = "Guavarill-Timeout"
	// HeaderPriority is the request's priority by name.
	HeaderPriority = "Guavarill-Priority"
	// HeaderFate is the fate, on every answer of an entry.
	HeaderFate = "Guavarill-Fate"
	// HeaderNotStarted, with status 503, is a target's word that it did not
	// start the request.
	HeaderNotStarted = "Guavarill-Not-Started"
	// HeaderLeaving is a target's word that it takes nothing new.
	HeaderLeaving = "Guavarill-Leaving"
	// HeaderTrue is the value of the headers that are either there or not.
	HeaderTrue = "true"
)
