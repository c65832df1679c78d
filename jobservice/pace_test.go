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

// TestALeaderThatIsBehindSaysSo: steps of the control goroutine took 200 ms and
// more, events waited for it for seconds, and no line and no metric told of it.
// A stretch of long steps is told once at its beginning and once at its end.
func TestALeaderThatIsBehindSaysSo(t *testing.T) {
	var out bytes.Buffer
	p := pace{log: logsink.NewLogger(&out).WithField("epoch", 7), metrics: NewMetrics(prometheus.NewRegistry())}
	now := time.Unix(1000, 0)
	step := func(took time.Duration, waiting int) {
		p.step(now, now.Add(took), waiting)
		now = now.Add(took + 10*time.Millisecond)
	}
	for range 10 {
		step(5*time.Millisecond, 3)
	}
	if out.Len() > 0 {
		t.Errorf("short steps are told: %s", out.String())
	}
	step(behindStep, 40)
	step(time.Second, 1024)
	step(5*time.Millisecond, 1)
	step(behindStep, 900)
	for now.Before(p.slowAt.Add(caughtUpTime)) {
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
