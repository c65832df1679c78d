package ownership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// The defaults of Options.
const (
	DefaultLeaseTTL      = 15 * time.Second
	DefaultMargin        = 2 * time.Second
	DefaultOutageGrace   = 20 * time.Second
	DefaultLapsedLeaseRetention  = 15 * time.Second
	DefaultSettleTime    = 10 * time.Second
	DefaultFallbackAfter = 30 * time.Second
	DefaultRetryMin      = 200 * time.Millisecond
	DefaultRetryMax      = 5 * time.Second
)

// Options are the machine's settings. A zero duration takes its default.
type Options struct {
	// KeyPrefix is the cluster's prefix in the store, ending in a slash.
	KeyPrefix string
	// LeaseTTL is the time of the daemon's lease in the store.
	LeaseTTL time.Duration
	// Margin is how long before the lease's end the daemon counts as unsure.
	Margin time.Duration
	// OutageGrace is the age up to which a member's confirmation that the store
	// is silent lets an owner without a lease renew its workers' leases. A new
	// owner reckons with it, so it must be the same on all daemons.
	OutageGrace time.Duration
	// LapsedLeaseRetention is how long an owner whose lease has ended, and that may not
	// renew, keeps its shards for the case that the lease still holds.
	LapsedLeaseRetention time.Duration
	// SettleTime is how long another daemon must have been the right owner
	// before a shard is handed over to it.
	SettleTime time.Duration
	// FallbackAfter is how long a shard must have had no owner before the
	// second choice acquires it.
	FallbackAfter time.Duration
	// RetryMin and RetryMax bound the doubling, jittered delay between calls
	// about one shard or the lease.
	RetryMin time.Duration
	RetryMax time.Duration
	// Seed feeds the jitter, together with the daemon's name.
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

// backoff is a doubling delay with jitter.
type backoff struct {
	min, max time.Duration
	random   *rand.Rand
	delay    time.Duration
}

func newRandom(self model.DaemonID, seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self))))
}

// next returns the time of the next try, between half a delay and a whole one
// from now, so that daemons that failed together do not retry together.
func (b *backoff) next(now time.Time) time.Time {
	b.delay = min(max(2*b.delay, b.min), b.max)
	half := b.delay / 2
	return now.Add(half + time.Duration(b.random.Int64N(int64(half)+1)))
}

func (b *backoff) reset() { b.delay = 0 }
