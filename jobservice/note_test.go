package jobservice

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
)

// TestABurstOfDecisionsIsBounded checks the limit on log lines: a takeover of a large
// cluster makes ten thousand routine decisions at once. Those beyond the burst are
// counted and not logged; a decision that is not routine is always logged, with that
// count.
func TestABurstOfDecisionsIsBounded(t *testing.T) {
	const decisions = 10000
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := NewLeader(Options{Log: log, Metrics: NewMetrics(prometheus.NewRegistry())})
	started := &term{leader: l, epoch: 3}
	for range decisions {
		started.note(jobsched.Note{Decision: "attempt started", Job: "00000000000000aa", Routine: true})
	}
	started.note(jobsched.Note{Decision: "worker silent", Worker: model.Incarnation{ID: "w"}})

	written, leftOut, silences := 0, 0, 0
	for line := range bytes.Lines(out.Bytes()) {
		var said struct {
			Decision string `json:"decision"`
			LeftOut  int    `json:"leftOut"`
		}
		if err := json.Unmarshal(line, &said); err != nil {
			t.Fatal(err)
		}
		leftOut += said.LeftOut
		if said.Decision == "worker silent" {
			silences++
		} else {
			written++
		}
	}
	// While the test runs, which takes far less than a second, the limit permits some
	// more lines than the burst.
	if written < 2*routineLines || written > 3*routineLines {
		t.Errorf("%d routine lines, want about %d", written, 2*routineLines)
	}
	if written+leftOut != decisions {
		t.Errorf("%d lines written and %d counted as left out, want %d together", written, leftOut, decisions)
	}
	if silences != 1 {
		t.Errorf("the decision that is not routine was written %d times", silences)
	}
}
