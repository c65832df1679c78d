package tlsfiles

import "fmt"

// ErrorKind classifies failures to load TLS files.
type ErrorKind string

// The kinds of Error.
const (
	KindUnreadable ErrorKind = "file not readable"
	KindBadKeyPair ErrorKind = "certificate and key do not parse or match"
	KindBadCA      ErrorKind = "no certificate in the CA file"
	KindIncomplete ErrorKind = "certificate, key and CA files must be given together"
)

// Error reports that TLS files could not be loaded. File and Cause are empty for
// kinds that have none.
type Error struct {
	Kind  ErrorKind
	File  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	s := "tls files: " + string(e.Kind)
	if e.File != "" {
		s += ": " + e.File
	}
	if e.Cause != nil {
		s += fmt.Sprintf(": %v", e.Cause)
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
