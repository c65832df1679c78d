package jobforecast

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

const (
	minRetryAfter = time.Second
	// maxRetryAfter bounds how long a caller stays away after the load has ended.
	maxRetryAfter = 15 * time.Second
	// noMemoryRetryAfter is the mean of it for a job for which there is no memory: about
	// as long as some jobs take to end.
	noMemoryRetryAfter = 4 * time.Second
)

// retryAfter returns when a rejected job may be handed in again. All that callers ask
// for takes 1/Share times as long as what is accepted. Callers that are rejected together
// return over as long a time as they stay away.
func (q *Queue) retryAfter(reason Reason, id job.ID) time.Duration {
	meanMs := float64(q.AllowanceMs+q.DelayMs) / max(q.Share, minShare)
	if reason == ReasonNoRoom {
		meanMs = float64(q.LongRunning.WaitMs)
	}
	return spread(min(time.Duration(meanMs)*time.Millisecond, maxRetryAfter*2/3), id)
}

// spread returns a time about the given mean, in whole seconds, that differs between jobs.
func spread(mean time.Duration, id job.ID) time.Duration {
	after := time.Duration((0.5 + position(id, saltRetry)) * float64(mean))
	seconds := math.Ceil(min(max(after, minRetryAfter), maxRetryAfter).Seconds())
	return time.Duration(seconds) * time.Second
}

// salt makes positions for different purposes independent of each other.
type salt byte

// The salts.
const (
	saltShare salt = iota + 1
	saltRetry
)

// position returns a number from 0 to 1 that is derived from a job's id. Numbers of
// different ids are spread evenly.
func position(id job.ID, s salt) float64 {
	h := fnv.New64a()
	h.Write([]byte{byte(s)})
	h.Write([]byte(id))
	x := h.Sum64()
	// FNV alone leaves the upper bits of similar ids alike.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
