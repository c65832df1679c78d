package callerapi

import (
	"net/http"
	"strings"

	"github.com/guavarill/guavarill/traffic"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, section
// 7.6.1). Content-Length and Expect are the framing's own.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

const ownPrefix = "Guavarill-"

// passedHeader returns the headers that go on to the other side.
func passedHeader(h http.Header) http.Header {
	named := connectionTokens(h)
	passed := make(http.Header, len(h))
	for name, values := range h {
		if hopHeaders[name] || named[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		passed[name] = values
	}
	return passed
}

// connectionTokens returns the headers that Connection declares to be of this
// connection alone.
func connectionTokens(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, v := range values {
		for token := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}

// setOwn sets the headers that every response carries.
func setOwn(h http.Header, fateName, id string) {
	h[traffic.HeaderFate] = []string{fateName}
	if id != "" {
		h[traffic.HeaderRequestID] = []string{id}
	}
}
