package routing

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

const (
	// referenceEvery is after how many answers a group's reference is
	// computed anew.
	referenceEvery = 32
	// referencePeers is how many targets at most are looked at for it.
	referencePeers = 63
	// minPeers is how many compared targets make a reference.
	minPeers = 2
)

// group is the targets of one availability zone. Targets are compared within
// it, so that distance is not taken for slowness.
type group struct {
	zone      model.Zone
	near      bool
	members   []*target
	responses int
	offset    int
	reference float64 // median latency of the members, nanoseconds; 0: none
}

func (g *group) add(t *target) {
	t.group = g
	t.groupMember = len(g.members)
	g.members = append(g.members, t)
}

func (g *group) remove(t *target) {
	last := len(g.members) - 1
	moved := g.members[last]
	g.members[t.groupMember] = moved
	moved.groupMember = t.groupMember
	g.members[last] = nil
	g.members = g.members[:last]
}

// countResponse counts an answer, and computes the reference anew when it is due.
func (g *group) countResponse() {
	g.responses++
	if g.responses < referenceEvery && g.reference > 0 {
		return
	}
	g.responses = 0
	g.updateReference()
}

// updateReference sets the reference to the median of the members' averages: it stays
// that of the healthy ones while fewer than half are slow. A mean would rise
// with the slow ones and hide them. Of two it is the lower. Of a large group each computation looks
// at the next part.
func (g *group) updateReference() {
	var buffer [referencePeers]float64
	latencies := buffer[:0]
	n := min(len(g.members), referencePeers)
	for i := range n {
		t := g.members[(g.offset+i)%len(g.members)]
		if t.samples >= minSamples {
			latencies = append(latencies, t.shortAverage)
		}
	}
	g.offset += n
	if len(latencies) < minPeers {
		return
	}
	slices.Sort(latencies)
	g.reference = latencies[(len(latencies)-1)/2]
}
