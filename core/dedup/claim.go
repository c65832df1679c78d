package dedup

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Outcome is what a claimant may conclude from the verdicts.
type Outcome uint8

// The outcomes.
const (
	// Undecided: more verdicts are needed.
	Undecided Outcome = iota
	// Proceed: the claim is recorded at a majority; the request may be sent.
	Proceed
	// RefusedFull: the id was never used, but there is no room to record it.
	// Nothing was sent and nothing ran.
	RefusedFull
	// RefusedHeld: another attempt under the id may have been sent.
	RefusedHeld
	// RefusedMismatch: the id belongs to another payload.
	RefusedMismatch
	// RefusedUnsure: too many homes were away or could not know.
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

// Claim combines the verdicts of an id's homes. It is not safe for concurrent
// use.
type Claim struct {
	homes    []model.DaemonID
	verdicts []Verdict
	answered []bool
}

// NewClaim begins a claim at homes, as HomesFor returned them.
func NewClaim(homes []model.DaemonID) *Claim {
	return &Claim{
		homes:    homes,
		verdicts: make([]Verdict, len(homes)),
		answered: make([]bool, len(homes)),
	}
}

// Add records the verdict of one home. A home that could not be reached, or
// whose answer was lost, counts as Unsure.
func (c *Claim) Add(home model.DaemonID, v Verdict) {
	for i, h := range c.homes {
		if h == home {
			c.verdicts[i] = v
			c.answered[i] = true
		}
	}
}

// Outcome returns what follows from the verdicts so far. A verdict of Held or
// Mismatch forbids sending even beside a majority of grants: it may be what is
// left of an older claim whose other homes were lost.
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

// Granted returns the homes that granted the claim, which are to be told when
// it is released.
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

// Member is an entry as Eligible looks at it.
type Member struct {
	ID model.DaemonID
	// LastSeen is when the entry was last known to be up, by any sign; it is
	// zero while the entry is up, suspect or leaving.
	LastSeen time.Time
	// RemovedAt is when the platform's list stopped naming the entry's VM; zero
	// while it is listed. Silence alone never sets it: a silent entry may
	// still be granting claims to others.
	RemovedAt time.Time
}

// Eligible returns the entries from which the homes of an id are taken. An
// entry that is no longer up stays among them for Retention, because claims
// that it granted must not be forgotten by choosing another home in its
// place. Only an id that was made after the platform had taken the VM away
// does without it.
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
