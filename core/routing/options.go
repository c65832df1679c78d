package routing

import "time"

// Options tunes a Balancer. Zero fields take the defaults.
type Options struct {
	// Choices is how many targets of the best kind with free slots are drawn
	// at random, of which the best is taken.
	Choices int
	// SlowRatio is how many times its peers' latency makes a target slow: it
	// is then used only when waiting for another is expected to take longer.
	SlowRatio float64
	// EjectRatio is how many times its peers' latency makes a target rest.
	EjectRatio float64
	// MaxEjected is the fraction of targets that may rest at once. Those that
	// should rest beyond it are the last resort: used when no other is free.
	MaxEjected float64
	// BaseProbeDelay is how long a target rests the first time; each further time
	// without a recovery doubles it up to MaxProbeDelay.
	BaseProbeDelay, MaxProbeDelay time.Duration
	// ProvenWithin is how recent a target's last answer must be for a
	// non-idempotent request to trust its connections.
	ProvenWithin time.Duration
	// InitialLatency is assumed of targets before any answer came.
	InitialLatency time.Duration
	// MinSilence and MaxSilence bound SilenceAfter.
	MinSilence, MaxSilence time.Duration
}

// The defaults of Options.
const (
	DefaultChoices        = 4
	DefaultSlowRatio      = 1.8
	DefaultEjectRatio     = 5.0
	DefaultMaxEjected     = 0.5
	DefaultBaseProbeDelay = 200 * time.Millisecond
	DefaultMaxProbeDelay  = 10 * time.Second
	DefaultProvenWithin   = 3 * time.Second
	DefaultInitialLatency = 10 * time.Millisecond
	DefaultMinSilence     = 50 * time.Millisecond
	DefaultMaxSilence     = 5 * time.Second
)

const (
	// fastGain and slowGain are the weights of one answer in a target's two
	// latency averages.
	fastGain = 1.0 / 8
	slowGain = 1.0 / 64
	// failureGain is the weight of one outcome in failure rates.
	failureGain = 1.0 / 8
	// minSamples is how many answers a target must have given before it is
	// compared with its peers.
	minSamples = 8
	// failuresToRest is how many exchanges in a row must fail before a target
	// may rest for it.
	failuresToRest = 3
	// recoveryAnswers is how many good answers in a row end a rest.
	recoveryAnswers = 3
	// goodAnswerRatio is how many times the peers' latency an answer may take
	// and still count toward recovery.
	goodAnswerRatio = 2.0
	// probeSpacing is how many picks lie between two probes of doubtful
	// targets, so that probes stay a small part of requests; but no target
	// waits for its probe longer than probeLateness.
	probeSpacing  = 400
	probeLateness = time.Second
	// maxRestDoublings bounds the exponent of rests.
	maxRestDoublings = 6
)

func (o Options) withDefaults() Options {
	setInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setFloat := func(v *float64, d float64) {
		if *v <= 0 {
			*v = d
		}
	}
	setDuration := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	setInt(&o.Choices, DefaultChoices)
	setFloat(&o.SlowRatio, DefaultSlowRatio)
	setFloat(&o.EjectRatio, DefaultEjectRatio)
	setFloat(&o.MaxEjected, DefaultMaxEjected)
	setDuration(&o.BaseProbeDelay, DefaultBaseProbeDelay)
	setDuration(&o.MaxProbeDelay, DefaultMaxProbeDelay)
	setDuration(&o.ProvenWithin, DefaultProvenWithin)
	setDuration(&o.InitialLatency, DefaultInitialLatency)
	setDuration(&o.MinSilence, DefaultMinSilence)
	setDuration(&o.MaxSilence, DefaultMaxSilence)
	return o
}
