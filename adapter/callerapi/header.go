package callerapi

import (
	"net/http"
	"strings"

	"github.com/guavarill/guavarill/traffic"
)

// hopHeaders are the headers that are not forwarded: hop-by-hop headers (RFC
// 9110, section 7.6.1), and Content-Length and Expect, which concern the framing
// of a message.
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

// reservedPrefix begins the headers that are reserved for the entry and its
// targets.
const reservedPrefix = "Guavarill-"

// forwardedHeader returns the headers of h that are forwarded. The value slices
// are shared with h.
func forwardedHeader(h http.Header) http.Header {
	named := connectionTokens(h)
	passed := make(http.Header, len(h))
	for name, values := range h {
		if hopHeaders[name] || named[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		passed[name] = values
	}
	return passed
}

// connectionTokens returns the header names that the Connection header lists as
// hop-by-hop.
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

// setFateHeaders sets the fate and, unless it is empty, the request id, which
// every response contains.
func setFateHeaders(h http.Header, fateName, id string) {
	h[traffic.HeaderFate] = []string{fateName}
	if id != "" {
		h[traffic.HeaderRequestID] = []string{id}
	}
}
