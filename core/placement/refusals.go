package placement

import "github.com/guavarill/guavarill/core/model"

// maxRefusals bounds how many sizes are remembered.
const maxRefusals = 16

// refusals remembers sizes that no eligible worker had room for. Nothing
// larger fits either until a worker gains room. Without it each waiting task
// behind a full cluster would have every worker examined on every cycle.
type refusals struct {
	list []refusal
}

type refusal struct {
	size model.Resources
	err  *UnplaceableError
}

func (r *refusals) reset() { r.list = r.list[:0] }

func (r *refusals) find(size model.Resources) (*UnplaceableError, bool) {
	for i := range r.list {
		if r.list[i].size.Fits(size) {
			return r.list[i].err, true
		}
	}
	return nil, false
}

func (r *refusals) add(size model.Resources, err *UnplaceableError) {
	if len(r.list) < maxRefusals {
		r.list = append(r.list, refusal{size, err})
	}
}
