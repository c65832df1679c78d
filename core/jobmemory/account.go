package jobmemory

import "slices"

// Usage is what a leader publishes of its memory for jobs.
type Usage struct {
	// UsedBytes is what the jobs take that the leader has, of LimitBytes; 0 bytes mean
	// that there is no limit.
	UsedBytes  int64 `json:"used"`
	LimitBytes int64 `json:"limit"`
	// Revision is the store's revision up to which the leader has the accepted jobs.
	Revision int64 `json:"revision"`
}

const (
	// SmallJob is the size, in bytes, of a job that may use all of the memory; larger ones
	// may use largeShare of it. It exceeds the users' largest jobs, 5 steps of 36 tasks.
	SmallJob   = 128 << 10
	largeShare = 0.85
	// unknownShare is the share of the limit that jobs may take which the leader does not
	// have yet, of all daemons together, and minUnknown what each daemon may have of
	// it at least, in bytes.
	unknownShare = 0.5
	minUnknown   = 4 << 20
	// newsShare is the share of the limit by which a usage may change until it is told
	// or read anew.
	newsShare = 1.0 / 32
)

// limitFor returns up to where a job of the given size may fill the memory.
func (u Usage) limitFor(size int64) int64 {
	if size <= SmallJob {
		return u.LimitBytes
	}
	return int64(float64(u.LimitBytes) * largeShare)
}

// IsNews reports whether a change of the memory used, in bytes, matters to daemons before
// they look again by themselves.
func (u Usage) IsNews(change int64) bool {
	return u.LimitBytes > 0 && max(change, -change) >= int64(float64(u.LimitBytes)*newsShare)
}

// Account is a daemon's view of the leader's memory for jobs. The zero value knows of no
// limit.
type Account struct {
	usage Usage
	// accepted are the jobs that this daemon has accepted and that the leader does not
	// have.
	accepted []acceptance
	// unknown is what these take, with those that are being accepted, and sinceUsage what
	// was reserved since the usage was set, in bytes.
	unknown, sinceUsage int64
}

// acceptance is an accepted job.
type acceptance struct{ revision, size int64 }

// Set replaces the usage by one that was read later.
func (a *Account) Set(u Usage) {
	a.usage, a.sinceUsage = u, 0
	a.accepted = slices.DeleteFunc(a.accepted, func(known acceptance) bool {
		if known.revision > u.Revision {
			return false
		}
		a.unknown -= known.size
		return true
	})
}

// IsOld reports whether so much was accepted since the usage was set that it is to be read
// anew.
func (a *Account) IsOld() bool { return a.usage.IsNews(a.sinceUsage) }

// Reserve takes memory for a job that is about to be accepted, in bytes, unless there is
// none. daemons is how many daemons accept jobs.
func (a *Account) Reserve(size int64, daemons int) bool {
	if a.usage.LimitBytes > 0 && !a.fits(size, daemons) {
		return false
	}
	a.unknown += size
	a.sinceUsage += size
	return true
}

func (a *Account) fits(size int64, daemons int) bool {
	share := max(int64(float64(a.usage.LimitBytes)*unknownShare)/int64(max(daemons, 1)), minUnknown)
	return a.usage.UsedBytes+a.unknown+size <= a.usage.limitFor(size) && (a.unknown == 0 || a.unknown+size <= share)
}

// Accepted notes at which revision a job was stored for which memory was taken.
func (a *Account) Accepted(size, revision int64) {
	if a.usage.LimitBytes == 0 || revision <= a.usage.Revision {
		a.unknown -= size
		return
	}
	a.accepted = append(a.accepted, acceptance{revision, size})
}

// Release gives back what was reserved for a job that was not accepted.
func (a *Account) Release(size int64) { a.unknown -= size }
