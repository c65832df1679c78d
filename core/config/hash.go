package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Domains keep equal fields of different kinds of record from hashing alike.
const (
	domainHeader byte = iota + 1
	domainTeam
	domainWorkload
	domainRetired
)

func digestOf(declaration []byte) uint64 { return xxhash.Sum64(declaration) }

// hashAccepted sums the hashes of all records, so that it needs no order and
// costs a few machine words a workload: declarations enter by the digest that
// was taken when they were read.
func hashAccepted(a *Accepted) uint64 {
	sum := hashRecord(domainHeader, a.Manifest.Cluster, uint64(a.Revision), a.GenerationFloor)
	for name, t := range a.teams {
		sum += hashRecord(domainTeam, name, t.digest)
	}
	for name, w := range a.Workloads {
		sum += hashRecord(domainWorkload, name, w.Generation, uint64(w.Shards), uint64(w.Changed), flag(w.Cancelled), w.digest)
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

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
