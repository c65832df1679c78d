package adminapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/guavarill/guavarill/core/model"
)

// RequestReason describes why a request is invalid.
type RequestReason string

// The reasons of a RequestError.
const (
	ReasonUnknownParameter RequestReason = "unknown parameter"
	ReasonBadValue         RequestReason = "value not understood"
	ReasonBadJSON          RequestReason = "not the expected JSON"
	ReasonNoWorkloads      RequestReason = "names no workload"
)

// RequestError reports an invalid request, which changed nothing.
type RequestError struct {
	Reason RequestReason
	// Subject is the parameter, with its value if the value is invalid, or the
	// position in the body. It may be empty.
	Subject string
	Cause   error
}

// Error implements error.
func (e *RequestError) Error() string {
	text := string(e.Reason)
	if e.Subject != "" {
		text += " " + e.Subject
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// applyQuery holds the query parameters of an apply request.
type applyQuery struct {
	// base is the revision that the operator intends to replace; nil means any.
	base   *model.Revision
	dryRun bool
}

// parseApplyQuery parses the query of an apply request and rejects unknown
// parameters. If they were ignored, a misspelt dryRun would make a change that the
// operator only wanted to check, and a misspelt base would replace any revision.
// If a parameter is repeated, its last value counts.
func parseApplyQuery(values url.Values) (applyQuery, error) {
	var q applyQuery
	for name, given := range values {
		var err error
		value := given[len(given)-1]
		switch name {
		case "base":
			err = q.setBase(value)
		case "dryRun":
			q.dryRun, err = strconv.ParseBool(value)
		default:
			return q, &RequestError{Reason: ReasonUnknownParameter, Subject: name}
		}
		if err != nil {
			return q, &RequestError{Reason: ReasonBadValue, Subject: fmt.Sprintf("%s=%q", name, value), Cause: err}
		}
	}
	return q, nil
}

func (q *applyQuery) setBase(text string) error {
	n, err := strconv.ParseUint(text, 10, 64)
	revision := model.Revision(n)
	q.base = &revision
	return err
}

// readCancel decodes the body of a cancel request, which is a single JSON object.
// It rejects unknown fields and an empty list of workloads.
func readCancel(body io.Reader) (CancelRequest, error) {
	var request CancelRequest
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, &RequestError{Reason: ReasonBadJSON, Cause: err}
	}
	if decoder.More() {
		return request, &RequestError{Reason: ReasonBadJSON, Subject: "after the object"}
	}
	if len(request.Workloads) == 0 {
		return request, &RequestError{Reason: ReasonNoWorkloads}
	}
	return request, nil
}
