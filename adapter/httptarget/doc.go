// Package httptarget reaches targets over HTTP/1.1. It implements
// traffic.Target.
//
// net/http frames the messages; this package owns the connections. Each is an
// http.ClientConn, which sends what it is told and never sends it again, over
// a conn that keeps the account on which the fate of a request rests:
//
//   - Before the first byte of a request is written, conn looks at the clock
//     and at the socket. Bytes that nobody asked for, or the target's end of
//     the stream, end the connection there, and the request was not sent.
//   - From the first write on, the request counts as sent, unless the kernel
//     took none of it.
//   - An exchange that is given up seals its connection: either nothing was
//     written and nothing will be, or the request counts as sent. Without the
//     seal, a writer that was about to run when the caller gave up could send
//     a request that had just been reported as not run.
//   - A connection goes back to its pool only when its reader has nothing left
//     of the last answer and asks the network for more. What comes then, before
//     the next request, belongs to nobody, and the connection is closed. So
//     the bytes after one caller's answer never begin another's.
//
// An answer is passed on whole or not at all. It is whole when its declared
// length or its last chunk has come; an answer that ends with the connection
// is refused, since its end looks like a break in the middle.
//
// Connections that something between lost track of look like slow targets. An
// exchange on a pooled connection that stays silent longer than is plausible
// has its target asked over a new connection (OPTIONS *). If that answers, the
// old connections are to blame and are dropped; if not, the target is.
package httptarget
