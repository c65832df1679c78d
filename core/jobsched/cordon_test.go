package jobsched

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

var (
	cordonDays = flag.Int("cordon-days", 60, "the number of days that TestNothingStartsInACordonedZone plays")
	cordonFrom = flag.Uint64("cordon-from", 0, "the first seed of TestNothingStartsInACordonedZone")
)

// cordonStream is the stream of random numbers for cordons.
const cordonStream = 9

// withCordons sets the bound on cordons and starts a leader under it.
func (c *cluster) withCordons() *cluster {
	c.options.CordonWithin = cordonWithin
	c.replaceLeader()
	return c
}

// TestNothingStartsInACordonedZone plays days of random faults on which zones are
// cordoned and reopened at random, one, several or all of them, also twice within a
// second, while the leader may be unable to read the cordons. Orders are executed
// seconds late, leaders are lost and hand over. The workers check each start against
// the time of the cordon, and in the end every job must be final.
func TestNothingStartsInACordonedZone(t *testing.T) {
	latest := time.Duration(0)
	t.Cleanup(func() { t.Logf("latest start after a cordon: %s", latest) })
	for i := range uint64(*cordonDays) {
		seed := *cordonFrom + i
		playFaults(t, seed, func(c *cluster) {
			c.withCordons()
			c.cordons.rnd = rand.New(rand.NewPCG(seed, cordonStream))
			c.checkRounds = true
			if seed%2 == 1 {
				c.planned = rand.New(rand.NewPCG(seed, plannedStream))
			}
			t.Cleanup(func() { latest = max(latest, c.cordons.latest) })
		})
	}
}

// TestStartsDeliveredLateAreRefused guards against starts that were sent before a
// cordon, by what was known until then, and reach their worker seconds after it: a
// relay or the network held them up, and the stops that withdraw them too.
func TestStartsDeliveredLateAreRefused(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 6).withCordons()
		c.run(time.Second)
		c.cordons.unreadable = true
		c.cordon("z0")
		c.run(c.machine.cordonLimits.MaxAge - cordonReadInterval)
		c.submit(1, "batch", makeStep(60, 1000, 200*time.Millisecond))
		c.delayOrders = 1
		c.run(12 * time.Second)
		if c.starts == 0 {
			t.Fatal("nothing was started by the earlier reading")
		}
	}
}

// TestRunningTasksOutliveACordon checks that what runs in a zone runs on to its end
// while new tasks go elsewhere, and that the zone is used again afterwards.
func TestRunningTasksOutliveACordon(t *testing.T) {
	c := newCluster(t, 1, 6).withCordons()
	c.keepNotes = true
	c.run(time.Second)
	serving := c.submit(1, "urgent", longRunning(6, 1000))
	c.run(time.Second)
	before := c.runningIn("z1")
	c.cordon("z1")
	c.run(2 * time.Second)
	c.submit(2, "batch", makeStep(12, 2000, 500*time.Millisecond))
	c.run(100 * time.Millisecond)
	if n := c.runningIn("z1"); before != 2 || n != before {
		t.Errorf("%d attempts run in the cordoned zone, %d before", n, before)
	}
	c.run(3 * time.Second)
	if c.state("0000000000000002") != job.Completed || c.runningOf(serving) != 6 {
		t.Errorf("job %s, %d of 6 long-running tasks run", c.state("0000000000000002"), c.runningOf(serving))
	}
	c.liftCordon("z1")
	c.run(time.Second)
	c.submit(3, "batch", makeStep(12, 2000, 5*time.Second))
	c.run(500 * time.Millisecond)
	if n := c.runningIn("z1"); n <= before {
		t.Errorf("%d attempts run in the reopened zone", n)
	}
	if got := fmt.Sprint(len(c.notesOf(joblog.MessageZoneCordoned)), len(c.notesOf(joblog.MessageCordonLifted))); got != "1 1" {
		t.Errorf("%s notes of cordons and of their lifting, want 1 1", got)
	}
}

// TestInterruptedTasksLeaveACordonedZone guards against long-running tasks that are
// restarted in a cordoned zone, where they ran before their worker failed.
func TestInterruptedTasksLeaveACordonedZone(t *testing.T) {
	c := newCluster(t, 1, 6).withCordons()
	c.run(time.Second)
	id := c.submit(1, "urgent", longRunning(6, 1000))
	c.run(time.Second)
	c.cordon("z1")
	c.run(time.Second)
	for _, w := range c.workers {
		if w.entry.Zone == "z1" {
			w.crash()
			w.listed = false
		}
	}
	c.run(20 * time.Second)
	if n := c.runningOf(id); n != 6 || c.runningIn("z1") != 0 {
		t.Errorf("%d of 6 tasks run, %d in the cordoned zone", n, c.runningIn("z1"))
	}
}

