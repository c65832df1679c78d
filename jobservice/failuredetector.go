package jobservice

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/port"
)

// FailureDetector detects, from the connections between daemons, that a leader's
// process has exited before its lease has ended. Without it, jobs wait two seconds
// after a leader was killed.
type FailureDetector interface {
	// ConnectionLost returns a channel that receives a value when a leader's
	// connection to this daemon has ended, for whatever reason.
	ConnectionLost() <-chan struct{}
	// IsGone reports whether certainly no process serves at a daemon's address.
	IsGone(ctx context.Context, address string) bool
}

// noFailureDetector is a FailureDetector that detects nothing.
type noFailureDetector struct{}

func (noFailureDetector) ConnectionLost() <-chan struct{}     { return nil }
func (noFailureDetector) IsGone(context.Context, string) bool { return false }

// endLeaseIfGone revokes the lease of a leader whose process has exited, so that
// another daemon can take over at once. It reports whether it did.
//
// If the process is running after all, it loses a leadership that it would have kept,
// and nothing worse happens: it learns at its next renewal that its lease has ended,
// and acts no longer than the lease would have allowed, which the next leader takes
// into account in any case.
func (l *Leader) endLeaseIfGone(ctx context.Context, key port.KeyValue, holder leaderRecord) bool {
	if holder.Address == "" || key.Lease == 0 || !l.o.FailureDetector.IsGone(ctx, holder.Address) {
		return false
	}
	l.log.WithFields(logrus.Fields{
		"leader": holder.Daemon, "address": holder.Address, "epoch": key.ModRevision,
	}).Info("the leader's process has exited; revoking its lease")
	l.revoke(key.Lease)
	return true
}
