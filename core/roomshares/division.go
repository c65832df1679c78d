package roomshares

import (
	"math"

	"github.com/guavarill/guavarill/core/model"
)

// division is the state of one call of Divide.
type division struct {
	entitlements []Entitlement
	weights      []float64
	// rates holds by how much each claimant's use rises with its share.
	rates []vector
	// rising holds whether each claimant's share still rises.
	rising []bool
	left   vector
}

func newDivision(capacity model.Resources, claims []Claim) *division {
	d := &division{
		entitlements: make([]Entitlement, len(claims)), weights: make([]float64, len(claims)),
		rates: make([]vector, len(claims)), rising: make([]bool, len(claims)), left: vector{1, 1, 1},
	}
	total := 0.0
	for i, c := range claims {
		wanted := fractions(c.Wanted, capacity)
		share := DominantShare(c.Wanted, capacity)
		d.entitlements[i].Wanted = share
		d.weights[i] = c.Weight
		if share == 0 || math.IsInf(share, 1) {
			continue
		}
		d.rising[i] = true
		total += c.Weight
		for r, f := range wanted {
			d.rates[i][r] = f / share
		}
	}
	for i := range claims {
		if d.rising[i] {
			d.entitlements[i].Fair = d.weights[i] / total
		}
	}
	return d
}

// rise raises all rising shares until the first of them has to stop. It returns false
// if none rises any more.
func (d *division) rise() bool {
	var speed vector
	most := math.Inf(1)
	for i, e := range d.entitlements {
		if !d.rising[i] {
			continue
		}
		most = min(most, (e.Wanted-e.Share)/d.weights[i])
		for r := range speed {
			speed[r] += d.weights[i] * d.rates[i][r]
		}
	}
	if math.IsInf(most, 1) {
		return false
	}
	for r := range speed {
		if speed[r] > 0 {
			most = min(most, d.left[r]/speed[r])
		}
	}
	d.raise(most, speed)
	return true
}

// raise raises all rising shares by the given amount for each unit of weight, and stops
// those that have what they want or want a resource that is used up.
func (d *division) raise(by float64, speed vector) {
	var exhausted [dimensions]bool
	for r := range speed {
		d.left[r] -= by * speed[r]
		exhausted[r] = speed[r] > 0 && d.left[r] <= negligible
	}
	for i := range d.entitlements {
		if !d.rising[i] {
			continue
		}
		e := &d.entitlements[i]
		e.Share += by * d.weights[i]
		if e.Wanted-e.Share <= negligible {
			e.Share, d.rising[i] = e.Wanted, false
		}
		for r := range exhausted {
			if exhausted[r] && d.rates[i][r] > 0 {
				d.rising[i] = false
			}
		}
	}
}

// negligible is the fraction of the capacity that is taken for rounding.
const negligible = 1e-9
