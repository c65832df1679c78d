package placement

import "github.com/guavarill/guavarill/core/model"

// maxRejectedSizes limits the number of remembered sizes.
const maxRejectedSizes = 16

// rejectedSizes holds sizes that no eligible worker had room for. Nothing
// larger fits either until a worker gains room. Otherwise every cycle would
// examine every worker of a full cluster for each pending task.
type rejectedSizes struct {
	list []rejectedSize
}

type rejectedSize struct {
	size model.Resources
	err  *UnplaceableError
}

func (r *rejectedSizes) reset() { r.list = r.list[:0] }

func (r *rejectedSizes) find(size model.Resources) (*UnplaceableError, bool) {
	for i := range r.list {
		if r.list[i].size.Fits(size) {
			return r.list[i].err, true
		}
	}
	return nil, false
}

func (r *rejectedSizes) add(size model.Resources, err *UnplaceableError) {
	if len(r.list) < maxRejectedSizes {
		r.list = append(r.list, rejectedSize{size, err})
	}
}
