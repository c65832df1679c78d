package httpguard

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// workBurst is how many bytes of large requests may be taken on at once: the largest
	// single request, and what is decoded of it.
	workBurst = 8 << 20
	// maxWorkDelay is the longest time for which a large request waits for its turn.
	maxWorkDelay = time.Second
)

// work bounds the rate at which large requests are read and decoded, so that the processor
// is left for small ones. It counts what they take in memory beyond smallRequest, in bytes.
type work struct{ limiter *rate.Limiter }

func newWork(bytesPerSecond float64) work {
	return work{rate.NewLimiter(rate.Limit(bytesPerSecond), workBurst)}
}

// take waits until a request may grow from one size to another, in bytes. It returns false at
// once if that takes too long.
func (w work) take(from, to int64) bool {
	grows := to - max(from, smallRequest)
	if grows <= 0 {
		return true
	}
	reserved := w.limiter.ReserveN(time.Now(), int(min(grows, workBurst)))
	delay := reserved.Delay()
	if delay > maxWorkDelay {
		reserved.Cancel()
		return false
	}
	time.Sleep(delay)
	return true
}
