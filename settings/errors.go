package settings

import "fmt"

// Reason describes why a setting is invalid.
type Reason string

// The reasons of an InvalidError. Operators see these texts.
const (
	Missing     Reason = "is required"
	NotAddress  Reason = "is not host:port"
	NotPort     Reason = "has no port that other machines can reach"
	NotIP       Reason = "must name an IP number"
	Wildcard    Reason = "must not be a wildcard"
	NotURL      Reason = "is not an http or https URL"
	NotName     Reason = "may hold lower case letters, digits and inner dashes only"
	TooLong     Reason = "is too long"
	NotPositive Reason = "must be above 0"
	NotFinite   Reason = "must be a finite number"
	TooShort    Reason = "is too short"
	Incomplete  Reason = "is required too: --tls-cert, --tls-key and --tls-ca go together"
)

// InvalidError reports a setting that is missing or has an invalid value.
type InvalidError struct {
	// Flag is the name of the flag without the leading dashes.
	Flag   string
	Value  string
	Reason Reason
	// Detail is optional and gives the limit or the other setting that the value
	// conflicts with.
	Detail string
}

// Error implements error.
func (e *InvalidError) Error() string {
	text := fmt.Sprintf("--%s %q %s", e.Flag, e.Value, e.Reason)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}
