package roomshares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

const tolerance = 1e-6

func cores(n int64) model.Resources { return model.Resources{MilliCPU: 1000 * n, MemoryMB: 10 * n} }

// TestShortWorkGetsWhatItWants guards against long-running work that takes all room
// that urgent work with an equal claim would use: long-running jobs ask for more than
// there is, short ones for a third.
func TestShortWorkGetsWhatItWants(t *testing.T) {
	capacity := model.Resources{MilliCPU: 900_000, MemoryMB: 1 << 20}
	shares := Divide(capacity, []Claim{{1, cores(1200)}, {1, cores(300)}})
	if got := shares[1].Share; math.Abs(got-1.0/3) > tolerance || shares[1].IsBinding() {
		t.Errorf("short work is entitled to %.3f, want a third", got)
	}
	if got := shares[0].Share; math.Abs(got-2.0/3) > tolerance || !shares[0].IsBinding() {
		t.Errorf("long-running work is entitled to %.3f, want two thirds", got)
	}
}

// TestEqualClaimsInAFloodGetHalves guards against either kind of work displacing the
// other when both want more than there is.
func TestEqualClaimsInAFloodGetHalves(t *testing.T) {
	capacity := model.Resources{MilliCPU: 900_000, MemoryMB: 1 << 20}
	for i, e := range Divide(capacity, []Claim{{1, cores(1200)}, {1, cores(5000)}}) {
		if math.Abs(e.Share-0.5) > tolerance {
			t.Errorf("claim %d is entitled to %.3f, want half", i, e.Share)
		}
	}
}

// TestSharesOfDifferentResources guards against shares that count processors alone:
// one claimant wants memory, the other processors, and both fit beside each other.
func TestSharesOfDifferentResources(t *testing.T) {
	capacity := model.Resources{MilliCPU: 100_000, MemoryMB: 100_000}
	shares := Divide(capacity, []Claim{
		{1, model.Resources{MilliCPU: 300_000, MemoryMB: 30_000}},
		{1, model.Resources{MilliCPU: 30_000, MemoryMB: 300_000}},
	})
	for i, e := range shares {
		if want := 1 / 1.1; math.Abs(e.Share-want) > tolerance {
			t.Errorf("claim %d is entitled to %.3f, want %.3f", i, e.Share, want)
		}
	}
}

// TestClaimOnAMissingResource guards against a division by zero where no worker has
// accelerators.
func TestClaimOnAMissingResource(t *testing.T) {
	shares := Divide(cores(100), []Claim{{1, model.Resources{Accelerators: 4}}, {1, cores(30)}})
	if shares[0].Share != 0 || math.Abs(shares[1].Share-0.3) > tolerance {
		t.Errorf("entitled to %.3f and %.3f, want 0 and 0.3", shares[0].Share, shares[1].Share)
	}
}

// checkDivision returns what is wrong with the entitlements, or "".
func checkDivision(capacity model.Resources, claims []Claim, shares []Entitlement) string {
	var used vector
	for i, e := range shares {
		if e.Share > e.Wanted+tolerance {
			return fmt.Sprintf("claim %d gets %.4f and wants %.4f", i, e.Share, e.Wanted)
		}
		if e.Share < min(e.Wanted, e.Fair)-tolerance {
			return fmt.Sprintf("claim %d gets %.4f of %.4f wanted, its fair share is %.4f", i, e.Share, e.Wanted, e.Fair)
		}
		for r, f := range fractions(claims[i].Wanted, capacity) {
			used[r] += f * e.Share / max(e.Wanted, negligible)
		}
	}
	exhausted := false
	for r, u := range used {
		if u > 1+tolerance {
			return fmt.Sprintf("resource %d is given out %.4f times", r, u)
		}
		exhausted = exhausted || u > 1-tolerance
	}
	for i, e := range shares {
		if e.Share < e.Wanted-tolerance && !exhausted {
			return fmt.Sprintf("claim %d gets %.4f of %.4f wanted though nothing is used up", i, e.Share, e.Wanted)
		}
	}
	return ""
}

func TestDivisionInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("shares fit, nobody gets less than its fair share, nothing wanted is left", prop.ForAll(
		func(n int, seed uint64) string {
			rnd := rand.New(rand.NewPCG(seed, 3))
			capacity := model.Resources{MilliCPU: 1 + rnd.Int64N(1e7), MemoryMB: 1 + rnd.Int64N(1e7), Accelerators: 1 + rnd.Int64N(100)}
			claims := make([]Claim, n)
			for i := range claims {
				claims[i] = Claim{
					Weight: 1 / float64(int(1)<<rnd.IntN(4)),
					Wanted: model.Resources{MilliCPU: rnd.Int64N(1e7), MemoryMB: rnd.Int64N(1e7), Accelerators: rnd.Int64N(60)},
				}
			}
			return checkDivision(capacity, claims, Divide(capacity, claims))
		},
		gen.IntRange(1, 12), gen.UInt64()))
	properties.TestingRun(t)
}
