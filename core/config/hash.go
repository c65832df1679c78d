package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// The domain is the first byte of each hashed record, so that records of
// different kinds with equal fields have different hashes.
const (
	domainHeader byte = iota + 1
	domainTeam
	domainWorkload
	domainRetired
)

func digestOf(declaration []byte) uint64 { return xxhash.Sum64(declaration) }

// hashAccepted returns the sum of the hashes of all records. A sum does not
// depend on the order of the records. Declarations are hashed by the digest that
// was computed when they were read, so only a few machine words are hashed per
// workload.
func hashAccepted(a *Accepted) uint64 {
	sum := hashRecord(domainHeader, a.Manifest.Cluster, uint64(a.Revision), a.GenerationFloor)
	for name, t := range a.teams {
		sum += hashRecord(domainTeam, name, t.digest)
	}
	for name, w := range a.Workloads {
		sum += hashRecord(domainWorkload, name, w.Generation, uint64(w.Shards), uint64(w.Changed), boolToUint64(w.Cancelled), w.digest)
	}
	for name, r := range a.Retired {
		sum += hashRecord(domainRetired, name, r.Generation, uint64(r.Changed))
	}
	return sum
}

func hashRecord(domain byte, name string, numbers ...uint64) uint64 {
	buf := make([]byte, 0, 128)
	buf = append(buf, domain)
	buf = append(buf, name...)
	buf = append(buf, 0)
	for _, n := range numbers {
		buf = binary.LittleEndian.AppendUint64(buf, n)
	}
	return xxhash.Sum64(buf)
}

func boolToUint64(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
