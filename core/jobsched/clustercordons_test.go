package jobsched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/model"
)

const (
	// clusterZones is the number of zones of a cluster.
	clusterZones = 3
	// cordonWithin is the time within which a cordon must be in force.
	cordonWithin = 5 * time.Second
	// cordonReadInterval is the time between two readings of the cordons.
	cordonReadInterval = 800 * time.Millisecond
)

func zoneOfWorker(i int) model.Zone { return model.Zone(fmt.Sprintf("z%d", i%clusterZones)) }

type clusterCordons struct {
	zones cordon.Zones
	// since is when each zone was cordoned.
	since    map[model.Zone]time.Time
	revision int64
	// readAt is when the leader last read the cordons. unreadable is set while it
	// cannot.
	readAt     time.Time
	unreadable bool
	// rnd draws cordons on a day; nil for none.
	rnd *rand.Rand
	// latest is the longest time after a cordon at which a task was started.
	latest time.Duration
}

// cordon cordons a zone, anew if it is cordoned already.
func (c *cluster) cordon(zone model.Zone) {
	k := &c.cordons
	if k.zones == nil {
		k.zones, k.since = make(cordon.Zones), make(map[model.Zone]time.Time)
	}
	k.revision++
	k.zones[zone] = k.revision
	if k.since[zone].IsZero() {
		k.since[zone] = c.now
	}
}

func (c *cluster) liftCordon(zone model.Zone) {
	delete(c.cordons.zones, zone)
	delete(c.cordons.since, zone)
}

func (c *cluster) endCordons() {
	c.cordons.unreadable = false
	for _, zone := range c.cordons.zones.Names() {
		c.liftCordon(zone)
	}
}

// readCordonsIfDue lets the leader read the cordons at intervals.
func (c *cluster) readCordonsIfDue() {
	k := &c.cordons
	if k.unreadable || c.storeDown || c.now.Sub(k.readAt) < cordonReadInterval {
		return
	}
	k.readAt = c.now
	requested, zones := c.now, maps.Clone(k.zones)
	c.sendEvent(c.machine, orderDelay, func() Event { return CordonsRead{Zones: zones, RequestedAt: requested} })
}

// checkCordon checks that the worker of a start is not in a zone whose cordon must be
// in force.
func (c *cluster) checkCordon(s Start, w *fakeWorker) {
	since := c.cordons.since[w.entry.Zone]
	if since.IsZero() {
		return
	}
	late := c.now.Sub(since)
	c.cordons.latest = max(c.cordons.latest, late)
	if late > cordonWithin {
		c.t.Errorf("%s: %s attempt %d is started on %s, %s after its zone %s was cordoned",
			c.now.Sub(testEpoch), s.Key, s.Attempt, w.entry.ID, late, w.entry.Zone)
	}
}

// cordonAtRandom, at random, cordons zones, lifts cordons, keeps the leader from
// reading them, or does nothing.
func (c *cluster) cordonAtRandom() {
	k := &c.cordons
	zone := zoneOfWorker(k.rnd.IntN(clusterZones))
	switch k.rnd.IntN(12) {
	case 0, 1, 2:
		c.cordon(zone)
	case 3:
		for i := range clusterZones {
			c.cordon(zoneOfWorker(i))
		}
	case 4, 5:
		c.liftCordon(zone)
	case 6:
		c.liftCordon(zone)
		c.run(time.Duration(k.rnd.IntN(1000)) * time.Millisecond)
		c.cordon(zone)
	case 7, 8:
		k.unreadable = !k.unreadable
	}
}

// runningIn counts the attempts that run in a zone.
func (c *cluster) runningIn(zone model.Zone) int {
	n := 0
	for _, w := range c.workers {
		if w.entry.Zone == zone {
			n += len(w.attempts)
		}
	}
	return n
}

// notesOf returns the reasons of the notes with a decision, in order.
func (c *cluster) notesOf(decision string) []string {
	var reasons []string
	for _, n := range c.notes {
		if n.Decision == decision {
			reasons = append(reasons, n.Reason)
		}
	}
	return slices.Clip(reasons)
}
