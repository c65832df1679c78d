package adminapi

import (
	"errors"
	"net/http"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// Outcome is what became of an operator's change.
type Outcome string

// The outcomes of a change.
const (
	Accepted  Outcome = "accepted"
	NoChange  Outcome = "no change"
	Conflict  Outcome = "conflict"
	Refused   Outcome = "refused"
	NotMade   Outcome = "not made"
	Unknown   Outcome = "unknown"
	WouldMake Outcome = "would be accepted"
)

// ChangeResult answers an apply or a cancel.
type ChangeResult struct {
	Outcome  Outcome        `json:"outcome"`
	Revision model.Revision `json:"revision,omitempty"`
	Diff     config.Diff    `json:"diff"`
	// Problems are listed when a manifest is refused.
	Problems []manifest.Problem `json:"problems,omitempty"`
	Detail   string             `json:"detail,omitempty"`
	// Writer identifies an unknown change, whose revision would be Revision.
	Writer string `json:"writer,omitempty"`
}

// CancelRequest names workloads to cancel.
type CancelRequest struct {
	Workloads []string        `json:"workloads"`
	Base      *model.Revision `json:"base,omitempty"`
}

// Problem is the body of an answer that is an error.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	Detail string      `json:"detail"`
}

// ProblemKind sorts what can be wrong with an operator's request.
type ProblemKind string

// The kinds of problem.
const (
	BadQuery    ProblemKind = "bad query"
	BadBody     ProblemKind = "bad body"
	Unavailable ProblemKind = "daemon does not answer"
	NoManifest  ProblemKind = "no manifest"
	NoSuchCall  ProblemKind = "no such call"
)

// changeResult translates the end of a change into its answer and status.
func changeResult(result config.ApplyResult) (int, ChangeResult) {
	switch r := result.(type) {
	case config.ApplyAccepted:
		return http.StatusOK, ChangeResult{Outcome: Accepted, Revision: r.Revision, Diff: r.Diff}
	case config.ApplyNoChange:
		return http.StatusOK, ChangeResult{Outcome: NoChange, Revision: r.Revision}
	case config.ApplyConflict:
		return http.StatusConflict, ChangeResult{Outcome: Conflict, Revision: r.Current, Writer: r.Writer}
	case config.ApplyRefused:
		// A cluster that has seen no worker yet refuses every manifest; that is
		// no fault of this one, and it may be sent again.
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
