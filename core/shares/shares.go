package shares

import (
	"github.com/guavarill/guavarill/core/model"
)

// Entry is a daemon that gets a share of the slots.
type Entry struct {
	ID   model.DaemonID
	Zone model.Zone
	// Weight is the entry's weight relative to the other entries; 0 counts as
	// 1.
	Weight uint32
}

// Capacity is the capacity of one instance for all entries together.
type Capacity struct {
	Address string
	Zone    model.Zone
	// Slots is the number of concurrent requests.
	Slots int
	// Connections is the number of connections; 0 means no limit.
	Connections int
}

// Share is one entry's share of one instance.
type Share struct {
	Address string
	Slots   int
	// Connections is the number of connections; 0 means no limit.
	Connections int
}

// DivideUnzoned divides targets between entries regardless of zones and returns
// the shares of self, sorted by address. Instances of which self has no slot
// are omitted.
func DivideUnzoned(entries []model.DaemonID, self model.DaemonID, targets []Capacity) []Share {
	unzoned := make([]Entry, len(entries))
	for i, id := range entries {
		unzoned[i] = Entry{ID: id}
	}
	anywhere := make([]Capacity, len(targets))
	for i, t := range targets {
		t.Zone = ""
		anywhere[i] = t
	}
	return Divide(unzoned, self, anywhere)
}

// Divide divides targets between entries, preferably within the same zone, and
// returns the shares of self, sorted by address. Instances of which self has no
// slot are omitted. The result is nil if self is not among the entries.
func Divide(entries []Entry, self model.DaemonID, targets []Capacity) []Share {
	d := newDivision(entries, targets)
	me, ok := d.indexOf(self)
	if !ok || len(d.targets) == 0 {
		return nil
	}
	d.compute()
	return d.sharesOf(me)
}
