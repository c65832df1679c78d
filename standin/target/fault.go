package target

import "time"

// Kind is a kind of fault.
type Kind uint8

// The kinds of fault. The request is run unless the kind says otherwise.
const (
	// None sends a complete response with status 200.
	None Kind = iota
	// DropUnread closes the connection before the request body is read. The
	// request is not run.
	DropUnread
	// Refuse sends a response that says that the request was not started. The
	// request is not run.
	Refuse
	// ErrorResponse sends a complete response with status 500.
	ErrorResponse
	// ResetBeforeHead resets the connection before any byte of the response.
	ResetBeforeHead
	// ResetMidHead resets the connection after a part of the response header.
	ResetMidHead
	// ResetMidBody resets the connection after a part of the response body.
	ResetMidBody
	// ShortBody closes the connection normally before the declared length.
	ShortBody
	// ShortChunks closes the connection normally before the last chunk.
	ShortChunks
	// Unbounded sends a response without a declared length, which ends when the
	// connection is closed.
	Unbounded
	// ConflictingLengths sends two different Content-Length headers.
	ConflictingLengths
	// MalformedHead sends bytes that are not HTTP.
	MalformedHead
	// HugeHead sends a response header of more than 1 MiB, far above the limit of
	// the entries' client.
	HugeHead
	// HugeBody declares a body of hugeBytes, far above the limit of the entries' client.
	HugeBody
	// ExtraResponse sends a complete response, followed at once by an unsolicited one.
	ExtraResponse
	// Hang sends no response; it waits until the client disconnects.
	Hang
	// HangUnread sends no response, like Hang, and the request is not run.
	HangUnread
	// ResetRefusal sends a refusal with a complete header and a truncated body, then
	// resets the connection. The request is not run.
	ResetRefusal

	// NumKinds is the number of kinds.
	NumKinds = int(ResetRefusal) + 1
)

var kindNames = [NumKinds]string{
	"none", "drop unread", "refuse", "fail answer", "reset before head", "reset mid head", "reset mid body",
	"short body", "short chunks", "unbounded", "conflicting", "bad head", "huge head", "huge body", "extra",
	"hang", "hang unread", "reset refusal",
}

// String returns the kind's name, or "invalid".
func (k Kind) String() string {
	if int(k) >= NumKinds {
		return "invalid"
	}
	return kindNames[k]
}

// Fault is the fault that is injected into a request.
type Fault struct {
	Kind Kind
	// Delay is added to the duration of the run, for every kind that runs the
	// request.
	Delay time.Duration
}
