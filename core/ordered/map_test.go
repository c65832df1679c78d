package ordered

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestMapMatchesReference applies random changes, some of them during an iteration,
// and compares the map with a reference: a built-in map and a slice of the keys in the
// order of insertion.
func TestMapMatchesReference(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("same keys, values and order", prop.ForAll(func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 0))
		var m Map[int, int]
		var keys []int
		values := make(map[int]int)
		change := func() {
			key := rnd.IntN(40)
			if rnd.IntN(2) == 0 {
				if !m.Has(key) {
					keys = append(keys, key)
				}
				values[key] = rnd.Int()
				m.Set(key, values[key])
				return
			}
			m.Delete(key)
			delete(values, key)
			keys = slices.DeleteFunc(keys, func(k int) bool { return k == key })
		}
		for range 400 {
			change()
			if rnd.IntN(20) == 0 {
				for key := range m.All() {
					change()
					if rnd.IntN(10) == 0 {
						m.Delete(key)
						delete(values, key)
						keys = slices.DeleteFunc(keys, func(k int) bool { return k == key })
						break
					}
				}
			}
			var seen []int
			for key, value := range m.All() {
				if got, known := m.Lookup(key); !known || got != value || value != values[key] {
					return false
				}
				seen = append(seen, key)
			}
			if !slices.Equal(seen, keys) || m.Len() != len(keys) {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestDeletedEntriesAreReleased(t *testing.T) {
	var m Map[int, *int]
	for i := range 10000 {
		m.Set(i, &i)
		m.Delete(i)
	}
	if len(m.entries) > 2*minDeletedToCompact {
		t.Errorf("%d entries are kept for deleted keys", len(m.entries))
	}
}
