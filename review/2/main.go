// Command 2 cancels a job whose acceptance got no answer, and looks whether its
// tasks start all the same.
package main

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/guavarill/guavarill/review"
)

const (
	jobID = "5c0e7a21d94b36f8"
	// body has three steps, one after the other, so that tasks start for some seconds.
	body = `{"specification":"s","steps":[` +
		`{"count":2,"cpu":500,"memMb":256,"estimatedMs":2000},` +
		`{"count":2,"cpu":500,"memMb":256,"estimatedMs":2000,"after":[0]},` +
		`{"count":2,"cpu":500,"memMb":256,"estimatedMs":2000,"after":[1]}]}`
	taskTime = 2 * time.Second
	// late is when a write without an answer is carried out: the page says seconds,
	// the bench 1 to 6.
	late = 5500 * time.Millisecond
	// cancelTime and contactTime are the bounds cancel_ms and contactMs.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	// observed is for how long starts are looked for.
	observed = 16 * time.Second
	// ackTime is the bound ackMs: a cancel counts as acknowledged once it has waited for
	// so long.
	ackTime = 4 * time.Second
)

func main() { review.Run(run) }

func run(record *review.Record, trouble bool) (bool, error) {
	site, err := review.NewSite(record, func(review.Start) (time.Duration, string) { return taskTime, review.Done })
	if err != nil {
		return false, err
	}
	defer site.Close()
	if err := site.StartSmall(); err != nil {
		return false, err
	}
	if trouble {
		// Answers of the store are lost: those to the writes that store the job.
		site.Store.LoseWrites(late, func(keys []string) bool { return slices.ContainsFunc(keys, isOfJob) })
	}
	handedIn := site.Call(0, http.MethodPost, jobID, body)
	impaired := time.Now()
	site.Store.LoseWrites(0, nil)
	if handedIn.Status == http.StatusTooManyRequests || handedIn.Status == http.StatusServiceUnavailable {
		return false, errors.New("the job was rejected")
	}
	acked := cancel(site)
	time.Sleep(observed)
	site.Call(2, http.MethodGet, jobID, "")
	return startedLate(record, site.Starts(), acked, impaired), nil
}

func isOfJob(key string) bool { return strings.Contains(key, jobID) }

// cancel cancels the job and returns when that was acknowledged, or had waited for
// ackTime.
func cancel(site *review.Site) time.Time {
	began := time.Now()
	for i := 1; time.Since(began) < ackTime; i++ {
		a := site.Call(i, http.MethodDelete, jobID, "")
		if a.Status == http.StatusGone || a.Status >= 200 && a.Status < 300 {
			return a.At
		}
		time.Sleep(300 * time.Millisecond)
	}
	return began.Add(ackTime)
}

// startedLate reports whether a task started later than cancelTime after the cancel
// was acknowledged, by a daemon in touch: the store had been without impairment for
// contactTime.
func startedLate(record *review.Record, starts []review.Start, acked, impaired time.Time) bool {
	broken := false
	for _, s := range starts {
		after, calm := s.At.Sub(acked), s.At.Sub(impaired)
		if !strings.HasPrefix(s.Task, jobID) || after <= cancelTime || calm <= contactTime {
			continue
		}
		broken = true
		record.Add("UNASKED: %s run %d started %.3f s after the cancel was acknowledged, %.3f s after the last lost answer",
			s.Task, s.Run, after.Seconds(), calm.Seconds())
	}
	return broken
}
