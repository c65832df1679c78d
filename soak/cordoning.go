package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
)

// zoneCount is how many zones the workers are in, in turn.
const zoneCount = 3

func zoneOf(worker int) string { return fmt.Sprintf("zone-%d", worker%zoneCount) }

// cordonZones cordons one zone after the other for a while, several at a time, all of
// them now and then.
func cordonZones(ctx context.Context, d *deployment, rnd *rand.Rand) {
	for ctx.Err() == nil {
		d.disturb(fault{name: "zones cordoned", play: cordonSome}, rnd)
		pause(ctx, between(rnd, 100, 1500))
	}
}

func cordonSome(d *deployment, rnd *rand.Rand) {
	zones := []string{zoneOf(rnd.IntN(zoneCount))}
	if rnd.IntN(5) == 0 {
		zones = []string{zoneOf(0), zoneOf(1), zoneOf(2)}
	}
	for _, zone := range zones {
		d.cordon(zone, rnd)
		time.Sleep(between(rnd, 0, 300))
	}
	if rnd.IntN(3) == 0 {
		killLeader(d, rnd)
	}
	time.Sleep(between(rnd, 500, 9000))
	for _, zone := range zones {
		d.liftCordon(zone)
		if rnd.IntN(3) == 0 {
			time.Sleep(between(rnd, 1, 1000))
			d.cordon(zone, rnd)
			time.Sleep(between(rnd, 1, 7000))
			d.liftCordon(zone)
		}
	}
}

// cordonValues are what the operator's key may hold: its value says nothing.
var cordonValues = [][]byte{[]byte("{}"), nil, []byte("\x00{")}

// cordon cordons a zone and notes when.
func (d *deployment) cordon(zone string, rnd *rand.Rand) {
	d.site.Cordon(zone, pick(rnd, cordonValues))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cordons[zone] = append(d.cordons[zone], beginSpan())
}

func (d *deployment) liftCordon(zone string) {
	d.mu.Lock()
	spans := d.cordons[zone]
	spans[len(spans)-1].end()
	d.mu.Unlock()
	d.site.LiftCordon(zone)
}

// checkCordons checks that no task was started in a zone later after its cordon than
// it must be in force, whatever else went wrong, and returns the latest start.
func (d *deployment) checkCordons(events []standin.AuditEvent) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	latest := time.Duration(0)
	for _, e := range events {
		if e.Kind != standin.AuditStarted {
			continue
		}
		zone := d.site.Zone(e.Worker)
		for _, s := range d.cordons[zone] {
			if e.At.Before(s.from) || !s.to.IsZero() && e.At.After(s.to) {
				continue
			}
			late := e.At.Sub(s.from)
			latest = max(latest, late)
			if late > standin.CordonWithin {
				d.report.add("%s was started on %s, %s after %s was cordoned", e.Task, e.Worker, late.Round(time.Millisecond), zone)
			}
		}
	}
	return latest
}
