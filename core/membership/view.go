package membership

import "github.com/guavarill/guavarill/core/model"

// View is an immutable view of the members. Its slices must not be changed.
type View struct {
	// Self is this daemon's own record.
	Self Member
	// Members are all known members, including this daemon, ordered by ID.
	Members []Member
	// Isolated is whether this daemon fails to reach a majority of the members
	// that are not dead, in which case it removes none.
	Isolated bool
}

// Alive returns the members that are alive and not leaving.
func (v *View) Alive() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.State == Alive {
			out = append(out, m)
		}
	}
	return out
}

// Candidates returns the daemons that may own shards: those that are alive and
// whose VM is not leaving.
func (v *View) Candidates() []model.DaemonID {
	return v.ids(func(m *Member) bool { return m.State == Alive && !m.VMLeaving })
}

// Active returns the daemons that may still send requests, including leaving
// and suspect ones. The slots of instances are divided among them.
func (v *View) Active() []model.DaemonID {
	return v.ids(func(m *Member) bool {
		return m.State == Alive || m.State == Leaving || m.State == Suspect
	})
}

// Known returns the daemons that have been contacted or reported, including
// recently dead ones.
func (v *View) Known() []model.DaemonID {
	return v.ids(func(m *Member) bool { return m.State != Listed })
}

// Member returns the record of one member and whether it is known.
func (v *View) Member(id model.DaemonID) (Member, bool) {
	lo, hi := 0, len(v.Members)
	for lo < hi {
		mid := (lo + hi) / 2
		if v.Members[mid].ID < id {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(v.Members) && v.Members[lo].ID == id {
		return v.Members[lo], true
	}
	return Member{}, false
}

func (v *View) ids(keep func(*Member) bool) []model.DaemonID {
	var out []model.DaemonID
	for i := range v.Members {
		if keep(&v.Members[i]) {
			out = append(out, v.Members[i].ID)
		}
	}
	return out
}