// TestUnconfirmedStartsAreWithdrawn guards against starts that are still on their way
// when their zone is cordoned and hold their room there until the leader gives up
// waiting for the answers. A gang is not split.
func TestUnconfirmedStartsAreWithdrawn(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			c := newCluster(t, 1, 3).withCordons()
			c.run(time.Second)
			step := makeStep(6, 1000, 3*time.Second)
			step.Gang = gang
			c.submit(1, "batch", step)
			c.delayOrders = 1
			c.run(clusterTick)
			c.delayOrders = 0
			if c.starts != 6 {
				t.Fatalf("%d starts, want 6", c.starts)
			}
			c.cordon("z0")
			c.machine.Handle(c.now, CordonsRead{Zones: c.cordons.zones, RequestedAt: c.now})
			withdrawn := 0
			for _, w := range c.machine.workers.All() {
				for _, a := range w.attempts.All() {
					if a.phase == phaseStopping && w.entry.Zone == "z0" {
						withdrawn++
					} else if a.phase != phaseStarting {
						t.Errorf("attempt of %s on %s has phase %d", a.key.task, w.id, a.phase)
					}
				}
			}
			want := 2
			if gang {
				want = 0
			}
			if withdrawn != want {
				t.Errorf("%d starts withdrawn, want %d", withdrawn, want)
			}
			c.run(12 * time.Second)
			if s := c.state("0000000000000001"); s != job.Completed {
				t.Errorf("the job is %s", s)
			}
		})
	}
}

// TestReservationsEndWithACordon guards against room that stays reserved for a task on
// a worker of a cordoned zone, and a task that waits for it there.
func TestReservationsEndWithACordon(t *testing.T) {
	c := newCluster(t, 1, 3).withCordons()
	c.run(time.Second)
	c.submit(1, "batch", makeStep(3, 16000, 20*time.Second))
	c.run(time.Second)
	id := c.submit(2, "urgent", makeStep(1, 16000, time.Second))
	c.run(2 * clusterTick)
	reserved := reservedZones(c)
	if len(reserved) != 1 {
		t.Fatalf("room is reserved in %v, want one zone", reserved)
	}
	c.cordon(reserved[0])
	c.machine.Handle(c.now, CordonsRead{Zones: c.cordons.zones, RequestedAt: c.now})
	c.run(saturatedInterval + clusterTick)
	if slices.Contains(reservedZones(c), reserved[0]) {
		t.Error("room is still reserved in the cordoned zone")
	}
	c.run(5 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the urgent job is %s: %s", s, c.describe(id))
	}
}

// reservedZones returns the zones of the workers on which room is reserved.
func reservedZones(c *cluster) []model.Zone {
	var zones []model.Zone
	for _, w := range c.machine.workers.All() {
		if len(w.reserved) > 0 {
			zones = append(zones, w.entry.Zone)
		}
	}
	return zones
}

// TestOldCordonsHoldStartsBack guards against a leader that starts tasks although it
// has not been able to read the cordons: it must start nothing in any zone once what
// it knows is too old, say so, and go on with the next reading.
func TestOldCordonsHoldStartsBack(t *testing.T) {
	c := newCluster(t, 1, 3).withCordons()
	c.run(time.Second)
	c.cordons.unreadable = true
	c.run(c.machine.cordonLimits.MaxAge + time.Second)
	id := c.submit(1, "urgent", makeStep(2, 1000, 100*time.Millisecond))
	c.run(2 * time.Second)
	view, _ := c.machine.Inspect(id)
	if c.starts != 0 || !strings.Contains(view.Steps[0].HeldBack, "cordoned zones have not been read for") {
		t.Errorf("%d starts; held back: %q", c.starts, view.Steps[0].HeldBack)
	}
	c.cordons.unreadable = false
	c.run(time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the job is %s after the cordons were read again", s)
	}
}

// TestNewLeaderReadsCordonsFirst guards against a leader that starts what an earlier
// one recorded before it knows which zones are cordoned.
func TestNewLeaderReadsCordonsFirst(t *testing.T) {
	c := newCluster(t, 1, 3).withCordons()
	c.run(time.Second)
	c.cordon("z0")
	c.cordons.unreadable = true
	c.replaceLeader()
	id := c.submit(1, "urgent", makeStep(3, 1000, 100*time.Millisecond))
	c.run(3 * time.Second)
	if c.starts != 0 {
		t.Errorf("%d starts before the first reading", c.starts)
	}
	c.cordons.unreadable = false
	c.run(3 * time.Second)
	if s := c.state(id); s != job.Completed || c.cordons.latest != 0 {
		t.Errorf("the job is %s; latest start in the cordoned zone %s after the cordon", s, c.cordons.latest)
	}
}

