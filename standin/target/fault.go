package target

import "time"

// Kind is a way to break.
type Kind uint8

// The kinds of fault. Unless told otherwise the request was run.
const (
	// None: a whole answer.
	None Kind = iota
	// DropUnread: the connection is closed before the request is read, and it
	// is not run.
	DropUnread
	// Refuse: the answer says that the request was not started, and it is not
	// run.
	Refuse
	// FailAnswer: a whole answer with status 500.
	FailAnswer
	// ResetBeforeHead: a reset before any byte of the answer.
	ResetBeforeHead
	// ResetMidHead: a reset after a part of the answer's head.
	ResetMidHead
	// ResetMidBody: a reset after a part of the answer's body.
	ResetMidBody
	// ShortBody: an orderly end of the connection before the declared length.
	ShortBody
	// ShortChunks: an orderly end of the connection before the last chunk.
	ShortChunks
	// Unbounded: an answer that declares no length and ends with the
	// connection.
	Unbounded
	// Conflicting: two different declared lengths.
	Conflicting
	// BadHead: bytes that are no HTTP.
	BadHead
	// HugeHead and HugeBody: an answer far over any bound.
	HugeHead
	HugeBody
	// Extra: a whole answer, followed at once by another that nobody asked for.
	Extra
	// Hang: no answer until the client gives up.
	Hang
	// HangUnread: no answer, and the request is not run.
	HangUnread
	// ResetRefusal: a refusal whose head is whole and whose body is cut.
	ResetRefusal

	// NumKinds is how many kinds there are.
	NumKinds = int(ResetRefusal) + 1
)

var kindNames = [NumKinds]string{
	"none", "drop unread", "refuse", "fail answer", "reset before head", "reset mid head", "reset mid body",
	"short body", "short chunks", "unbounded", "conflicting", "bad head", "huge head", "huge body", "extra",
	"hang", "hang unread", "reset refusal",
}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) >= NumKinds {
		return "invalid"
	}
	return kindNames[k]
}

// Fault is what happens to a request.
type Fault struct {
	Kind Kind
	// Delay is how long the run takes, whatever the kind.
	Delay time.Duration
}
