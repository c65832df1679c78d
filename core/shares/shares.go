package shares

import (
	"github.com/guavarill/guavarill/core/model"
)

// Entry is one daemon among which slots are divided.
type Entry struct {
	ID   model.DaemonID
	Zone model.Zone
	// Weight is the entry's part relative to the others'; 0 counts as 1.
	Weight uint32
}

// Capacity is what one instance offers to all entries together. Connections
// of 0 means that connections are not limited.
type Capacity struct {
	Address     string
	Zone        model.Zone
	Slots       int
	Connections int
}

// Share is one entry's part of one instance.
type Share struct {
	Address     string
	Slots       int
	Connections int
}

// DivideUnzoned divides targets over entries without regard to zones and returns
// self's part, sorted by address. Instances of which self has no part are
// left out.
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

// Divide divides targets over entries, those in the same zone first, and
// returns self's part, sorted by address. Instances of which self has no part
// are left out; so is everything when self is not among entries.
func Divide(entries []Entry, self model.DaemonID, targets []Capacity) []Share {
	d := newDivision(entries, targets)
	me, ok := d.indexOf(self)
	if !ok || len(d.targets) == 0 {
		return nil
	}
	d.compute()
	return d.sharesOf(me)
}
