package jobservice

import (
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// ledgerRecord is the value of ledgerKey.
type ledgerRecord struct {
	// Incarnation identifies the leader's process, Number its commit. With both, a
	// leader can determine whether a commit without a response was made.
	Incarnation string           `json:"incarnation"`
	Number      uint64           `json:"number"`
	Summary     jobsched.Summary `json:"summary"`
	// RosterValid and RosterAge are those of the commit. A leader of a version
	// without them omits them from its first commit on.
	RosterValid bool          `json:"rosterStands,omitempty"`
	RosterAge   time.Duration `json:"rosterAge,omitempty"`
	// RosterLostLeft and UnseenCrash are those of the commit too.
	RosterLostLeft time.Duration `json:"rosterLostLeft,omitempty"`
	UnseenCrash    bool          `json:"unseenCrash,omitempty"`
}

// decodeLedger decodes the ledger, which is empty if it is not stored. An error is a
// *job.RecordError.
func decodeLedger(kv port.KeyValue) (ledgerRecord, error) {
	var l ledgerRecord
	if kv.ModRevision == 0 {
		return l, nil
	}
	if err := job.DecodeRecord(kindLedger, kv.Value, &l); err != nil {
		return ledgerRecord{}, err
	}
	return l, nil
}
