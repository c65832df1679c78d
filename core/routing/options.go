package routing

import "time"

// Options configures a Balancer. Zero fields take the defaults.
type Options struct {
	// Choices is how many targets with free slots are sampled from the best
	// tier. The best of the sample is chosen.
	Choices int
	// SlowRatio is the multiple of its peers' latency above which a target is
	// slow. A slow target is used only when waiting for a better one is
	// expected to take longer.
	SlowRatio float64
	// EjectRatio is the multiple of its peers' latency above which a target is
	// ejected.
	EjectRatio float64
	// MaxEjected is the fraction of targets that may be ejected or suspect at
	// once. Targets that qualify for ejection beyond it are the last resort:
	// they are used when no other target is free.
	MaxEjected float64
	// BaseProbeDelay is the time until the first probe of a slow or ejected
	// target. The delay doubles with each further failure to recover, up to
	// MaxProbeDelay.
	BaseProbeDelay, MaxProbeDelay time.Duration
	// ProvenWithin is how recent a target's last response must be for
	// non-idempotent requests to prefer the target.
	ProvenWithin time.Duration
	// InitialLatency is the latency assumed of targets before the first
	// response.
	InitialLatency time.Duration
	// MinSilence and MaxSilence bound SilenceAfter.
	MinSilence, MaxSilence time.Duration
}

// Default values of Options.
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
	// shortGain and longGain are the weights of one response in a target's two
	// latency averages.
	shortGain = 1.0 / 8
	longGain  = 1.0 / 64
	// failureGain is the weight of one outcome in failure rates.
	failureGain = 1.0 / 8
	// minSamples is how many responses a target must have given before its
	// average is used and compared with its peers.
	minSamples = 8
	// failuresToEject is how many consecutive exchanges must fail before a
	// target may be ejected for it.
	failuresToEject = 3
	// recoveryResponses is how many good responses in a row restore a target.
	recoveryResponses = 3
	// goodResponseRatio is the multiple of the peers' latency up to which a
	// response counts toward recovery.
	goodResponseRatio = 2.0
	// probeSpacing is the minimum number of picks between two probes of slow or
	// ejected targets, so that probes stay a small fraction of requests. A
	// probe that is late by more than maxProbeLateness is sent regardless.
	probeSpacing     = 400
	maxProbeLateness = time.Second
	// maxProbeDoublings limits the number of doublings of the probe delay.
	maxProbeDoublings = 6
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
