package manifest

import (
	"fmt"
	"strings"
)

// Reason is the kind of a problem in a manifest.
type Reason string

// The reasons for which a manifest is rejected.
const (
	// ReasonSyntax: the text is neither YAML nor JSON.
	ReasonSyntax Reason = "not valid YAML or JSON"
	// ReasonManyDocuments: the text has several YAML documents, of which the
	// decoder would read only the first.
	ReasonManyDocuments Reason = "several documents"
	ReasonUnknownField  Reason = "unknown field"
	ReasonRepeatedField Reason = "field given twice"
	ReasonMissing       Reason = "missing"
	ReasonWrongType     Reason = "wrong type"
	// ReasonBadUnit: a duration without a unit or with an unknown one.
	ReasonBadUnit Reason = "not a duration with a unit"
	// ReasonNotWholeMilliseconds: a duration that is not a whole number of
	// milliseconds, which is the resolution of the protocols.
	ReasonNotWholeMilliseconds Reason = "not whole milliseconds"
	ReasonNegative             Reason = "negative"
	ReasonTooSmall             Reason = "too small"
	ReasonTooLarge             Reason = "too large"
	ReasonBadName              Reason = "not a name of lower-case letters, digits and inner hyphens"
	ReasonBadText              Reason = "not printable text"
	ReasonDuplicate            Reason = "name used twice"
	ReasonUnknownTeam          Reason = "no such team"
	ReasonUnknownValue         Reason = "not one of the allowed values"
	// ReasonNotApplicable: a field that does not apply to this kind of workload.
	ReasonNotApplicable Reason = "does not apply to this kind of workload"
	// ReasonOverQuota: one task alone is larger than its team's quota.
	ReasonOverQuota Reason = "one task exceeds the team's quota"
	// ReasonOtherCluster: the manifest names a different cluster from the one to
	// which it was sent.
	ReasonOtherCluster Reason = "belongs to another cluster"
	// ReasonUnknownWorkload: no accepted workload has this name.
	ReasonUnknownWorkload Reason = "no such workload"
)

// Problem is one problem of a manifest.
type Problem struct {
	// Path is the path of the field, such as workloads[3].timeout; it is empty for
	// the manifest as a whole.
	Path   string `json:"path"`
	Reason Reason `json:"reason"`
	// Detail is the rejected value or the allowed values, or both.
	Detail string `json:"detail,omitempty"`
}

// String returns the problem as one line of text.
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

// InvalidError rejects a manifest and lists every problem found.
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
