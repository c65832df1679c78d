package routing

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

const (
	// referenceEvery is the number of responses after which a group's reference
	// is recomputed.
	referenceEvery = 32
	// referencePeers is the maximum number of targets from which a reference is
	// computed.
	referencePeers = 63
	// minPeers is the minimum number of targets with enough samples for a
	// reference.
	minPeers = 2
)

// group is the targets of one availability zone. Targets are compared within
// their group, so that the latency of a distant zone is not mistaken for
// slowness.
type group struct {
	zone      model.Zone
	near      bool
	members   []*target
	responses int
	offset    int
	reference float64 // median latency of the members in nanoseconds, 0 if unknown
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

// countResponse counts a response and recomputes the reference when due.
func (g *group) countResponse() {
	g.responses++
	if g.responses < referenceEvery && g.reference > 0 {
		return
	}
	g.responses = 0
	g.updateReference()
}

// updateReference sets the reference to the median of the members' averages,
// which stays that of the healthy members while fewer than half are slow. A
// mean would rise with the slow members and hide them. Of an even number of
// averages, the lower middle one is taken. In a large group, each computation
// covers the next referencePeers members.
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
