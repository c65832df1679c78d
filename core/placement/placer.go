package placement

import (
	"math/rand/v2"

	"github.com/guavarill/guavarill/core/model"
)

// Options sets a placer.
type Options struct {
	// Random is the source of the draws; the same source and calls give the
	// same decisions. Nil stands for a source with a fixed seed.
	Random rand.Source
	// TightCandidates is how many of the tightest workers that fit are candidates.
	TightCandidates int
	// RandomCandidates is how many workers are drawn at random besides.
	RandomCandidates int
}

// The defaults of Options.
const (
	DefaultTightCandidates  = 4
	DefaultRandomCandidates = 8
)

// Placer decides where tasks run. It is not safe for concurrent use.
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

// DefaultFilters returns the standard filters, cheapest first.
func DefaultFilters() []Filter {
	return []Filter{
		QuarantineFilter{},
		LeavingFilter{},
		UnreachableFilter{},
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

// Place returns the worker that a task should run on. It changes nothing in
// the snapshot. The error is a *NeverFitsError when no worker could ever hold
// the task, and an *UnplaceableError when none can now.
func (p *Placer) Place(s *Snapshot, r *Request) (Decision, error) {
	if never := NeverFits(r.Key, r.Size, s.shapes.capacities()); never != nil {
		return Decision{}, never
	}
	s.effects.refresh()
	if known, ok := s.refused.find(r.Size); ok {
		again := *known
		again.Key = r.Key
		return Decision{}, &again
	}
	p.draw(s, r)
	if len(p.candidates) > 0 {
		return p.best(s, r, nil), nil
	}
	return p.placeAnywhere(s, r)
}

// draw gathers candidates that pass every filter: the tightest fits first,
// then random ones. Looking into a cell stops after a few workers so that a
// crowded cell costs no more than a sparse one.
func (p *Placer) draw(s *Snapshot, r *Request) {
	p.candidates = p.candidates[:0]
	looks := 4 * p.options.TightCandidates
	s.grid.visit(r.Size, func(slots []int32) bool {
		p.lookInto(s, r, slots, &looks)
		return len(p.candidates) < p.options.TightCandidates && looks > 0
	})
	if len(s.eligible) == 0 {
		return
	}
	for range p.options.RandomCandidates {
		slot := s.eligible[p.random.IntN(len(s.eligible))]
		p.consider(s, r, s.workers[slot])
	}
}

// looksPerCell is how many workers of one cell are tried for a tight fit.
const looksPerCell = 2

func (p *Placer) lookInto(s *Snapshot, r *Request, slots []int32, looks *int) {
	start := p.random.IntN(len(slots))
	for i := range min(looksPerCell, len(slots), *looks) {
		*looks--
		p.consider(s, r, s.workers[slots[(start+i)%len(slots)]])
	}
}

func (p *Placer) consider(s *Snapshot, r *Request, w *Worker) {
	for _, c := range p.candidates {
		if c == w {
			return
		}
	}
	if p.rejects(s, r, w, 0) == nil {
		p.candidates = append(p.candidates, w)
	}
}

// rejects returns the first filter that rejects a worker, passing over the
// first relaxed soft filters.
func (p *Placer) rejects(s *Snapshot, r *Request, w *Worker, relaxed int) Filter {
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

// placeAnywhere examines every worker that may have room, giving up the soft
// filters one after the other.
func (p *Placer) placeAnywhere(s *Snapshot, r *Request) (Decision, error) {
	var names []string
	for relaxed := 0; ; relaxed++ {
		p.gather(s, r, relaxed)
		if len(p.candidates) > 0 {
			return p.best(s, r, names), nil
		}
		name, ok := p.softName(relaxed)
		if !ok {
			return Decision{}, p.unplaceable(s, r)
		}
		names = append(names, name)
	}
}

// softName returns the name of the n-th soft filter.
func (p *Placer) softName(n int) (string, bool) {
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

func (p *Placer) gather(s *Snapshot, r *Request, relaxed int) {
	p.candidates = p.candidates[:0]
	enough := p.options.TightCandidates + p.options.RandomCandidates
	s.grid.visit(r.Size, func(slots []int32) bool {
		for _, slot := range slots {
			if p.rejects(s, r, s.workers[slot], relaxed) == nil {
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

// unplaceable counts why each worker was rejected. When room and the workers'
// own state are the only reasons, the size is remembered as refused.
func (p *Placer) unplaceable(s *Snapshot, r *Request) *UnplaceableError {
	err := &UnplaceableError{Key: r.Key, Reasons: make(map[string]int)}
	lacking := make(map[model.Dimension]int)
	general := true
	for _, w := range s.workers {
		f := p.rejects(s, r, w, len(p.filters))
		if f == nil {
			continue
		}
		err.Reasons[f.Name()]++
		switch f.(type) {
		case RoomFilter:
			dimension, _ := r.Size.Exceeds(w.Free)
			lacking[dimension]++
		case QuarantineFilter, LeavingFilter, UnreachableFilter:
		default:
			general = false
		}
	}
	err.Dimension = mostLacking(lacking)
	if general {
		s.refused.add(r.Size, err)
	}
	return err
}

func mostLacking(counts map[model.Dimension]int) model.Dimension {
	var most model.Dimension
	for _, d := range []model.Dimension{model.DimensionCPU, model.DimensionMemory, model.DimensionAccelerators} {
		if counts[d] > counts[most] {
			most = d
		}
	}
	return most
}