// TestWorkOfOneZoneWaitsForItsCordon checks that work that only a cordoned zone can
// run waits, says why, is never failed, and runs when the cordon is lifted.
func TestWorkOfOneZoneWaitsForItsCordon(t *testing.T) {
	labelled := makeStep(2, 1000, 200*time.Millisecond)
	labelled.Label = "special"
	spread := makeStep(6, 1000, 200*time.Millisecond)
	spread.MaxPerWorker = 1
	for name, step := range map[string]job.Step{"label": labelled, "spread over all workers": spread} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 6)
			for _, w := range c.workers {
				if w.entry.Zone == "z2" {
					w.entry.Labels = append(w.entry.Labels, "special")
				}
			}
			c.withCordons()
			c.cordon("z2")
			c.run(time.Second)
			id := c.submit(1, "urgent", step)
			c.run(20 * time.Millisecond)
			view, _ := c.machine.Inspect(id)
			if !strings.Contains(view.Steps[0].RuledOut, "zone cordoned 2") {
				t.Errorf("ruled out: %q", view.Steps[0].RuledOut)
			}
			c.liftCordon("z2")
			c.run(3 * time.Second)
			if s := c.state(id); s != job.Completed {
				t.Errorf("the job is %s after the cordon was lifted", s)
			}
		})
	}
}

// TestDataRackInACordonedZone checks that a task whose data are in a cordoned zone
// runs on another rack.
func TestDataRackInACordonedZone(t *testing.T) {
	c := newCluster(t, 1, 24).withCordons()
	for i := range 8 {
		c.workers[c.workerIDs()[i]].entry.Zone = "z0"
	}
	c.cordon("z0")
	c.run(time.Second)
	step := makeStep(2, 1000, 200*time.Millisecond)
	step.DataRack = rackOfWorker(0)
	id := c.submit(1, "urgent", step)
	c.run(time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the job is %s", s)
	}
}

// TestAllZonesCordoned checks that nothing starts while all zones are cordoned, and
// that jobs complete afterwards. A zone without workers makes no difference.
func TestAllZonesCordoned(t *testing.T) {
	c := newCluster(t, 1, 6).withCordons()
	for i := range clusterZones {
		c.cordon(zoneOfWorker(i))
	}
	c.cordon("zone-without-workers")
	c.run(time.Second)
	id := c.submit(1, "urgent", makeStep(3, 1000, 200*time.Millisecond))
	c.run(5 * time.Second)
	if c.starts != 0 || c.state(id) != job.Queued {
		t.Errorf("%d starts, job %s", c.starts, c.state(id))
	}
	for i := range clusterZones {
		c.liftCordon(zoneOfWorker(i))
	}
	c.run(2 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the job is %s", s)
	}
}

// TestUrgentWorkTakesTheRestOfTheCluster checks that, while a zone is cordoned and the
// rest is full of less urgent work, urgent work preempts it there.
func TestUrgentWorkTakesTheRestOfTheCluster(t *testing.T) {
	c := newCluster(t, 1, 6).withCordons()
	c.run(time.Second)
	c.submit(1, "batch", makeStep(6, 15000, time.Minute))
	c.run(time.Second)
	c.cordon("z0")
	c.run(time.Second)
	id := c.submit(2, "urgent", makeStep(4, 8000, 500*time.Millisecond))
	c.run(4 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the urgent job is %s: %s", s, c.describe(id))
	}
}

// TestReturnOfAZoneIsSpread guards against a leader that sends as many starts at once
// as fit into a zone that has just been reopened. Their answers would delay renewals.
func TestReturnOfAZoneIsSpread(t *testing.T) {
	c := newCluster(t, 1, 30)
	c.options.StartsInFlight = 20
	c.withCordons()
	for i := range clusterZones {
		c.cordon(zoneOfWorker(i))
	}
	c.run(time.Second)
	for i := range 40 {
		c.submit(i+1, "batch", makeStep(10, 1000, 2*time.Second))
	}
	c.run(time.Second)
	for i := range clusterZones {
		c.liftCordon(zoneOfWorker(i))
	}
	most := 0
	for range 400 {
		c.run(clusterTick)
		most = max(most, c.machine.starting)
	}
	if most == 0 || most > c.options.StartsInFlight {
		t.Errorf("%d starts were unanswered at a time, want 1 to %d", most, c.options.StartsInFlight)
	}
}

// TestManyCordons checks that a reading with thousands of zones closes just those.
func TestManyCordons(t *testing.T) {
	c := newCluster(t, 1, 3).withCordons()
	for i := range 5000 {
		c.cordon(model.Zone(fmt.Sprint("z0-", i)))
	}
	c.run(time.Second)
	id := c.submit(1, "urgent", makeStep(3, 1000, 200*time.Millisecond))
	c.run(time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the job is %s", s)
	}
}

// TestWithoutABoundNothingIsHeldBack checks that a deployment that sets no bound on
// cordons honors them, and starts tasks however long ago they were read.
func TestWithoutABoundNothingIsHeldBack(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.cordon("z0")
	c.run(time.Second)
	c.cordons.unreadable = true
	c.run(30 * time.Second)
	id := c.submit(1, "urgent", makeStep(30, 1000, 200*time.Millisecond))
	c.run(time.Second)
	if s := c.state(id); s != job.Completed || c.cordons.latest != 0 {
		t.Errorf("the job is %s; latest start in the cordoned zone %s after the cordon", s, c.cordons.latest)
	}
}
