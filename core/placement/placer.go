package placement

import (
	"math/rand/v2"

	"github.com/guavarill/guavarill/core/model"
)

// Options are the settings of a placer.
type Options struct {
	// Random is the source of random candidates. The same source and the same
	// calls give the same decisions. Nil selects a source with a fixed seed.
	Random rand.Source
	// TightCandidates is the number of candidates taken from the workers with
	// the least free resources that still fit the task. Values of 0 and less
	// select the default.
	TightCandidates int
	// RandomCandidates is the number of workers sampled at random in addition.
	// Values of 0 and less select the default.
	RandomCandidates int
}

// The default numbers of candidates.
const (
	DefaultTightCandidates  = 4
	DefaultRandomCandidates = 8
)

// Placer chooses workers for tasks. It is not safe for concurrent use.
type Placer struct {
	filters     []Filter
	scores      []Score
	totalWeight float64
	options     Options
	random      *rand.Rand
	candidates  []*Worker
}

// New returns a placer with the given filters and scores.
func New(filters []Filter, scores []Score, o Options) *Placer {
	if o.Random == nil {
		o.Random = rand.NewPCG(1, 1)
	}
	if o.TightCandidates <= 0 {
		o.TightCandidates = DefaultTightCandidates
	}
	if o.RandomCandidates <= 0 {
		o.RandomCandidates = DefaultRandomCandidates
	}
	p := &Placer{
		filters: filters,
		scores:  scores,
		options: o,
		random:  rand.New(o.Random),
	}
	for _, score := range scores {
		p.totalWeight += score.Weight()
	}
	return p
}

// Default returns a placer with the standard filters and scores.
func Default(o Options) *Placer {
	return New(DefaultFilters(), DefaultScores(), o)
}

// DefaultFilters returns the standard filters, the cheapest to evaluate first.
func DefaultFilters() []Filter {
	return []Filter{
		QuarantineFilter{},
		LeavingFilter{},
		UnreachableFilter{},
		CordonFilter{},
		RoomFilter{},
		DefaultFailureDomainFilter(),
		DefaultSpreadFilter(),
		FailedFilter{},
	}
}

// DefaultScores returns the standard scores.
func DefaultScores() []Score {
	return []Score{
		DefaultSlowdownScore(),
		DefaultSeparationScore(),
		PackingScore{W: 1},
		AcceleratorScore{W: 1},
		SpreadScore{W: 2},
		HistoryScore{W: 1},
	}
}

// Place returns the worker on which a task should run. It does not change the
// workers of the snapshot. The error is a *NeverFitsError if the task is larger
// than every worker, and an *UnplaceableError if no worker can take it now.
func (p *Placer) Place(s *Snapshot, r *Request) (Decision, error) {
	if never := NeverFits(r.Key, r.Size, s.shapes.capacities()); never != nil {
		return Decision{}, never
	}
	s.predictions.refresh()
	if known, ok := s.rejected.find(r.Size); ok {
		again := *known
		again.Key = r.Key
		return Decision{}, &again
	}
	p.sampleCandidates(s, r)
	if len(p.candidates) > 0 {
		return p.best(s, r, nil), nil
	}
	return p.searchAll(s, r)
}

// sampleCandidates collects candidates that pass every filter: first the
// tightest fits, then random workers. Only a few workers of each cell are
// tried, so that a crowded cell costs no more than a sparse one.
func (p *Placer) sampleCandidates(s *Snapshot, r *Request) {
	p.candidates = p.candidates[:0]
	looks := 4 * p.options.TightCandidates
	s.grid.visit(r.Size, func(slots []int32) bool {
		p.tryCell(s, r, slots, &looks)
		return len(p.candidates) < p.options.TightCandidates && looks > 0
	})
	if len(s.eligible) == 0 {
		return
	}
	for range p.options.RandomCandidates {
		slot := s.eligible[p.random.IntN(len(s.eligible))]
		p.addCandidate(s, r, s.workers[slot])
	}
}

// triesPerCell is the number of workers of one cell that are tried for a tight
// fit.
const triesPerCell = 2

func (p *Placer) tryCell(s *Snapshot, r *Request, slots []int32, looks *int) {
	start := p.random.IntN(len(slots))
	for i := range min(triesPerCell, len(slots), *looks) {
		*looks--
		p.addCandidate(s, r, s.workers[slots[(start+i)%len(slots)]])
	}
}

