package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// dryRun prints what a manifest would change, according to the first daemon that
// responds, and changes nothing.
func (a *app) dryRun(document []byte, base *model.Revision) error {
	report, err := a.dryRunReport(document, base)
	if err != nil {
		return callFailed(err)
	}
	return a.finish(report.ChangeResult, report)
}

func (a *app) dryRunReport(document []byte, base *model.Revision) (changeReport, error) {
	return askAny(a, func(ctx context.Context, client *adminapi.Client) (changeReport, error) {
		result, err := client.Apply(ctx, document, base, true)
		report := changeReport{ChangeResult: result}
		if err != nil || len(result.Diff.Changed) == 0 {
			return report, err
		}
		current, err := client.Manifest(ctx)
		if err != nil {
			return report, err
		}
		report.Fields = changedFields(current, document, result.Diff.Changed)
		return report, nil
	})
}

// fieldChange is one field of a workload whose value differs between two
// manifests. From and To are JSON, or "-" for an absent field.
type fieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// changedFields returns, for each named workload, the fields that differ between
// the manifest in force and document. It returns nil if no manifest is in force
// or document cannot be parsed.
func changedFields(current *manifest.Manifest, document []byte, names []string) map[string][]fieldChange {
	next, err := manifest.Parse(document)
	if err != nil || current == nil {
		return nil
	}
	before, after := fieldsOf(current), fieldsOf(next)
	changes := make(map[string][]fieldChange)
	for _, name := range names {
		changes[name] = compareFields(before[name], after[name])
	}
	return changes
}

// fieldsOf returns the JSON value of each field of each workload, by the name of
// the workload.
func fieldsOf(m *manifest.Manifest) map[string]map[string]json.RawMessage {
	all := make(map[string]map[string]json.RawMessage, len(m.Workloads))
	for i := range m.Workloads {
		var fields map[string]json.RawMessage
		// A workload that was decoded can be encoded again, so neither call
		// fails.
		text, _ := json.Marshal(&m.Workloads[i])
		_ = json.Unmarshal(text, &fields)
		all[m.Workloads[i].Name] = fields
	}
	return all
}

func compareFields(before, after map[string]json.RawMessage) []fieldChange {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []fieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(before[name], after[name]) {
			changes = append(changes, fieldChange{Field: name, From: valueText(before[name]), To: valueText(after[name])})
		}
	}
	return changes
}

func valueText(value json.RawMessage) string {
	if value == nil {
		return "-"
	}
	return string(value)
}
