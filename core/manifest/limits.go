package manifest

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// MaxNameBytes bounds the names of clusters, teams, workloads and classes,
// which become parts of store keys and metric labels.
const MaxNameBytes = 63

// MaxTextBytes bounds the text given to Parse. It is larger than what can be
// accepted, as YAML with comments is longer than its canonical form.
const MaxTextBytes = 4 << 20

// The store keeps an accepted manifest in one value: the canonical document, a
// record for each workload, and a bounded list of names no longer in use.
const (
	// EnvelopeBytes is kept free for the list of retired names and for what
	// identifies the acceptance.
	EnvelopeBytes = 64 << 10
	// WorkloadEnvelopeBytes is the most that the record of one workload takes
	// beside its name.
	WorkloadEnvelopeBytes = 40
	// MaxDocumentBytes bounds the canonical document together with the records
	// of its workloads.
	MaxDocumentBytes = port.MaxValueBytes - EnvelopeBytes
)

// maxTaskSize is larger than any worker; a task above it can never run.
var maxTaskSize = model.Resources{
	MilliCPU:     1024 * 1000,
	MemoryMB:     16 << 20,
	Accelerators: 64,
}

// maxQuota bounds a team's quota so that sums of quotas stay far from
// overflowing.
var maxQuota = model.Resources{
	MilliCPU:     1 << 40,
	MemoryMB:     1 << 40,
	Accelerators: 1 << 30,
}

const (
	maxTasks       = 100_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueue       = 1_000_000
	maxAttempts    = 1_000
	maxTimeout     = time.Hour
	maxRunTime     = 366 * 24 * time.Hour
	maxArgs        = 256
	maxArgsBytes   = 16 << 10
)
