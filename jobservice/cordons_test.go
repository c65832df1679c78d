package jobservice

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/cordon"
)

// TestCordonPollerKeepsStartsGoing guards against times between reads that let a
// single failed read make the cordons too old for starts.
func TestCordonPollerKeepsStartsGoing(t *testing.T) {
	for _, within := range []time.Duration{5 * time.Second, 10 * time.Second} {
		p := cordonPoller{within: within}
		oldest := p.interval() + cordonReadTimeout + cordonRetryDelay + 100*time.Millisecond
		if limit := cordon.LimitsFor(within).MaxAge; oldest > limit {
			t.Errorf("bound %s: cordons are %s old after a failed read, limit %s", within, oldest, limit)
		}
	}
	if p := (cordonPoller{within: time.Second}); p.interval() > 250*time.Millisecond {
		t.Errorf("bound 1 s: %s between reads", p.interval())
	}
}

// TestLeaderWithoutCordonsGivesUp checks that a leader that cannot read the cordons
// does not keep the lead, and with it all starts, for ever.
func TestLeaderWithoutCordonsGivesUp(t *testing.T) {
	begin := time.UnixMilli(1_700_000_000_000)
	p := cordonPoller{within: 5 * time.Second, readAt: begin}
	for _, c := range []struct {
		after time.Duration
		gives bool
	}{{0, false}, {maxCordonsUnreadable - time.Millisecond, false}, {maxCordonsUnreadable, true}} {
		if p.givesUp(begin.Add(c.after)) != c.gives {
			t.Errorf("after %s: gives up %t, want %t", c.after, !c.gives, c.gives)
		}
	}
	unbounded := cordonPoller{readAt: begin}
	if unbounded.givesUp(begin.Add(time.Hour)) {
		t.Error("without a bound on cordons the lead is given up")
	}
}
