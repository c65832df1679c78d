// Package target is a stand-in for one instance of a service: an HTTP server
// that answers, counts what it ran, and breaks in the ways that tests ask for.
//
// A run is counted when the handler has the whole request and begins its work,
// so the counts tell what was truly run whatever the client was told. The
// answer to a request repeats its id and body, so that a client can tell its
// own answer from another's.
package target
