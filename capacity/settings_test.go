package capacity

import (
	"math"
	"testing"

	"github.com/guavarill/guavarill/adapter/httpvms"
	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/dissemination"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/port"
)

// Symptom: the page's figures are of settings that nobody runs.
// Sequence: a default changes in the daemon. Cause: this package states the
// defaults that its formulas use on its own.
func TestFormulasUseTheDaemonsDefaults(t *testing.T) {
	o := daemon.DefaultOptions(daemon.Identity{Cluster: "c"}, daemon.Ports{})
	for _, c := range []struct {
		what      string
		here, set float64
	}{
		{"list of VMs", vmListEvery, o.Timing.VMList.Seconds()},
		{"whole list of VMs", vmListFullEvery, httpvms.DefaultFullEvery.Seconds()},
		{"configuration poll", configPollEvery, o.Timing.ConfigPoll.Seconds()},
		{"topology poll", topologyEvery, o.Timing.Topology.Seconds()},
		{"update of tables", tablesEvery, o.Timing.Tables.Seconds()},
		{"tick", cycleEvery, o.Timing.Tick.Seconds()},
		{"least flush interval", flushLeast, o.Ledger.FlushInterval.Seconds()},
		{"inbox poll", inboxEvery, ledger.DefaultInboxInterval.Seconds()},
		{"outage grace", outageGrace, o.Ownership.OutageGrace.Seconds()},
		{"racks of a shard", racksPerShard, float64(o.RacksShard)},
		{"events", timelineEvents, float64(o.TimelineEvents)},
		{"renewal", renewEvery, workersession.DefaultRenewEvery.Seconds()},
		{"task lease", taskLease, workersession.DefaultLease.Seconds()},
		{"margin", leaseMargin, workersession.DefaultMargin.Seconds()},
		{"headroom", headroom, storebudget.DefaultHeadroom},
		{"writes", LimitWrites, storebudget.DefaultStoreWrites},
		{"ramp's start", rampStart, storebudget.DefaultRampStart},
		{"ramp's time", rampTime, storebudget.DefaultRampTime.Seconds()},
		{"request ids", LimitClaims, dedup.DefaultMaxRecords},
		{"retention", LimitDedupSpan, dedup.DefaultRetention.Seconds()},
		{"fanout", fanout, dissemination.DefaultFanout},
		{"value", LimitValue, port.MaxValueBytes},
		{"encoded", LimitEncoded, manifest.MaxEncodedBytes},
	} {
		if math.Abs(c.here-c.set) > 1e-9 {
			t.Errorf("%s: %v here, %v in the daemon", c.what, c.here, c.set)
		}
	}
}
