package jobservice

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// finalCommitTries is how often the last commit is tried: whole, without the records of
// jobs, and without the roster.
const finalCommitTries = 3

// isRefusal reports whether the store has refused a call for good, so that it was not
// carried out and repeating it would fail again. A lost response or an outage is no
// refusal.
func isRefusal(err error) bool {
	return IsNotDone(err) && (isKind(err, port.StoreTooLarge) || isKind(err, port.StoreInvalidCall))
}

// oversized returns a refusal that names the entries of a commit that are larger than
// the store accepts, nil if there are none. Such a commit is not sent: the store may
// break off the call instead of refusing it, and this would be taken for a lost
// response. A progress record is named by its job.
func oversized(number uint64, changes []port.Op) *jobsched.CommitRefused {
	refused := jobsched.CommitRefused{Number: number}
	largest := 0
	for _, c := range changes {
		if len(c.Value) <= port.MaxValueBytes {
			continue
		}
		largest = max(largest, len(c.Value))
		switch id, err := jobIDFromKey(c.Key, progressPrefix); {
		case err == nil:
			refused.Jobs = append(refused.Jobs, id)
		case c.Key == rosterKey || c.Key == fleetKey:
			refused.Roster = true
		case c.Key == interferenceKey:
			refused.Learned = true
		}
	}
	if largest == 0 {
		return nil
	}
	refused.Reason = fmt.Sprintf("it has %d bytes, and the store accepts %d", largest, port.MaxValueBytes)
	return &refused
}

// reportRefused logs and counts a refused commit.
func (t *term) reportRefused(refused jobsched.CommitRefused) {
	t.leader.o.Metrics.refusedCommits.Inc()
	t.leader.log.WithFields(logrus.Fields{"commit": refused.Number, "jobs": refused.Jobs}).
		Error("commit refused by the store: " + refused.Reason)
}
