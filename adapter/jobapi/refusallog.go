package jobapi

import (
	"sync/atomic"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// refusalLines is how many lines about refused requests are written a second, and
	// refusalBurst how many at once.
	refusalLines = 100
	refusalBurst = 2 * refusalLines
	// maxFieldBytes bounds what a line says in a caller's own words, in bytes.
	maxFieldBytes = 500
)

// Refusal is a request that was answered with an error.
type Refusal struct {
	Status int
	// Method, Job, Host and Queue are as the caller sent them; empty ones are left out.
	Method, Job, Host, Queue string
	Cause                    error
}

// RefusalLog writes lines about refused requests. Their number and length are bounded,
// whatever callers send; a line tells how many were left out before it.
type RefusalLog struct {
	log     *logrus.Entry
	limiter *rate.Limiter
	leftOut atomic.Int64
}

// NewRefusalLog returns a RefusalLog that writes to log.
func NewRefusalLog(log *logrus.Entry) *RefusalLog {
	return &RefusalLog{log: log, limiter: rate.NewLimiter(refusalLines, refusalBurst)}
}

// Write writes a line, unless there were too many.
func (l *RefusalLog) Write(r Refusal) {
	if !l.limiter.Allow() {
		l.leftOut.Add(1)
		return
	}
	fields := logrus.Fields{"status": r.Status, logrus.ErrorKey: clipped(r.Cause.Error())}
	for name, text := range map[string]string{"method": r.Method, "job": r.Job, "host": r.Host, "queue": r.Queue} {
		if text != "" {
			fields[name] = clipped(text)
		}
	}
	if n := l.leftOut.Swap(0); n > 0 {
		fields["leftOut"] = n
	}
	l.log.WithFields(fields).Info(joblog.MessageRequestRefused)
}

// clipped returns the beginning of a text.
func clipped(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	n := maxFieldBytes
	for n > 0 && !utf8.RuneStart(text[n]) {
		n--
	}
	return text[:n] + "..."
}
