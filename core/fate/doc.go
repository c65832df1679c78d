// Package fate defines the fate of a request: answered, certainly not run, or
// unknown.
//
// An exchange with a target passes through the stages below in order. The stage
// in which it ended and the amount of the request that was handed to the network
// determine the fate:
//
//	stage            nothing sent   part sent   all sent
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
// In the stage NotStarted the target has declared that it did not start the
// request, by status 503 with the header Guavarill-Not-Started: true. This holds
// as soon as the head was read completely, even if the body is not.
//
// A combination that cannot occur, such as part of an answer to a request of
// which nothing was sent, means that the exchange was tracked incorrectly. Its
// fate is unknown, because a request is reported as not run only if that is
// certain. The fate is also unknown if a part of the head was sent: the sender
// does not know how much of it arrived or what the target does with it.
//
// If the caller disconnects or the deadline passes, the exchange ends in the
// stage that it has reached, and the table applies unchanged.
package fate
