package dedup

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Outcome is what the verdicts so far allow the claimant to do.
type Outcome uint8

// The outcomes of a claim.
const (
	// Undecided: more verdicts are needed.
	Undecided Outcome = iota
	// Proceed: the claim is recorded at a majority; the request may be sent.
	Proceed
	// RefusedFull: the ID was never used, but there is no room to record it.
	// Nothing was sent and nothing ran.
	RefusedFull
	// RefusedHeld: another attempt with the same ID may have been sent.
	RefusedHeld
	// RefusedMismatch: the ID was used with another payload.
	RefusedMismatch
	// RefusedUnsure: too many homes were unavailable or may have forgotten the
	// ID.
	RefusedUnsure
)

var outcomeNames = [...]string{"undecided", "proceed", "full", "held", "mismatch", "unsure"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// Claim combines the verdicts of an ID's homes. It is not safe for concurrent
// use.
type Claim struct {
	homes    []model.DaemonID
	verdicts []Verdict
	answered []bool
}

// NewClaim begins a claim at homes, as returned by HomesFor.
func NewClaim(homes []model.DaemonID) *Claim {
	return &Claim{
		homes:    homes,
		verdicts: make([]Verdict, len(homes)),
		answered: make([]bool, len(homes)),
	}
}

// Add records the verdict of one home. A home that was unreachable, or whose
// response was lost, must be recorded as Unsure.
func (c *Claim) Add(home model.DaemonID, v Verdict) {
	for i, h := range c.homes {
		if h == home {
			c.verdicts[i] = v
			c.answered[i] = true
		}
	}
}

// Outcome returns what follows from the verdicts so far. A verdict of Held or
// Mismatch forbids sending even with a majority of grants: it may be the
// remains of an older claim whose other homes were lost.
func (c *Claim) Outcome() Outcome {
	granted := c.count(Granted)
	full := c.count(Full)
	majority := len(c.homes)/2 + 1
	switch {
	case len(c.homes) == 0:
		return RefusedUnsure
	case c.count(Mismatch) > 0:
		return RefusedMismatch
	case c.count(Held) > 0:
		return RefusedHeld
	case granted >= majority:
		return Proceed
	case c.pending() > 0:
		return Undecided
	case granted+full >= majority:
		return RefusedFull
	}
	return RefusedUnsure
}

// Granted returns the homes that granted the claim. They must be notified when
// the claim is released.
func (c *Claim) Granted() []model.DaemonID {
	var homes []model.DaemonID
	for i, h := range c.homes {
		if c.answered[i] && c.verdicts[i] == Granted {
			homes = append(homes, h)
		}
	}
	return homes
}

func (c *Claim) count(v Verdict) int {
	n := 0
	for i := range c.homes {
		if c.answered[i] && c.verdicts[i] == v {
			n++
		}
	}
	return n
}

func (c *Claim) pending() int {
	n := 0
	for _, a := range c.answered {
		if !a {
			n++
		}
	}
	return n
}

// Member is an entry as a candidate for the homes of an ID.
type Member struct {
	ID model.DaemonID
	// LastSeen is when the entry was last known to be up, by any evidence; zero
	// while the entry is up, suspect or leaving.
	LastSeen time.Time
	// RemovedAt is when the entry's VM disappeared from the platform's list;
	// zero while it is listed. Silence alone never sets it: a silent entry may
	// still grant claims to others.
	RemovedAt time.Time
}

// Eligible returns the entries from which the homes of an ID are chosen. An
// entry that is no longer up remains eligible for Retention, because choosing
// another home in its place would lose the claims that it granted. It is
// omitted only for an ID that was created after the platform had removed its
// VM.
func Eligible(now, issued time.Time, members []Member, o Options) []model.DaemonID {
	o = o.WithDefaults()
	eligible := make([]model.DaemonID, 0, len(members))
	for _, m := range members {
		if !m.LastSeen.IsZero() && now.Sub(m.LastSeen) > o.Retention {
			continue
		}
		if !m.RemovedAt.IsZero() && issued.After(m.RemovedAt.Add(o.MembershipDelay+o.MaxClockSkew)) {
			continue
		}
		eligible = append(eligible, m.ID)
	}
	return eligible
}
