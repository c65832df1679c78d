package cordon

import (
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Zones maps each cordoned availability zone to the store revision at which it was
// cordoned.
type Zones map[model.Zone]int64

// Add adds a zone that was cordoned at the given store revision. An empty name is the
// name of no zone, and is ignored.
func (z Zones) Add(name string, revision int64) {
	if name != "" {
		z[model.Zone(name)] = revision
	}
}

// Names returns the cordoned zones in alphabetical order.
func (z Zones) Names() []model.Zone { return slices.Sorted(maps.Keys(z)) }

// Limits bound the age of a View and the time in which a start may be delivered. The
// zero value sets no limits.
type Limits struct {
	// MaxAge is how old a View may be when a task is started by it.
	MaxAge time.Duration
	// StartWithin is how long after a start was sent the worker may still accept it.
	StartWithin time.Duration
}

const (
	// maxAgePart and startWithinPart are the parts of the bound that the two limits
	// take. What is left covers the worker's clock, which may run slow, and the time
	// between a decision and its sending.
	maxAgePart      = 0.5
	startWithinPart = 0.4
)

// LimitsFor returns the limits that bring a cordon into force within the given time
// after it was stored; 0 sets no limits.
func LimitsFor(inForceWithin time.Duration) Limits {
	return Limits{
		MaxAge:      time.Duration(maxAgePart * float64(inForceWithin)),
		StartWithin: time.Duration(startWithinPart * float64(inForceWithin)),
	}
}

// StartLease returns the length of the lease with which a start is sent, if a lease
// is otherwise as long as given. A worker refuses a start whose lease has ended.
func (l Limits) StartLease(lease time.Duration) time.Duration {
	if l.StartWithin == 0 {
		return lease
	}
	return min(lease, l.StartWithin)
}

// View is what a daemon knows of the cordons. The zero value knows nothing and is
// not current.
type View struct {
	zones Zones
	// confirmedAt is the latest time at which zones was complete.
	confirmedAt time.Time
}

// Change is the difference that a new reading makes to a View.
type Change struct{ Cordoned, Lifted []model.Zone }

// Update replaces the view by a reading of all cordons that was requested at the
// given time, and returns what has changed. A reading that was requested earlier
// than the one in use is ignored.
func (v *View) Update(zones Zones, requestedAt time.Time) Change {
	if !requestedAt.After(v.confirmedAt) {
		return Change{}
	}
	var change Change
	for _, zone := range zones.Names() {
		if !v.IsCordoned(zone) {
			change.Cordoned = append(change.Cordoned, zone)
		}
	}
	for _, zone := range v.zones.Names() {
		if _, ok := zones[zone]; !ok {
			change.Lifted = append(change.Lifted, zone)
		}
	}
	v.zones, v.confirmedAt = maps.Clone(zones), requestedAt
	return change
}

// IsCordoned reports whether the zone is cordoned.
func (v *View) IsCordoned(zone model.Zone) bool {
	_, ok := v.zones[zone]
	return ok
}

// IsCurrent reports whether tasks may be started by the view, in zones that are not
// cordoned.
func (v *View) IsCurrent(now time.Time, l Limits) bool {
	return l.MaxAge == 0 || !v.confirmedAt.IsZero() && now.Sub(v.confirmedAt) <= l.MaxAge
}

// Age returns the time since the view was last known to be complete. The second
// result is false if there has been no reading.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(v.confirmedAt), !v.confirmedAt.IsZero()
}

// Zones returns a copy of the cordoned zones.
func (v *View) Zones() Zones { return maps.Clone(v.zones) }