func (p *Placer) addCandidate(s *Snapshot, r *Request, w *Worker) {
	for _, c := range p.candidates {
		if c == w {
			return
		}
	}
	if p.rejectedBy(s, r, w, 0) == nil {
		p.candidates = append(p.candidates, w)
	}
}

// rejectedBy returns the first filter that rejects a worker, or nil. It skips
// as many soft filters as relaxed says, from the first on.
func (p *Placer) rejectedBy(s *Snapshot, r *Request, w *Worker, relaxed int) Filter {
	for _, f := range p.filters {
		if _, soft := f.(SoftFilter); soft && relaxed > 0 {
			relaxed--
			continue
		}
		if !f.Admit(s, r, w) {
			return f
		}
	}
	return nil
}

// searchAll examines every worker that may have room. While none passes, it
// drops one more soft filter and starts over.
func (p *Placer) searchAll(s *Snapshot, r *Request) (Decision, error) {
	var names []string
	for relaxed := 0; ; relaxed++ {
		p.scanAll(s, r, relaxed)
		if len(p.candidates) > 0 {
			return p.best(s, r, names), nil
		}
		name, ok := p.softFilterName(relaxed)
		if !ok {
			return Decision{}, p.unplaceable(s, r)
		}
		names = append(names, name)
	}
}

// softFilterName returns the name of the n-th soft filter.
func (p *Placer) softFilterName(n int) (string, bool) {
	for _, f := range p.filters {
		if _, soft := f.(SoftFilter); !soft {
			continue
		}
		if n == 0 {
			return f.Name(), true
		}
		n--
	}
	return "", false
}

func (p *Placer) scanAll(s *Snapshot, r *Request, relaxed int) {
	p.candidates = p.candidates[:0]
	enough := p.options.TightCandidates + p.options.RandomCandidates
	s.grid.visit(r.Size, func(slots []int32) bool {
		for _, slot := range slots {
			if p.rejectedBy(s, r, s.workers[slot], relaxed) == nil {
				p.candidates = append(p.candidates, s.workers[slot])
			}
			if len(p.candidates) == enough {
				return false
			}
		}
		return true
	})
}

func (p *Placer) best(s *Snapshot, r *Request, relaxed []string) Decision {
	d := Decision{Score: -1, Considered: len(p.candidates), Relaxed: relaxed}
	for _, w := range p.candidates {
		score := p.score(s, r, w)
		if score > d.Score || (score == d.Score && w.VM.ID < d.Worker) {
			d.Worker, d.Score = w.VM.ID, score
		}
	}
	return d
}

func (p *Placer) score(s *Snapshot, r *Request, w *Worker) float64 {
	if p.totalWeight == 0 {
		return 0
	}
	sum := 0.0
	for _, score := range p.scores {
		sum += score.Weight() * score.Score(s, r, w)
	}
	return sum / p.totalWeight
}

// unplaceable returns an error that counts the workers by the filter that
// rejected them. The size is remembered as rejected if every rejection was due
// to a lack of room or to the state of the worker, since the result is then
// the same for any task of that size.
func (p *Placer) unplaceable(s *Snapshot, r *Request) *UnplaceableError {
	err := &UnplaceableError{Key: r.Key, Reasons: make(map[string]int)}
	lacking := make(map[model.Dimension]int)
	general := true
	for _, w := range s.workers {
		f := p.rejectedBy(s, r, w, len(p.filters))
		if f == nil {
			continue
		}
		err.Reasons[f.Name()]++
		switch f.(type) {
		case RoomFilter:
			dimension, _ := r.Size.Exceeds(w.Free)
			lacking[dimension]++
		case QuarantineFilter, LeavingFilter, UnreachableFilter, CordonFilter:
		default:
			general = false
		}
	}
	err.Dimension = scarcestDimension(lacking)
	if general {
		s.rejected.add(r.Size, err)
	}
	return err
}

func scarcestDimension(counts map[model.Dimension]int) model.Dimension {
	var most model.Dimension
	for _, d := range []model.Dimension{model.DimensionCPU, model.DimensionMemory, model.DimensionAccelerators} {
		if counts[d] > counts[most] {
			most = d
		}
	}
	return most
}
