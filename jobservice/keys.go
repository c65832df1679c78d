package jobservice

import (
	"strings"

	"github.com/guavarill/guavarill/core/job"
)

// The keys in the platform's store.
const (
	// leaderKey names the daemon that leads. It is attached to that daemon's lease.
	leaderKey = "guavarill/leader"
	// ledgerKey is written by every commit of a leader, each on condition that the
	// key has not been written since the last one. A commit that takes effect late,
	// or is sent by a daemon that no longer leads, therefore changes nothing.
	ledgerKey = "guavarill/ledger"
	// rosterKey holds the workers on which attempts may run.
	rosterKey = "guavarill/roster"
	// fleetKey holds the resources of the roster's workers, for the daemons that
	// accept jobs.
	fleetKey = "guavarill/fleet"
	// interferenceKey holds the learned interference between images.
	interferenceKey = "guavarill/interference"
	// acceptedPrefix precedes the id of each accepted job that has not ended.
	acceptedPrefix = "guavarill/jobs/"
	// progressPrefix precedes the id of each job that has started.
	progressPrefix = "guavarill/progress/"
	// tombstonePrefix precedes the id of each job that has a tombstone.
	tombstonePrefix = "guavarill/tombstones/"
)

func acceptedKey(id job.ID) string { return acceptedPrefix + string(id) }

func progressKey(id job.ID) string { return progressPrefix + string(id) }

func tombstoneKey(id job.ID) string { return tombstonePrefix + string(id) }

// jobIDFromKey returns the id of the job that a key with the prefix belongs to.
func jobIDFromKey(key, prefix string) (job.ID, error) {
	return job.ParseID(strings.TrimPrefix(key, prefix))
}
