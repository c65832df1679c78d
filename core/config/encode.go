package config

import (
	"maps"
	"slices"
	"strings"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// floorName is the name under which the generation floor is encoded among the
// retired names. No workload has an empty name.
const floorName = ""

// writerSeparator separates the encoded writer ids, which are ordered from
// newest to oldest.
const writerSeparator = " "

// Encode returns the configuration as the message that is stored and sent to
// peers.
func (a *Accepted) Encode() *ledgerv1.Manifest {
	m := &ledgerv1.Manifest{
		Revision:  uint64(a.Revision),
		Document:  a.Manifest.Canonical(),
		Writer:    strings.Join(a.Writers, writerSeparator),
		Workloads: make([]*ledgerv1.AcceptedWorkload, 0, len(a.Workloads)),
	}
	for _, name := range a.Names() {
		m.Workloads = append(m.Workloads, a.Workloads[name].encode(name))
	}
	if a.GenerationFloor > 0 {
		m.Retired = append(m.Retired, &ledgerv1.AcceptedWorkload{Name: floorName, Generation: a.GenerationFloor})
	}
	for _, name := range slices.Sorted(maps.Keys(a.Retired)) {
		m.Retired = append(m.Retired, a.Retired[name].encode(name))
	}
	return m
}

func (w AcceptedWorkload) encode(name string) *ledgerv1.AcceptedWorkload {
	return &ledgerv1.AcceptedWorkload{
		Name:       name,
		Generation: w.Generation,
		Shards:     w.Shards,
		Changed:    uint64(w.Changed),
		Cancelled:  w.Cancelled,
	}
}

func (r Retired) encode(name string) *ledgerv1.AcceptedWorkload {
	return &ledgerv1.AcceptedWorkload{
		Name:       name,
		Generation: r.Generation,
		Changed:    uint64(r.Changed),
	}
}

// Decode decodes a message returned by Encode. The error is a *DecodeError.
func Decode(m *ledgerv1.Manifest) (*Accepted, error) {
	if m.GetRevision() == 0 {
		return nil, &DecodeError{Kind: DecodeRevision}
	}
	document, err := manifest.Load(m.GetDocument())
	if err != nil {
		return nil, &DecodeError{Kind: DecodeDocument, Cause: err}
	}
	d := draftFrom(nil)
	d.revision = model.Revision(m.GetRevision())
	d.cluster = document.Cluster
	d.writers = strings.Fields(m.GetWriter())
	for i := range document.Teams {
		d.putTeam(&document.Teams[i])
	}
	if err := d.decodeWorkloads(document, m.GetWorkloads()); err != nil {
		return nil, err
	}
	if err := d.decodeRetired(m.GetRetired()); err != nil {
		return nil, err
	}
	return d.build(), nil
}

func (d *draft) decodeWorkloads(document *manifest.Manifest, records []*ledgerv1.AcceptedWorkload) error {
	specs := make(map[string]*manifest.Workload, len(document.Workloads))
	for i := range document.Workloads {
		specs[document.Workloads[i].Name] = &document.Workloads[i]
	}
	if len(specs) != len(document.Workloads) || len(specs) != len(records) {
		return &DecodeError{Kind: DecodeRecords}
	}
	for _, record := range records {
		spec, ok := specs[record.GetName()]
		if !ok {
			return &DecodeError{Kind: DecodeRecords, Subject: record.GetName()}
		}
		delete(specs, record.GetName())
		d.putWorkload(spec, decodeWorkload(record))
	}
	return nil
}

func decodeWorkload(record *ledgerv1.AcceptedWorkload) AcceptedWorkload {
	return AcceptedWorkload{
		Generation: record.GetGeneration(),
		Shards:     record.GetShards(),
		Changed:    model.Revision(record.GetChanged()),
		Cancelled:  record.GetCancelled(),
	}
}

func (d *draft) decodeRetired(records []*ledgerv1.AcceptedWorkload) error {
	for _, record := range records {
		name := record.GetName()
		if name == floorName {
			d.floor = record.GetGeneration()
			continue
		}
		if _, declared := d.workloads[name]; declared {
			return &DecodeError{Kind: DecodeRecords, Subject: name}
		}
		d.retired[name] = decodeRetired(record)
	}
	return nil
}

func decodeRetired(record *ledgerv1.AcceptedWorkload) Retired {
	return Retired{
		Generation: record.GetGeneration(),
		Changed:    model.Revision(record.GetChanged()),
	}
}
