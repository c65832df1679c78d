package placement

// domainID identifies a zone or a rack within a snapshot.
type domainID int32

// spreadCount counts the instances of one service in total, by zone and by
// rack.
type spreadCount struct {
	total int
	zones []int
	racks []int
}

func (c *spreadCount) add(w *Worker, n int) {
	c.total += n
	c.zones = addAt(c.zones, w.zone, n)
	c.racks = addAt(c.racks, w.rack, n)
}

func addAt(counts []int, at domainID, n int) []int {
	for len(counts) <= int(at) {
		counts = append(counts, 0)
	}
	counts[at] += n
	return counts
}

func countAt(counts []int, at domainID) int {
	if int(at) >= len(counts) {
		return 0
	}
	return counts[at]
}

// domains assigns ids to the names of zones or of racks, and counts the
// eligible workers in each.
type domains struct {
	ids      map[string]domainID
	eligible []int
	// inUse is the number of domains with at least one eligible worker.
	inUse int
}

func newDomains() *domains { return &domains{ids: make(map[string]domainID)} }

func (p *domains) id(name string) domainID {
	id, ok := p.ids[name]
	if !ok {
		id = domainID(len(p.ids))
		p.ids[name] = id
		p.eligible = append(p.eligible, 0)
	}
	return id
}

func (p *domains) count(id domainID, n int) {
	before := p.eligible[id]
	p.eligible[id] += n
	if before == 0 && n > 0 {
		p.inUse++
	}
	if before > 0 && p.eligible[id] == 0 {
		p.inUse--
	}
}
