package placement

import "testing"

// Guards against a worker being committed beyond its capacity in one dimension
// because the filter compares only some dimensions.
func TestRoomFilterChecksEveryDimension(t *testing.T) {
	s, w := newSnapshotOf(fleet(1, 1, 1, res(1000, 1000, 1))...)
	cases := map[string]struct {
		cpu, memory, accelerators int64
		want                      bool
	}{
		"all fit":               {1000, 1000, 1, true},
		"processors short":      {1001, 1, 0, false},
		"memory short":          {1, 1001, 0, false},
		"accelerators short":    {1, 1, 2, false},
		"nothing asked for fit": {0, 0, 0, true},
	}
	for name, c := range cases {
		if got := (RoomFilter{}).Admit(s, batch(1, res(c.cpu, c.memory, c.accelerators)), w); got != c.want {
			t.Errorf("%s: admitted %v, want %v", name, got, c.want)
		}
	}
}
