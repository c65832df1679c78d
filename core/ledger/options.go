package ledger

import "time"

// The defaults of Options.
const (
	DefaultMaxDeltas     = 64
	DefaultMaxDeltaBytes = 256 << 10
	DefaultRetryMin      = 50 * time.Millisecond
	DefaultRetryMax      = 2 * time.Second
	DefaultInboxInterval = 30 * time.Second
)

// Options configures a Ledger. A field other than KeyPrefix and FlushInterval
// that is zero or less selects its default.
type Options struct {
	// KeyPrefix is the cluster's prefix in the store, ending in a slash.
	KeyPrefix string
	// FlushInterval is the minimum time between the starts of two commits, except
	// for urgent proposals. With 0, proposals are committed as soon as no commit
	// is in flight.
	FlushInterval time.Duration
	// MaxDeltas and MaxDeltaBytes are the number and the total size of the deltas
	// after a snapshot from either of which on a compaction is considered. It is
	// put off while the deltas are small compared to the snapshot.
	MaxDeltas     int
	MaxDeltaBytes int
	// RetryMin and RetryMax bound the exponential backoff between retries of a
	// failed call.
	RetryMin time.Duration
	RetryMax time.Duration
	// InboxInterval is the interval at which the inbox is listed without an
	// InboxNotice.
	InboxInterval time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxDeltas, DefaultMaxDeltas)
	setDefault(&o.MaxDeltaBytes, DefaultMaxDeltaBytes)
	setDefault(&o.RetryMin, DefaultRetryMin)
	setDefault(&o.RetryMax, max(DefaultRetryMax, o.RetryMin))
	setDefault(&o.InboxInterval, DefaultInboxInterval)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// retry is an exponential backoff.
type retry struct {
	min, max time.Duration
	delay    time.Duration
	at       time.Time
	waiting  bool
}

func (l *Ledger) newRetry() retry {
	return retry{min: l.options.RetryMin, max: l.options.RetryMax}
}

// schedule sets the time of the next retry.
func (r *retry) schedule(now time.Time) {
	r.delay = min(max(2*r.delay, r.min), r.max)
	r.at = now.Add(r.delay)
	r.waiting = true
}

// due reports whether the scheduled retry is due. It returns true once per
// schedule.
func (r *retry) due(now time.Time) bool {
	if !r.waiting || now.Before(r.at) {
		return false
	}
	r.waiting = false
	return true
}
