package placement

// place numbers a zone or a rack of a snapshot.
type place int32

// spreadCount is where one service's instances are.
type spreadCount struct {
	total int
	zones []int
	racks []int
}

func (c *spreadCount) add(w *Worker, n int) {
	c.total += n
	c.zones = bump(c.zones, w.zone, n)
	c.racks = bump(c.racks, w.rack, n)
}

func bump(counts []int, at place, n int) []int {
	for len(counts) <= int(at) {
		counts = append(counts, 0)
	}
	counts[at] += n
	return counts
}

func countAt(counts []int, at place) int {
	if int(at) >= len(counts) {
		return 0
	}
	return counts[at]
}

// places numbers names and counts the eligible workers of each.
type places struct {
	byName   map[string]place
	eligible []int
	// inUse is how many places have an eligible worker.
	inUse int
}

func newPlaces() *places { return &places{byName: make(map[string]place)} }

func (p *places) id(name string) place {
	id, ok := p.byName[name]
	if !ok {
		id = place(len(p.byName))
		p.byName[name] = id
		p.eligible = append(p.eligible, 0)
	}
	return id
}

func (p *places) count(id place, n int) {
	before := p.eligible[id]
	p.eligible[id] += n
	if before == 0 && n > 0 {
		p.inUse++
	}
	if before > 0 && p.eligible[id] == 0 {
		p.inUse--
	}
}
