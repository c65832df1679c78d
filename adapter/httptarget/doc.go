// Package httptarget sends requests to targets over HTTP/1.1. It implements
// traffic.Target.
//
// net/http frames the messages; this package owns the connections. Each
// connection is an http.ClientConn, which never retries a request by itself,
// on top of a conn. The conn records what is needed to determine the fate of a
// request:
//
//   - Before the first byte of a request is written, conn checks the deadline
//     and the socket. If the socket holds unsolicited bytes or the target has
//     closed the stream, the connection is closed and the request was not sent.
//   - From the first write on, the request counts as sent, unless the kernel
//     accepted none of its bytes.
//   - Abandoning an exchange seals its connection: either nothing was written
//     and nothing will be, or the request counts as sent. Without the seal, a
//     writer that was about to run when the caller gave up could send a request
//     that had just been reported as not run.
//   - A connection returns to its pool only when its reader has consumed the
//     last response and waits for more from the network. Bytes that arrive
//     after that and before the next request answer no request, and the
//     connection is closed. Bytes after one caller's response therefore never
//     become the start of another caller's.
//
// A response is passed on whole or not at all. It is whole when all bytes of
// its declared length, or its last chunk, have arrived. A response delimited
// only by the end of the connection is rejected, because that end cannot be
// distinguished from a connection that broke midway.
//
// If a middlebox between the entry and the target, such as a firewall, loses
// its state for a connection, the target appears slow. When an exchange on a
// pooled connection stays silent for longer than SilenceAfter, the target is
// therefore probed over a new connection (OPTIONS *). If the target answers
// the probe, the old connections are at fault and are dropped; if not, the
// target is.
package httptarget
