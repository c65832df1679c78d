package membership

import "time"

// Options configures a Machine. Zero fields take their default.
type Options struct {
	// Period is the time between rounds of exchanges; default 1 s.
	Period time.Duration
	// Fanout is how many peers are contacted each period; default 1.
	Fanout int
	// StartFanout replaces Fanout until all listed members are known; default
	// 3.
	StartFanout int
	// DoubtFanout is how many members in doubt are contacted in addition each
	// period; default 2.
	DoubtFanout int
	// ExchangeTimeout is the timeout of an exchange; default 750 ms. It should
	// be shorter than Period, or members in doubt are contacted only every
	// other period.
	ExchangeTimeout time.Duration
	// SuspectAfter is how many consecutive failures make a member suspect;
	// default 3.
	SuspectAfter int
	// SuspicionTimeout is how long a member stays suspect before it may be
	// removed; default 12 s. One period is added for each doubling of the
	// number of members. It must exceed the pauses that a daemon should
	// survive.
	SuspicionTimeout time.Duration
	// LeaveTimeout replaces SuspicionTimeout for a member that announced that
	// it is leaving; default 3 s.
	LeaveTimeout time.Duration
	// Confirmations is how many other members must report a suspect as
	// unreachable before it is removed, or all others if there are fewer;
	// default 1.
	Confirmations int
	// RemovalReports is how many members must report that they removed a member
	// for this daemon to remove it without a failed exchange of its own;
	// default 3.
	RemovalReports int
	// DeadRetention is how long a removed member stays known; default 10 min.
	DeadRetention time.Duration
	// DeadRetryInterval is the time between exchanges with dead members that
	// the platform still lists, counted over all of them; default 5 s.
	DeadRetryInterval time.Duration
	// ListMaxAge is how long a platform list stays valid; default 2 min.
	ListMaxAge time.Duration
	// StoreSilentAfter is the time without a response after which the store
	// counts as silent; default 3 s.
	StoreSilentAfter time.Duration
	// OutageGrace is the maximum age at which a member's response counts as
	// confirmation of a silent store; default 20 s. Like StoreSilentAfter it
	// must be the same on all daemons.
	OutageGrace time.Duration
	// MaxChanges bounds the recent changes in one message; default 6.
	MaxChanges int
	// RotatingRecords is how many other records a message contains; default 2.
	RotatingRecords int
	// MaxSyncRecords bounds the records in the first message to a member;
	// default 64.
	MaxSyncRecords int
	// RelayFactor times log2 of the number of members is how often a change is
	// relayed; default 2.
	RelayFactor int
}

// withDefaults returns the options with defaults in place of zero fields.
func (o Options) withDefaults() Options {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.Period, time.Second},
		{&o.ExchangeTimeout, 750 * time.Millisecond},
		{&o.SuspicionTimeout, 12 * time.Second},
		{&o.LeaveTimeout, 3 * time.Second},
		{&o.DeadRetention, 10 * time.Minute},
		{&o.DeadRetryInterval, 5 * time.Second},
		{&o.ListMaxAge, 2 * time.Minute},
		{&o.StoreSilentAfter, 3 * time.Second},
		{&o.OutageGrace, 20 * time.Second},
	}
	for _, d := range durations {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	counts := []struct {
		field *int
		value int
	}{
		{&o.Fanout, 1},
		{&o.StartFanout, 3},
		{&o.DoubtFanout, 2},
		{&o.SuspectAfter, 3},
		{&o.Confirmations, 1},
		{&o.RemovalReports, 3},
		{&o.MaxChanges, 6},
		{&o.RotatingRecords, 2},
		{&o.MaxSyncRecords, 64},
		{&o.RelayFactor, 2},
	}
	for _, c := range counts {
		if *c.field == 0 {
			*c.field = c.value
		}
	}
	return o
}
