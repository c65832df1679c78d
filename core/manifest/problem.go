package manifest

import (
	"fmt"
	"strings"
)

// Reason says what is wrong with one place of a manifest.
type Reason string

// The reasons for which a manifest is refused.
const (
	// ReasonSyntax: the text is neither YAML nor JSON.
	ReasonSyntax Reason = "not valid YAML or JSON"
	// ReasonManyDocuments: the text holds several YAML documents, of which
	// only one could be taken.
	ReasonManyDocuments Reason = "several documents"
	ReasonUnknownField  Reason = "unknown field"
	ReasonRepeatedField Reason = "field given twice"
	ReasonMissing       Reason = "missing"
	ReasonWrongType     Reason = "wrong type"
	// ReasonBadUnit: a duration without a unit, or with one that is unknown.
	ReasonBadUnit Reason = "not a duration with a unit"
	// ReasonTooFine: a duration that is not whole milliseconds, which is what
	// the protocols carry.
	ReasonTooFine      Reason = "not whole milliseconds"
	ReasonNegative     Reason = "negative"
	ReasonTooSmall     Reason = "too small"
	ReasonTooLarge     Reason = "too large"
	ReasonBadName      Reason = "not a name of lower-case letters, digits and inner hyphens"
	ReasonBadText      Reason = "not printable text"
	ReasonDuplicate    Reason = "name used twice"
	ReasonUnknownTeam  Reason = "no such team"
	ReasonUnknownValue Reason = "not one of the allowed values"
	// ReasonMisplaced: a field that means nothing for this kind of workload.
	ReasonMisplaced Reason = "does not apply to this kind of workload"
	// ReasonOverQuota: one task alone is larger than its team's quota.
	ReasonOverQuota Reason = "one task exceeds the team's quota"
	// ReasonOtherCluster: the manifest names a cluster other than the one that
	// it was sent to.
	ReasonOtherCluster Reason = "belongs to another cluster"
	// ReasonUnknownWorkload: a name that no accepted workload has.
	ReasonUnknownWorkload Reason = "no such workload"
)

// Problem is one thing that is wrong with a manifest.
type Problem struct {
	// Path leads to the place, such as workloads[3].timeout; it is empty for
	// the manifest as a whole.
	Path   string `json:"path"`
	Reason Reason `json:"reason"`
	// Detail is the offending value or what would be allowed.
	Detail string `json:"detail,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	text := string(p.Reason)
	if p.Path != "" {
		text = p.Path + ": " + text
	}
	if p.Detail != "" {
		text += " (" + p.Detail + ")"
	}
	return text
}

// InvalidError refuses a manifest and lists every problem found.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("manifest refused: %d problem(s): %s", len(lines), strings.Join(lines, "; "))
}
