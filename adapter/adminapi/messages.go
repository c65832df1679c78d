package adminapi

import (
	"errors"
	"net/http"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// Outcome is the result of a change that an operator requested.
type Outcome string

// The outcomes of a change. WouldMake is the outcome of a dry run of a manifest
// that would be accepted.
const (
	Accepted  Outcome = "accepted"
	NoChange  Outcome = "no change"
	Conflict  Outcome = "conflict"
	Refused   Outcome = "refused"
	NotMade   Outcome = "not made"
	Unknown   Outcome = "unknown"
	WouldMake Outcome = "would be accepted"
)

// ChangeResult is the body of the response to an apply or a cancel request.
type ChangeResult struct {
	Outcome  Outcome        `json:"outcome"`
	Revision model.Revision `json:"revision,omitempty"`
	Diff     config.Diff    `json:"diff"`
	// Problems lists why a manifest was refused.
	Problems []manifest.Problem `json:"problems,omitempty"`
	Detail   string             `json:"detail,omitempty"`
	// Writer identifies a change whose outcome is unknown; its revision, if it was
	// made, is Revision. For a conflict, Writer is the writer of Revision, if known.
	Writer string `json:"writer,omitempty"`
}

// CancelRequest is the body of a request to cancel workloads. If Base is set, the
// request conflicts unless Base is the current revision.
type CancelRequest struct {
	Workloads []string        `json:"workloads"`
	Base      *model.Revision `json:"base,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	Detail string      `json:"detail"`
}

// ProblemKind classifies the errors of operators' requests.
type ProblemKind string

// The kinds of Problem.
const (
	BadQuery    ProblemKind = "bad query"
	BadBody     ProblemKind = "bad body"
	Unavailable ProblemKind = "daemon does not answer"
	NoManifest  ProblemKind = "no manifest"
	NoSuchCall  ProblemKind = "no such call"
)

// changeResult converts the result of a change to the status and the body of the
// response.
func changeResult(result config.ApplyResult) (int, ChangeResult) {
	switch r := result.(type) {
	case config.ApplyAccepted:
		return http.StatusOK, ChangeResult{Outcome: Accepted, Revision: r.Revision, Diff: r.Diff}
	case config.ApplyNoChange:
		return http.StatusOK, ChangeResult{Outcome: NoChange, Revision: r.Revision}
	case config.ApplyConflict:
		return http.StatusConflict, ChangeResult{Outcome: Conflict, Revision: r.Current, Writer: r.Writer}
	case config.ApplyRefused:
		// A cluster without any worker so far refuses every manifest. The manifest
		// itself may be valid and can be sent again, hence 503 instead of 422.
		var noShards *config.NoShardsError
		if errors.As(r.Cause, &noShards) {
			return http.StatusServiceUnavailable, ChangeResult{Outcome: NotMade, Detail: r.Cause.Error()}
		}
		return http.StatusUnprocessableEntity, ChangeResult{
			Outcome: Refused, Problems: r.Problems, Detail: errorText(r.Cause),
		}
	case config.ApplyNotMade:
		return http.StatusServiceUnavailable, ChangeResult{Outcome: NotMade, Detail: errorText(r.Cause)}
	case config.ApplyUnknown:
		return http.StatusBadGateway, ChangeResult{
			Outcome: Unknown, Revision: r.Revision, Writer: r.Writer, Detail: errorText(r.Cause),
		}
	}
	return http.StatusInternalServerError, ChangeResult{Outcome: Unknown}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
