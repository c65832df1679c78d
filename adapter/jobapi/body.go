package jobapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"reflect"

	"github.com/guavarill/guavarill/adapter/httpguard"
	"github.com/guavarill/guavarill/core/job"
)

// ReadBody decodes a submission's JSON, of at most limit bytes, into v, until ctx ends; a
// limit of 0 means defaultBodyBytes. An error is a *job.InvalidError, a *TooLargeError, a
// *httpguard.NoMemoryError or a *httpguard.TimeoutError.
func ReadBody(ctx context.Context, r *http.Request, limit int64, v any) error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	data, err := httpguard.ReadBody(ctx, r, limit)
	if err != nil {
		return bodyError(err)
	}
	if err := httpguard.Reserve(r.Context(), decodingCost(data)); err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &job.InvalidError{Field: "the body", Reason: "is no job: " + err.Error()}
	}
	return nil
}

// bodyError returns the error for a body that could not be read.
func bodyError(err error) error {
	var large *httpguard.TooLargeError
	var memory *httpguard.NoMemoryError
	var late *httpguard.TimeoutError
	switch {
	case errors.As(err, &large):
		return &TooLargeError{}
	case errors.As(err, &memory), errors.As(err, &late):
		return err
	}
	return &job.InvalidError{Field: "the body", Reason: "ended early: " + err.Error()}
}

const (
	// elementCost and objectCost are what an element of a list and an object take in
	// memory, in bytes, when they are decoded into lists that grow.
	elementCost = 32
	objectCost  = 1024
)

// decodingCost returns the most memory, in bytes, that a body and what is decoded of it
// take. Only job.MaxSteps objects are kept.
func decodingCost(data []byte) int64 {
	elements := int64(bytes.Count(data, []byte{','}))
	objects := min(int64(bytes.Count(data, []byte{'{'})), job.MaxSteps)
	return int64(len(data)) + elements*elementCost + objects*objectCost
}

// StepList is the steps of a declaration. One that is longer than a job may have is cut off
// after the first step too many, which suffices to reject it.
type StepList[Step any] []Step

// UnmarshalJSON implements json.Unmarshaler.
func (l *StepList[Step]) UnmarshalJSON(data []byte) error {
	elements := json.NewDecoder(bytes.NewReader(data))
	first, err := elements.Token()
	switch {
	case err != nil:
		return err
	case first == nil:
		*l = nil
		return nil
	case first != json.Delim('['):
		return &json.UnmarshalTypeError{Value: "steps", Type: reflect.TypeFor[[]Step]()}
	}
	*l = nil
	for elements.More() && len(*l) <= job.MaxSteps {
		var step Step
		if err := elements.Decode(&step); err != nil {
			return err
		}
		*l = append(*l, step)
	}
	return nil
}

// declaration is a job.Spec as callers send it.
type declaration struct {
	Payload  string             `json:"payload"`
	Steps    StepList[job.Step] `json:"steps"`
	Schedule *job.Schedule      `json:"schedule"`
}

func (d *declaration) spec() *job.Spec {
	return &job.Spec{Payload: d.Payload, Steps: d.Steps, Schedule: d.Schedule}
}
