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

// Options are a ledger's settings. A zero field other than KeyPrefix and
// FlushInterval takes its default.
type Options struct {
	// KeyPrefix is the cluster's prefix in the store, ending in a slash.
	KeyPrefix string
	// FlushInterval is the least time between the starts of two commits, unless
	// urgent. With 0 a proposal is committed as soon as none is in flight.
	FlushInterval time.Duration
	// MaxDeltas and MaxDeltaBytes are after how much a snapshot is written.
	MaxDeltas     int
	MaxDeltaBytes int
	// RetryMin and RetryMax bound the doubling delay between retries of a
	// failed call.
	RetryMin time.Duration
	RetryMax time.Duration
	// InboxInterval is how often the inbox is listed without a notice.
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

// retry is a doubling delay.
type retry struct {
	min, max time.Duration
	delay    time.Duration
	at       time.Time
	waiting  bool
}

func (l *Ledger) newRetry() retry {
	return retry{min: l.options.RetryMin, max: l.options.RetryMax}
}

// schedule sets the next try.
func (r *retry) schedule(now time.Time) {
	r.delay = min(max(2*r.delay, r.min), r.max)
	r.at = now.Add(r.delay)
	r.waiting = true
}

// due reports once whether the next try's time has come.
func (r *retry) due(now time.Time) bool {
	if !r.waiting || now.Before(r.at) {
		return false
	}
	r.waiting = false
	return true
}
