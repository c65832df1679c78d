package roomshares

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// TestReserveOutlastsAPause guards against room that is lent to long-running work in
// each pause of the short jobs, and is missing when they are back.
func TestReserveOutlastsAPause(t *testing.T) {
	const allowance = 2 * time.Second
	now := time.Unix(1000, 0)
	var r Reserve
	r.Observe(now, cores(100), allowance)
	r.Observe(now.Add(allowance), model.Resources{}, allowance)
	if got := r.Room().MilliCPU; got < 90_000 || got > 100_000 {
		t.Errorf("%d thousandths of a core are left after an allowance, want nine tenths of 100 cores", got)
	}
	r.Observe(now.Add(time.Minute), model.Resources{}, allowance)
	if got := r.Room().MilliCPU; got > 10_000 {
		t.Errorf("%d thousandths of a core are left after 30 allowances, want less than a tenth of 100 cores", got)
	}
	r.Observe(now.Add(time.Minute), cores(50), allowance)
	if got := r.Room().MilliCPU; got != 50_000 {
		t.Errorf("%d thousandths of a core are kept, want the 50 cores that are wanted", got)
	}
}

// TestReserveWithoutAllowanceKeepsNothing guards against a reserve that never decays
// for want of a known allowance.
func TestReserveWithoutAllowanceKeepsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reserve
	r.Observe(now, cores(100), 0)
	r.Observe(now.Add(time.Second), cores(1), 0)
	if got := r.Room().MilliCPU; got != 1000 {
		t.Errorf("%d thousandths of a core are kept, want 1000", got)
	}
}
