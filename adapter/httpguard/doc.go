// Package httpguard bounds what the clients of a process can take of it, whatever they
// send: connections, memory and time.
//
// A Guard is shared by all HTTP servers of a process. It counts the memory of requests that
// are being read, and has a clock by which connections grow old. Each Server has a limit on
// its connections. When memory or connections run short, whoever takes the most memory, or
// has used a connection for the longest time without a request that is complete, makes
// room. A complete request that is being handled is never given up.
package httpguard
