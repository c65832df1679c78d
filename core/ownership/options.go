package ownership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// The defaults of Options.
const (
	DefaultLeaseTTL             = 15 * time.Second
	DefaultMargin               = 2 * time.Second
	DefaultOutageGrace          = 20 * time.Second
	DefaultLapsedLeaseRetention = 15 * time.Second
	DefaultSettleTime           = 10 * time.Second
	DefaultFallbackAfter        = 30 * time.Second
	DefaultRetryMin             = 200 * time.Millisecond
	DefaultRetryMax             = 5 * time.Second
)

// Options configures a Machine. A duration of zero or less selects its default.
type Options struct {
	// KeyPrefix is the cluster's prefix in the store, ending in a slash.
	KeyPrefix string
	// LeaseTTL is the time to live of the daemon's lease in the store.
	LeaseTTL time.Duration
	// Margin is how long before the lease expires the daemon stops committing
	// and sending commands to workers.
	Margin time.Duration
	// OutageGrace is the maximum age of a member's confirmation that the store
	// is silent for which an owner whose lease has expired may renew the leases
	// of its workers' tasks. A new owner derives from it when its predecessor's
	// renewals end, so it must be the same on all daemons.
	OutageGrace time.Duration
	// LapsedLeaseRetention is how long an owner whose lease has expired and which
	// may not renew keeps its shards, because the store may have extended the
	// lease over its own outage.
	LapsedLeaseRetention time.Duration
	// SettleTime is how long another daemon must have been the assigned owner
	// before a shard is handed over to it.
	SettleTime time.Duration
	// FallbackAfter is how long a shard must have been without an owner before
	// its fallback owner acquires it.
	FallbackAfter time.Duration
	// RetryMin and RetryMax bound the exponential backoff with jitter between
	// calls for one shard or for the lease.
	RetryMin time.Duration
	RetryMax time.Duration
	// Seed and the daemon's ID together seed the jitter.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.LeaseTTL, DefaultLeaseTTL)
	setDefault(&o.Margin, DefaultMargin)
	setDefault(&o.OutageGrace, DefaultOutageGrace)
	setDefault(&o.LapsedLeaseRetention, DefaultLapsedLeaseRetention)
	setDefault(&o.SettleTime, DefaultSettleTime)
	setDefault(&o.FallbackAfter, DefaultFallbackAfter)
	setDefault(&o.RetryMin, DefaultRetryMin)
	setDefault(&o.RetryMax, max(DefaultRetryMax, o.RetryMin))
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// backoff is an exponential backoff with jitter.
type backoff struct {
	min, max time.Duration
	random   *rand.Rand
	delay    time.Duration
}

func newRandom(self model.DaemonID, seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self))))
}

// next returns the time of the next attempt, between half the delay and the
// full delay from now. The jitter keeps daemons that failed together from
// retrying together.
func (b *backoff) next(now time.Time) time.Time {
	b.delay = min(max(2*b.delay, b.min), b.max)
	half := b.delay / 2
	return now.Add(half + time.Duration(b.random.Int64N(int64(half)+1)))
}

func (b *backoff) reset() { b.delay = 0 }
