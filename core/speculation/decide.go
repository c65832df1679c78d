package speculation

import "time"

const (
	// gainFraction is the least time that a copy must be expected to gain, as a fraction
	// of the time that it takes: it costs a whole run, and what is expected of it is
	// uncertain by about as much.
	gainFraction = 0.25
	// MinGain is the least time that a copy must be expected to gain. Ends and progress
	// are known to about a tenth of a second, and objectives grant a quarter of a second
	// or more beyond the run times.
	MinGain = 200 * time.Millisecond
	// startDelay is what a copy takes besides its run: its order and the answer.
	startDelay = 50 * time.Millisecond
	// observedFraction is the fraction of a usual run for which an attempt must have been
	// seen to work before its pace tells anything.
	observedFraction = 0.25
	// fullPercent is the percent of a whole run.
	fullPercent = 100
)

// Progress is what is known of a running attempt.
type Progress struct {
	// Percent is the percent of its run that it last reported, SinceReport how long ago.
	Percent     int
	SinceReport time.Duration
	// Passed is how many percents were seen to pass, up to the last report, and Took the
	// working time in which they did. Took is 0 before the first report.
	Passed int
	Took   time.Duration
	// Worked is for how long the attempt has been running.
	Worked time.Duration
	// Slowness is how many times as long as elsewhere tasks take on its worker.
	Slowness float64
	// LostIn is, for an attempt whose worker does not answer, in how long it will be
	// declared lost; 0 for one whose worker answers.
	LostIn time.Duration
}

// Remaining returns in how long the attempt is expected to end, given how long a usual
// run takes. Of what its pace allows, it is the least: a percent that has nearly passed
// is taken for a whole one. It is 0 if too little is known.
func (p Progress) Remaining(usual time.Duration) time.Duration {
	switch {
	case p.LostIn > 0:
		return p.LostIn + usual
	case p.Took == 0:
		return max(scale(usual, p.Slowness)-p.Worked, 0)
	case p.Took < scale(usual, observedFraction):
		return 0
	}
	left := time.Duration(fullPercent-p.Percent) * p.Took / time.Duration(p.Passed+1)
	return max(left-p.SinceReport, 0)
}

// Candidate is a running attempt whose task might get a copy.
type Candidate struct {
	Progress
	// Usual is how long a run takes on a usual worker; 0 if unknown.
	Usual time.Duration
	// CopySlowness is how many times as long as that it takes on the worker that the copy
	// would get.
	CopySlowness float64
	// Objective is in how long the task must be done for its job to meet its objective,
	// and Useful the same for its result to be of use at all. They may be negative.
	Objective, Useful time.Duration
}

// CopyTime returns in how long a copy that is started now is expected to end.
func (c Candidate) CopyTime() time.Duration { return startDelay + scale(c.Usual, c.CopySlowness) }

// Gain returns how much earlier a copy is expected to end than the attempt, and whether
// that is worth its run: MinGain at least, and gainFraction of the time that it takes.
func (c Candidate) Gain() (time.Duration, bool) {
	if c.Usual <= 0 {
		return 0, false
	}
	takes := c.CopyTime()
	gain := c.Remaining(c.Usual) - takes
	return gain, gain >= max(MinGain, scale(takes, gainFraction))
}

// Matters reports whether with the copy the job is expected to meet its objective, or to
// be of use, and without it not.
func (c Candidate) Matters() bool {
	remaining, takes := c.Remaining(c.Usual), c.CopyTime()
	decides := func(bound time.Duration) bool { return takes <= bound && remaining+MinGain > bound }
	return decides(c.Objective) || decides(c.Useful)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
