package roomshares

import "github.com/guavarill/guavarill/core/model"

// Claim is what a claimant wants of the room that is divided.
type Claim struct {
	// Weight is the claimant's weight relative to the others; it must be positive.
	Weight float64
	// Wanted is what it uses and would use in addition.
	Wanted model.Resources
}

// Entitlement is what a claimant may use. Shares are fractions of the capacity in the
// resource of which the claimant wants the largest fraction.
type Entitlement struct {
	// Share is what the claimant is entitled to, Wanted what it wants.
	Share, Wanted float64
	// Fair is what it is entitled to whatever the others want, if it wants as much.
	Fair float64
}

// IsBinding reports whether the claimant gets less than it wants.
func (e Entitlement) IsBinding() bool { return e.Share < e.Wanted }

// Divide returns the entitlement of each claim, in the order of the claims. All
// claimants' shares rise together, each in proportion to its weight, until the
// claimant has what it wants or a resource that it wants is used up.
func Divide(capacity model.Resources, claims []Claim) []Entitlement {
	d := newDivision(capacity, claims)
	for d.rise() {
	}
	return d.entitlements
}

// dimensions is the number of resources that are divided.
const dimensions = 3

// vector holds a number for each resource, as a fraction of the capacity.
type vector [dimensions]float64

func fractions(part, whole model.Resources) vector {
	parts := [dimensions][2]int64{
		{part.MilliCPU, whole.MilliCPU}, {part.MemoryMB, whole.MemoryMB}, {part.Accelerators, whole.Accelerators},
	}
	var v vector
	for r, p := range parts {
		if p[0] > 0 {
			// Without any capacity the fraction is infinite.
			v[r] = float64(p[0]) / float64(max(p[1], 0))
		}
	}
	return v
}

// DominantShare returns the largest fraction that part is of the capacity in any
// resource. It is infinite if part needs a resource of which there is none.
func DominantShare(part, capacity model.Resources) float64 {
	share := 0.0
	for _, f := range fractions(part, capacity) {
		share = max(share, f)
	}
	return share
}
