package membership

import "time"

// Options tunes a Machine. A field left zero takes its default.
type Options struct {
	// Period is the time between rounds of exchanges; 1 s.
	Period time.Duration
	// Fanout is how many peers are asked each period; 1.
	Fanout int
	// StartFanout is Fanout until all listed members are known; 3.
	StartFanout int
	// DoubtFanout is how many members in doubt are asked besides, each period;
	// 2.
	DoubtFanout int
	// ExchangeTimeout is the deadline of an exchange; 750 ms. It should end
	// before the next round, or members in doubt are asked only every other
	// period.
	ExchangeTimeout time.Duration
	// SuspectAfter is how many failures in a row make a member suspect; 3.
	SuspectAfter int
	// SuspicionTimeout is how long a member stays suspect before it may be
	// removed, to which one period for each doubling of the members is added.
	// It must be longer than the pauses a daemon should survive; 12 s.
	SuspicionTimeout time.Duration
	// LeaveTimeout takes the place of SuspicionTimeout for a member that said
	// it is leaving; 3 s.
	LeaveTimeout time.Duration
	// Confirmations is how many other members must have failed to reach a
	// suspect before it is removed, as far as there are others; 1.
	Confirmations int
	// RemovalReports is how many members' removals are believed without a failed
	// exchange of one's own; 3.
	RemovalReports int
	// DeadRetention is how long a removed member stays known; 10 min.
	DeadRetention time.Duration
	// DeadRetryInterval is the time between exchanges with dead members that the
	// platform still lists, all of them together; 5 s.
	DeadRetryInterval time.Duration
	// ListMaxAge is how long an answer of the platform's list counts; 2 min.
	ListMaxAge time.Duration
	// StoreSilentAfter is the silence from which the store counts as silent;
	// 3 s.
	StoreSilentAfter time.Duration
	// OutageGrace is the age up to which a member's answer about the store
	// counts for its silence; 20 s. Like StoreSilentAfter it must be the same on
	// all daemons.
	OutageGrace time.Duration
	// MaxChanges bounds the recent changes in one message; 6.
	MaxChanges int
	// RotatingRecords is how many other records a message carries; 2.
	RotatingRecords int
	// MaxSyncRecords bounds the records in the first message to a member; 64.
	MaxSyncRecords int
	// RelayFactor times log2 of the number of members is how often a change is
	// passed on; 2.
	RelayFactor int
}

// withDefaults fills in the fields left zero.
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
