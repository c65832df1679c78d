package cordon

import (
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

var start = time.UnixMilli(1_700_000_000_000)

const inForceWithin = 5 * time.Second

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func zones(names ...model.Zone) Zones {
	z := make(Zones)
	for i, name := range names {
		z[name] = int64(i + 1)
	}
	return z
}

// TestLimitsKeepTheBound guards against limits that together let a start be accepted
// after the cordon must be in force: by the oldest permitted view, delivered at the
// last permitted moment, at a worker whose clock runs 2% slow.
func TestLimitsKeepTheBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, inForceWithin, time.Minute} {
		l := LimitsFor(bound)
		latest := l.MaxAge + time.Duration(1.02*float64(l.StartLease(time.Hour)))
		if latest >= bound {
			t.Errorf("a start may be accepted %s after a cordon that must be in force within %s", latest, bound)
		}
		if l.StartLease(time.Millisecond) != time.Millisecond {
			t.Errorf("bound %s: a lease shorter than the limit is prolonged", bound)
		}
	}
	var none Limits
	if none.StartLease(time.Hour) != time.Hour || LimitsFor(0) != none {
		t.Error("without a bound the lease of a start is limited")
	}
}

func TestViewAges(t *testing.T) {
	l := LimitsFor(inForceWithin)
	var v View
	if v.IsCurrent(start, l) {
		t.Error("a view without a reading is current")
	}
	if !v.IsCurrent(start, Limits{}) {
		t.Error("without limits a view is not current")
	}
	v.Update(nil, start)
	for _, c := range []struct {
		ms      int
		current bool
	}{{0, true}, {2500, true}, {2501, false}, {60_000, false}} {
		if v.IsCurrent(after(c.ms), l) != c.current {
			t.Errorf("after %d ms: current %t, want %t", c.ms, !c.current, c.current)
		}
	}
}

func TestUpdate(t *testing.T) {
	var v View
	for _, c := range []struct {
		name             string
		requestedMs      int
		zones            Zones
		cordoned, lifted []model.Zone
	}{
		{"first reading", 10, nil, nil, nil},
		{"one cordoned", 20, zones("b"), []model.Zone{"b"}, nil},
		{"the same again", 30, zones("b"), nil, nil},
		{"another instead", 40, zones("a", "c"), []model.Zone{"a", "c"}, []model.Zone{"b"}},
		{"a reading requested earlier", 35, zones("b"), nil, nil},
		{"all lifted", 50, zones(), nil, []model.Zone{"a", "c"}},
	} {
		change := v.Update(c.zones, after(c.requestedMs))
		if !slices.Equal(change.Cordoned, c.cordoned) || !slices.Equal(change.Lifted, c.lifted) {
			t.Errorf("%s: cordoned %v, lifted %v; want %v, %v", c.name, change.Cordoned, change.Lifted, c.cordoned, c.lifted)
		}
	}
}

// TestZoneCordonedAnew guards against a zone that counts as open because its cordon
// was lifted and put up again between two readings.
func TestZoneCordonedAnew(t *testing.T) {
	var v View
	v.Update(Zones{"a": 5}, after(0))
	change := v.Update(Zones{"a": 9}, after(800))
	if !v.IsCordoned("a") || len(change.Cordoned)+len(change.Lifted) > 0 || v.Zones()["a"] != 9 {
		t.Errorf("cordoned %t at revision %d after %+v", v.IsCordoned("a"), v.Zones()["a"], change)
	}
}
