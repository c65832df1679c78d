// Package httpdrain ends an HTTP server at a planned stop without losing requests.
//
// http.Server.Shutdown closes each connection that seems idle. On a busy VM a request may
// have arrived there that the process has not read yet, and its caller gets no answer. A
// Server of this package looks for such a request before it closes a connection.
package httpdrain
