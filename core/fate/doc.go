// Package fate says what became of a request: answered, certainly not run, or
// unknown.
//
// An exchange with a target passes through the points below in order. Where it
// broke, together with whether any byte of the request was handed to the
// network, decides the fate:
//
//	point            nothing sent   part sent   all sent
//	BeforeConnect    not run        unknown     unknown
//	Connecting       not run        unknown     unknown
//	SendingHead      not run        unknown     unknown
//	SendingBody      not run        unknown     unknown
//	AwaitingHead     unknown        unknown     unknown
//	ReadingHead      unknown        unknown     unknown
//	ReadingBody      unknown        unknown     unknown
//	AfterEnd         answered       answered    answered
//	NotStarted       not run        not run     not run
//
// NotStarted is the target's own word: status 503 with the header
// Guavarill-Not-Started: true. It holds as soon as the head was read whole,
// whatever becomes of the body.
//
// A combination that cannot arise, such as an answer to a request of which
// nothing was sent, means that the account of the exchange is wrong; it counts
// as unknown, because not run is said only when it is certain. A part of the
// head that was sent counts as unknown too: the sender cannot see how much of
// it arrived, nor what the target does with it.
//
// That the caller went away or the deadline passed changes nothing in the
// table: either ends the exchange at the point it had reached.
package fate
