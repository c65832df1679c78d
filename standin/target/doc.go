// Package target is a stand-in for one instance of a service: an HTTP server
// that responds to requests, counts the ones that it ran, and injects the faults
// that tests select.
//
// A run is counted when the handler has read the whole request and begins to
// process it, so the counts are correct whatever response the client received. The
// response repeats the request's id and body, so that a client can detect a
// response that belongs to another request.
package target
