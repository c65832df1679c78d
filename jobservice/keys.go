package jobservice

import (
	"strings"

	"github.com/guavarill/guavarill/core/job"
)

// The keys in the platform's store.
const (
	// leaderKey names the daemon that leads. It hangs on that daemon's lease.
	leaderKey = "guavarill/leader"
	// ledgerKey is written by every commit of a leader, each on condition that
	// nobody has written it since. So a commit that is carried out late, or
	// sent by a daemon that leads no longer, changes nothing.
	ledgerKey = "guavarill/ledger"
	// rosterKey holds the workers on which attempts may run.
	rosterKey = "guavarill/roster"
	// fleetKey holds what the workers of the roster have, for the daemons that take
	// jobs in.
	fleetKey = "guavarill/fleet"
	// interferenceKey holds what is known of interference between images.
	interferenceKey = "guavarill/interference"
	// acceptedPrefix precedes the id of each accepted job that is not over.
	acceptedPrefix = "guavarill/jobs/"
	// progressPrefix precedes the id of each job that has begun.
	progressPrefix = "guavarill/progress/"
)

func acceptedKey(id job.ID) string { return acceptedPrefix + string(id) }

func progressKey(id job.ID) string { return progressPrefix + string(id) }

// jobIDFromKey returns the id of the job that a key with the prefix belongs to.
func jobIDFromKey(key, prefix string) (job.ID, error) {
	return job.ParseID(strings.TrimPrefix(key, prefix))
}
