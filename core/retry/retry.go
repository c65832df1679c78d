package retry

import (
	"cmp"
	"time"

	"github.com/guavarill/guavarill/core/fate"
)

// Default values of Options.
const (
	DefaultRatio       = 0.1
	DefaultBurst       = 10
	DefaultMaxAttempts = 3
)

// Options limits the retries of one service. Zero fields take the defaults.
type Options struct {
	// Ratio is how many retries each first attempt adds to the budget.
	Ratio float64
	// Burst is the capacity of the budget in retries. A new budget is full.
	Burst float64
	// MaxAttempts limits the exchanges of one request, including the first.
	MaxAttempts int
}

func (o Options) withDefaults() Options {
	o.Ratio = cmp.Or(o.Ratio, DefaultRatio)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	return o
}

// Budget is the retry budget of one service. It is not safe for concurrent use.
type Budget struct {
	o      Options
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(o Options) *Budget {
	o = o.withDefaults()
	return &Budget{o: o, tokens: o.Burst}
}

// Deposit records a first attempt and adds Ratio retries to the budget, up to
// Burst.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.o.Ratio, b.o.Burst)
}

// Tokens returns how many retries the budget allows at present.
func (b *Budget) Tokens() float64 { return b.tokens }

// Failure describes a failed exchange.
type Failure struct {
	// Fate is the fate of the failed exchange alone, without earlier exchanges
	// of the request.
	Fate       fate.Fate
	Idempotent bool
	// Attempts is how many exchanges the request has had.
	Attempts int
	Deadline time.Time
	// Expected is how long a response usually takes.
	Expected time.Duration
}

// Verdict says whether to send the request again, and if not, which rule
// forbids it.
type Verdict uint8

// The verdicts of Decide and Check.
const (
	// Send: the request is sent again, to another target. Decide has taken one
	// retry from the budget.
	Send Verdict = iota
	// Unsafe: the request may have run and is not idempotent.
	Unsafe
	// TooManyAttempts: the request has had MaxAttempts exchanges.
	TooManyAttempts
	// TooLate: no response can be expected before the deadline.
	TooLate
	// OverBudget: the service's retry budget is exhausted.
	OverBudget

	// NumVerdicts is the number of verdicts.
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

// Decide applies the rules to a failure and takes a retry from the budget when
// they allow one.
func (b *Budget) Decide(now time.Time, f Failure) Verdict {
	v := b.Check(now, f)
	if v == Send {
		b.tokens--
	}
	return v
}

// Check returns the verdict that Decide would return, without taking a retry
// from the budget.
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
