package jobservice

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/port"
)

// FailureDetector notices that a leader's process has gone before its lease has ended. One
// notices the lack of it by jobs that wait two seconds after a leader was
// killed.
type FailureDetector interface {
	// ConnectionLost returns a channel on which something comes when a leader's connection
	// to this daemon has ended, for whatever reason.
	ConnectionLost() <-chan struct{}
	// IsGone reports whether certainly no process serves at a daemon's address.
	IsGone(ctx context.Context, address string) bool
}

// deaf is a Vigil that notices nothing.
type deaf struct{}

func (deaf) ConnectionLost() <-chan struct{}     { return nil }
func (deaf) IsGone(context.Context, string) bool { return false }

// endLeaseIfGone ends the lease of a leader whose process has gone, so that the
// lead is free at once. It reports whether it did.
//
// Should the process be there all the same, it loses a lead that it would have
// kept and nothing worse: it hears at its next renewal that its lease has ended,
// and acts no longer than the lease would have allowed, which is what those who
// take over reckon with in any case.
func (l *Leader) endLeaseIfGone(ctx context.Context, key port.KeyValue, holder leaderRecord) bool {
	if holder.Address == "" || key.Lease == 0 || !l.o.FailureDetector.IsGone(ctx, holder.Address) {
		return false
	}
	l.log.WithFields(logrus.Fields{
		"leader": holder.Daemon, "address": holder.Address, "epoch": key.ModRevision,
	}).Info("the leader's process has gone; its lease is ended")
	l.revoke(key.Lease)
	return true
}
