package grpcrelay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/jobservice"
	standin "github.com/guavarill/guavarill/standin/platform"
)

// slowLink is the bandwidth of the slowest link of a VM, 10 Mbit/s, in bytes per second.
const slowLink = 10_000_000 / 8

// fullWorkers reports as many ends as a worker sends in one report.
type fullWorkers struct{ fakeWorkers }

func (*fullWorkers) Renew(context.Context, jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	const ends = 500
	report := jobsched.Report{ClockMs: 7, Ended: make([]jobsched.EndedAttempt, ends)}
	for i := range report.Ended {
		report.Ended[i] = jobsched.EndedAttempt{
			Number: int64(i + 1), Key: job.TaskKey{Job: "00000000000000aa", Index: i}, Attempt: 1, Cause: jobsched.EndDone,
			Checkpoint: strings.Repeat("c", 16),
		}
	}
	return jobsched.VerdictDone, report
}

// Guards against a relay that counts as silent while the leader still receives a long
// message from it. The reports of its workers were lost, sent again, and lost again for
// the same reason.
func TestFullReportsOverASlowLink(t *testing.T) {
	address, _ := startRelay(t, &fullWorkers{})
	link, err := standin.NewLink(address, slowLink, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	r := NewRouter(&fakeWorkers{})
	defer r.SetRelays(nil)
	r.SetRelays([]jobservice.Relay{{Address: link.Address(), Weight: 1}})
	awaitHealthy(t, r, true)
	const workers = 60
	var all sync.WaitGroup
	for i := range workers {
		all.Go(func() {
			worker := model.Incarnation{ID: model.WorkerID(fmt.Sprint("w", i))}
			verdict, report := r.Renew(t.Context(), jobsched.Renew{Order: jobsched.Order{Worker: worker}})
			if verdict != jobsched.VerdictDone || len(report.Ended) == 0 {
				t.Errorf("%s: %s, %d ends", worker, verdict, len(report.Ended))
			}
		})
	}
	all.Wait()
}
