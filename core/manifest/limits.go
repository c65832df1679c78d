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

// The store keeps an accepted manifest in one compressed value: the canonical
// document, and beside it a record for each workload and a bounded list of names
// no longer in use. Two bounds hold. What counts for the store is the stored
// size; what counts for daemons is the encoded one, which they hold in memory
// and send each other whole, in one message, when they are far behind.
const (
	// MaxEncodedBytes bounds the encoded configuration before it is compressed.
	// It has to fit a message between daemons together with what else is in it.
	// Beyond that, a daemon that is far behind could not be helped by others,
	// and the failing exchanges would make both look unreachable.
	MaxEncodedBytes = 3 << 20
	// EnvelopeBytes is kept free for the list of retired names, for what
	// identifies the acceptance, and for what compression adds at worst.
	EnvelopeBytes = 64 << 10
	// WorkloadEnvelopeBytes is the most that the record of one workload takes
	// beside its name.
	WorkloadEnvelopeBytes = 40
	// MaxDocumentBytes bounds the canonical document together with the records
	// of its workloads, before compression.
	MaxDocumentBytes = MaxEncodedBytes - EnvelopeBytes
	// MaxStoredBytes bounds the compressed document together with the records,
	// which are counted as if they did not compress.
	MaxStoredBytes = port.MaxValueBytes - EnvelopeBytes
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
	maxTimeout     = time.Minute
	maxRunTime     = 366 * 24 * time.Hour
	maxArgs        = 256
	maxArgsBytes   = 16 << 10
)
