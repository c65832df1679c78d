package ownership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

func daemonNames(n int) []model.DaemonID {
	ids := make([]model.DaemonID, n)
	for i := range ids {
		ids[i] = model.DaemonID(fmt.Sprintf("entry-%03d", i))
	}
	return ids
}

func TestAssign(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	properties := gopter.NewProperties(parameters)
	properties.Property("balanced, and independent of order", prop.ForAll(
		func(shards uint32, daemons int) string {
			candidates := daemonNames(daemons)
			owners := Assign(shards, candidates)
			slices.Reverse(candidates)
			if !slices.Equal(owners, Assign(shards, candidates)) {
				return "depends on the order of candidates"
			}
			held := make(map[model.DaemonID]int)
			for _, owner := range owners {
				held[owner]++
			}
			most := (int(shards) + daemons - 1) / daemons
			for daemon, n := range held {
				if daemon == "" || n > most {
					return fmt.Sprintf("%q owns %d of %d shards, at most %d", daemon, n, shards, most)
				}
			}
			return ""
		}, gen.UInt32Range(1, 250), gen.IntRange(1, 320)))
	properties.TestingRun(t)
}

// TestAssignMovesLittle checks how many shards move when one daemon of many
// leaves and the limit per daemon stays the same.
func TestAssignMovesLittle(t *testing.T) {
	for _, c := range []struct {
		shards           uint32
		daemons, atMost  int
		ownAmongAllMoved int
	}{{220, 300, 8, 1}, {7, 8, 7, 1}, {220, 100, 12, 3}} {
		candidates := daemonNames(c.daemons)
		before := Assign(c.shards, candidates)
		worst, total := 0, 0
		for i := range candidates {
			after := Assign(c.shards, slices.Delete(slices.Clone(candidates), i, i+1))
			moved := 0
			for shard := range after {
				if after[shard] != before[shard] {
					moved++
				}
			}
			worst = max(worst, moved)
			total += moved
		}
		t.Logf("%d shards, %d daemons: %.2f move on average, %d at worst",
			c.shards, c.daemons, float64(total)/float64(c.daemons), worst)
		if worst > c.atMost {
			t.Errorf("%d of %d shards move when one of %d daemons goes", worst, c.shards, c.daemons)
		}
	}
}

func BenchmarkAssign(b *testing.B) {
	candidates := daemonNames(300)
	for b.Loop() {
		Assign(220, candidates)
	}
}
