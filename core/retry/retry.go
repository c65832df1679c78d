package retry

import (
	"cmp"
	"time"

	"github.com/guavarill/guavarill/core/fate"
)

// Defaults of Options.
const (
	DefaultRatio       = 0.1
	DefaultBurst       = 10
	DefaultMaxAttempts = 3
)

// Options bounds the retries of one service. Zero fields take the defaults.
type Options struct {
	// Ratio is how many retries each first attempt earns.
	Ratio float64
	// Burst is the most retries that can be saved up, and what a new budget
	// starts with.
	Burst float64
	// MaxAttempts bounds the exchanges of one request, the first included.
	MaxAttempts int
}

func (o Options) withDefaults() Options {
	o.Ratio = cmp.Or(o.Ratio, DefaultRatio)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	return o
}

// Budget is the retry allowance of one service. It is not safe for concurrent
// use.
type Budget struct {
	o      Options
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(o Options) *Budget {
	o = o.withDefaults()
	return &Budget{o: o, tokens: o.Burst}
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.o.Ratio, b.o.Burst)
}

// Tokens returns how many retries are saved up.
func (b *Budget) Tokens() float64 { return b.tokens }

// Failure is a failed exchange as Decide looks at it.
type Failure struct {
	// Fate is that of the failed exchange alone.
	Fate       fate.Fate
	Idempotent bool
	// Attempts is how many exchanges the request has had.
	Attempts int
	Deadline time.Time
	// Expected is how long an answer usually takes.
	Expected time.Duration
}

// Verdict says whether to send again, and when not, which rule forbade it.
type Verdict uint8

// The verdicts.
const (
	// Send: send it to another target; one retry was taken from the budget.
	Send Verdict = iota
	// Unsafe: it may have been run and is not idempotent.
	Unsafe
	// TooManyAttempts: the request had all its exchanges.
	TooManyAttempts
	// TooLate: the deadline comes before an answer could.
	TooLate
	// OverBudget: the service spent its retries.
	OverBudget

	// NumVerdicts is how many verdicts there are.
	NumVerdicts = int(OverBudget) + 1
)

var verdictNames = [NumVerdicts]string{"send", "unsafe", "too-many-attempts", "too-late", "over-budget"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= NumVerdicts {
		return "invalid"
	}
	return verdictNames[v]
}

// Decide applies the rules to a failure and, when they allow a retry, takes it
// from the budget.
func (b *Budget) Decide(now time.Time, f Failure) Verdict {
	v := b.Check(now, f)
	if v == Send {
		b.tokens--
	}
	return v
}

// Check returns what Decide would, and takes nothing from the budget.
func (b *Budget) Check(now time.Time, f Failure) Verdict {
	switch {
	case f.Fate != fate.NotRun && !f.Idempotent:
		return Unsafe
	case f.Attempts >= b.o.MaxAttempts:
		return TooManyAttempts
	case now.Add(f.Expected).After(f.Deadline):
		return TooLate
	case b.tokens < 1:
		return OverBudget
	}
	return Send
}
