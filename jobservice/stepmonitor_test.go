package jobservice

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/adapter/logsink"
	"github.com/guavarill/guavarill/core/joblog"
)

// TestSlowStepsAreLogged guards against a leader that falls behind unnoticed. Steps
// of the control goroutine took 200 ms and more and events waited for seconds, and no
// log line and no metric showed it. A period of slow steps is logged once at its
// start and once at its end.
func TestSlowStepsAreLogged(t *testing.T) {
	var out bytes.Buffer
	p := stepMonitor{log: logsink.NewLogger(&out).WithField("epoch", 7), metrics: NewMetrics(prometheus.NewRegistry())}
	now := time.Unix(1000, 0)
	step := func(took time.Duration, waiting int) {
		p.record(now, now.Add(took), waiting)
		now = now.Add(took + 10*time.Millisecond)
	}
	for range 10 {
		step(5*time.Millisecond, 3)
	}
	if out.Len() > 0 {
		t.Errorf("short steps are logged: %s", out.String())
	}
	step(slowStep, 40)
	step(time.Second, 1024)
	step(5*time.Millisecond, 1)
	step(slowStep, 900)
	for now.Before(p.lastSlowAt.Add(caughtUpAfter)) {
		step(5*time.Millisecond, 1)
	}
	step(5*time.Millisecond, 1)
	step(5*time.Millisecond, 1)

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines, want one at the beginning and one at the end:\n%s", len(lines), out.String())
	}
	for _, want := range []string{joblog.MessageLeaderBehind, `"step":"100ms"`, `"events":40`} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("the first line lacks %s: %s", want, lines[0])
		}
	}
	for _, want := range []string{joblog.MessageLeaderCaughtUp, `"longestStep":"1s"`, `"for":"1.235s"`} {
		if !strings.Contains(lines[1], want) {
			t.Errorf("the second line lacks %s: %s", want, lines[1])
		}
	}
}
