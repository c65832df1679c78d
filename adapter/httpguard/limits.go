package httpguard

import (
	"cmp"
	"time"
)

// Limits bound a request. A field that is 0 has its default.
type Limits struct {
	// HeadBytes bounds the size of a request's head, which is its first line and its
	// header fields.
	HeadBytes int
	// HeadTimeout bounds the time until a head is complete, from the opening of its
	// connection or the first byte of it on.
	HeadTimeout time.Duration
	// BodyTimeout bounds the time until a body is complete, from the end of its head on.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time for which a client does not take a part of a response.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection stays open between requests.
	IdleTimeout time.Duration
}

// The defaults of Limits.
const (
	DefaultHeadBytes    = 16 << 10
	DefaultHeadTimeout  = 3 * time.Second
	DefaultBodyTimeout  = 10 * time.Second
	DefaultWriteTimeout = 10 * time.Second
	DefaultIdleTimeout  = 60 * time.Second
)

func (l Limits) withDefaults() Limits {
	return Limits{
		HeadBytes:    cmp.Or(l.HeadBytes, DefaultHeadBytes),
		HeadTimeout:  cmp.Or(l.HeadTimeout, DefaultHeadTimeout),
		BodyTimeout:  cmp.Or(l.BodyTimeout, DefaultBodyTimeout),
		WriteTimeout: cmp.Or(l.WriteTimeout, DefaultWriteTimeout),
		IdleTimeout:  cmp.Or(l.IdleTimeout, DefaultIdleTimeout),
	}
}

// Cause is why a connection was closed or a request was refused.
type Cause string

// The causes.
const (
	CauseConnections  Cause = "too many connections"
	CauseMemory       Cause = "no memory for requests"
	CauseHeadSize     Cause = "head too large"
	CauseHeadTimeout  Cause = "head not complete in time"
	CauseBodyTimeout  Cause = "body not complete in time"
	CauseWriteTimeout Cause = "response not taken in time"
	CauseUnreadBody   Cause = "body not wanted"
)
