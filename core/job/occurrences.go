package job

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxListedDone is up to how many done occurrences a record lists one by one. The
	// previous version reads only those, so that it goes on with such a job.
	maxListedDone = 500
	// unlistedDone is an entry that no occurrence has. It is in a record that does not
	// list the occurrences that are done, and makes the previous version set the job
	// aside, as one that does not match its declaration, instead of running them again.
	unlistedDone = math.MaxInt
)

// SetBegun records that the occurrences below begun have begun. Occurrences must hold
// those of them that are not done, and nothing else.
func (p *Progress) SetBegun(begun int) {
	done := begun - len(p.Occurrences)
	if done == 0 {
		return
	}
	p.Begun = begun
	if done > maxListedDone {
		p.Occurrences[unlistedDone] = OccurrenceProgress{Done: true}
		return
	}
	for number := range begun {
		if _, open := p.Occurrences[number]; !open {
			p.Occurrences[number] = OccurrenceProgress{Done: true}
		}
	}
}

// Open returns how many occurrences have begun, and the numbers of those that are not
// done, in ascending order.
func (p *Progress) Open() (begun int, open []int) {
	begun = p.Begun
	if begun == 0 {
		// The previous version lists each occurrence that has begun.
		for ; ; begun++ {
			if _, ok := p.Occurrences[begun]; !ok {
				break
			}
		}
	}
	for _, number := range slices.Sorted(maps.Keys(p.Occurrences)) {
		if number < begun && !p.Occurrences[number].Done {
			open = append(open, number)
		}
	}
	return begun, open
}

// checkOccurrences returns an *InvalidError if the numbers of the occurrences are not
// possible.
func (p *Progress) checkOccurrences() error {
	if p.Begun < 0 {
		return &InvalidError{Field: "begun", Reason: "must not be negative"}
	}
	for number := range p.Occurrences {
		switch {
		case number < 0:
			return &InvalidError{Field: "occurrences", Reason: "must be numbered from 0"}
		case p.Begun > 0 && number >= p.Begun && number != unlistedDone:
			return &InvalidError{Field: "occurrences", Reason: "must be below the number that has begun"}
		}
	}
	return nil
}

// isPlaceholder reports whether an entry is not an occurrence but says that those that
// are done are not listed.
func (p *Progress) isPlaceholder(number int) bool { return p.Begun > 0 && number == unlistedDone }
