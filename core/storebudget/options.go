package storebudget

import (
	"cmp"
	"time"
)

// Options configures a Budget. Zero fields take their default.
type Options struct {
	// Daemons is how many daemons share the store.
	Daemons int
	// StoreReads and StoreWrites are the maximum calls per second of all
	// daemons together in steady state.
	StoreReads  float64
	StoreWrites float64
	// Headroom multiplies a daemon's equal share, because shards are not owned
	// evenly and not all daemons use their share at once.
	Headroom float64
	// MinReads and MinWrites are the minimum share of a daemon in calls per
	// second.
	MinReads  float64
	MinWrites float64
	// BurstTime is how much of its share, in time, a daemon may save up.
	BurstTime time.Duration
	// BackoffBase is the wait after the first failure. It doubles with each
	// further one, up to LeaseBackoffCap for leases and BackoffCap for other
	// calls.
	BackoffBase     time.Duration
	LeaseBackoffCap time.Duration
	BackoffCap      time.Duration
	// OutageAfter is how many consecutive failures count as an outage. The end
	// of an outage starts a ramp.
	OutageAfter int
	// RampStart is the fraction of the rates that applies at the end of an
	// outage; it grows to one within RampTime.
	RampStart float64
	RampTime  time.Duration
}

// The defaults of Options. The rates follow from a store that serves several
// hundred writes and two thousand reads per second, less what operators and
// others need.
const (
	DefaultStoreReads      = 1500.0
	DefaultStoreWrites     = 300.0
	DefaultHeadroom        = 1.5
	DefaultMinReads        = 1.0
	DefaultMinWrites       = 0.5
	DefaultBurstTime       = 2 * time.Second
	DefaultBackoffBase     = 100 * time.Millisecond
	DefaultLeaseBackoffCap = 4 * time.Second
	DefaultBackoffCap      = 10 * time.Second
	DefaultOutageAfter     = 3
	DefaultRampStart       = 0.25
	DefaultRampTime        = 30 * time.Second
)

// minBurst lets every class find a token beyond the reserves of the others.
const minBurst = 5.0

func (o Options) withDefaults() Options {
	o.Daemons = max(o.Daemons, 1)
	o.StoreReads = cmp.Or(o.StoreReads, DefaultStoreReads)
	o.StoreWrites = cmp.Or(o.StoreWrites, DefaultStoreWrites)
	o.Headroom = cmp.Or(o.Headroom, DefaultHeadroom)
	o.MinReads = cmp.Or(o.MinReads, DefaultMinReads)
	o.MinWrites = cmp.Or(o.MinWrites, DefaultMinWrites)
	o.BurstTime = cmp.Or(o.BurstTime, DefaultBurstTime)
	o.BackoffBase = cmp.Or(o.BackoffBase, DefaultBackoffBase)
	o.LeaseBackoffCap = cmp.Or(o.LeaseBackoffCap, DefaultLeaseBackoffCap)
	o.BackoffCap = cmp.Or(o.BackoffCap, DefaultBackoffCap)
	o.OutageAfter = cmp.Or(o.OutageAfter, DefaultOutageAfter)
	o.RampStart = cmp.Or(o.RampStart, DefaultRampStart)
	o.RampTime = cmp.Or(o.RampTime, DefaultRampTime)
	return o
}

// rate returns one daemon's share of a bucket in calls per second.
func (o *Options) rate(b bucketID) float64 {
	total, least := o.StoreWrites, o.MinWrites
	if b == bucketReads {
		total, least = o.StoreReads, o.MinReads
	}
	return max(least, total*o.Headroom/float64(o.Daemons))
}

// probeSpread returns the time over which the daemons' first probes of a lane
// are spread once a call in another lane is answered: twice what the store
// needs for one call of each daemon.
func (o *Options) probeSpread(l laneID) time.Duration {
	total := o.StoreWrites
	if l == laneRead {
		total = o.StoreReads
	}
	seconds := 2 * float64(o.Daemons) / total
	return time.Duration(seconds * float64(time.Second))
}

func (o *Options) backoffCap(l laneID) time.Duration {
	if l == laneLease {
		return o.LeaseBackoffCap
	}
	return o.BackoffCap
}
