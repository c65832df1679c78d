package manifest

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// MaxNameBytes limits the names of clusters, teams, workloads and classes,
// which become parts of store keys and metric labels.
const MaxNameBytes = 63

// MaxTextBytes limits the input of Parse. It is larger than the largest acceptable
// manifest, because YAML with comments is longer than its canonical form.
const MaxTextBytes = 4 << 20

// An accepted manifest is stored as one compressed value: the canonical document,
// a record for each workload, and a limited list of names that are no longer in
// use. Two limits apply. The store limits the compressed size. Daemons limit the
// encoded size, because they hold the encoded form in memory and send it whole,
// in one message, to a peer with a revision older than their history.
const (
	// MaxEncodedBytes limits the encoded configuration before compression. It
	// has to fit into one message between daemons together with the other
	// contents of the message. A larger one could not be sent to a daemon with an
	// old revision, and the failing exchanges would make both daemons appear
	// unreachable.
	MaxEncodedBytes = 3 << 20
	// ReservedBytes is reserved for the list of retired names, for the revision
	// and the writers, and for the bytes that compression adds in the worst case.
	ReservedBytes = 64 << 10
	// MaxRecordBytes is the maximum encoded size of the record of one
	// workload, without the workload's name.
	MaxRecordBytes = 40
	// MaxDocumentBytes limits the sum of the canonical document and the records
	// of its workloads, before compression.
	MaxDocumentBytes = MaxEncodedBytes - ReservedBytes
	// MaxStoredBytes limits the sum of the compressed document and the records,
	// which are counted as if they did not compress.
	MaxStoredBytes = port.MaxValueBytes - ReservedBytes
)

// maxTaskSize is larger than any worker; a larger task could never run.
var maxTaskSize = model.Resources{
	MilliCPU:     1024 * 1000,
	MemoryMB:     16 << 20,
	Accelerators: 64,
}

// maxQuota limits the quota of a team, so that sums of quotas cannot overflow.
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
