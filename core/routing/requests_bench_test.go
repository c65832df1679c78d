package routing_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/admission"
	"github.com/guavarill/guavarill/core/routing"
)

type fault struct {
	name   string
	inject func(s *site)
}

var faults = []fault{
	{"none", func(*site) {}},
	{"slow3", func(s *site) {
		for _, i := range s.instances[10:13] {
			i.slow = slowDuring(10, runStart, runEnd)
		}
	}},
	{"noisy", func(s *site) {
		for n, i := range s.instances {
			if n/siteZones%3 == 0 {
				i.slow = slowDuring(3, runStart, runEnd-2*time.Second)
			}
		}
	}},
	{"noisyzone", func(s *site) {
		for _, i := range s.instances {
			if i.zone == 0 {
				i.slow = slowDuring(3, runStart, runEnd-2*time.Second)
			}
		}
	}},
	{"zone", func(s *site) {
		s.after(runStart, func() { s.failZone(siteZones - 1) })
	}},
	{"silent", func(s *site) {
		for n := range 3 {
			s.after(runStart+time.Duration(2*n)*time.Second, s.silenceHalf)
		}
	}},
}

// lasting are conditions that hold throughout the run; they are measured after
// the shares have adapted.
var lasting = []fault{
	{"even", func(*site) {}},
	{"skewed", func(s *site) { s.skew = 3 }},
	{"slowzone", func(s *site) {
		for _, i := range s.instances {
			if i.zone == 0 {
				i.slow = slowDuring(3, 0, time.Hour)
			}
		}
	}},
}

type namedPolicy struct {
	name string
	make func(*site, *entry) policy
}

var baselines = []namedPolicy{
	{"roundrobin", baseline(roundRobin)},
	{"randomof2", baseline(randomOfTwo)},
	{"leastinflight", baseline(leastInFlight)},
}

var current = namedPolicy{"guavarill", production(variant{})}

// variants are alternative configurations that are compared with the one in
// use.
var variants = []namedPolicy{
	current,
	{"equal", production(variant{equalShares: true})},
	{"blind", production(variant{ignoreZones: true})},
	{"eager", production(variant{neverWait: true})},
	{"choices2", production(variant{routing: routing.Options{Choices: 2}})},
	{"choices64", production(variant{routing: routing.Options{Choices: 64}})},
	{"noslow", production(variant{routing: routing.Options{SlowRatio: 1000, EjectRatio: 1000}})},
	{"target2", production(variant{admission: admission.Options{TargetWait: 2}})},
	{"notarget", production(variant{admission: admission.Options{TargetWait: 1000}})},
	{"reserve2", production(variant{admission: admission.Options{UrgentReserve: 0.02}})},
	{"reserve8", production(variant{admission: admission.Options{UrgentReserve: 0.08}})},
}

// BenchmarkRequests reports, for each fault, load and policy, the latency
// quantiles of the requests that were sent (a request without a response counts
// with the time after which it was abandoned), the fractions of the offered
// requests that were answered and shed, and the same for urgent requests.
func BenchmarkRequests(b *testing.B) {
	policies := append(slices.Clone(baselines), current)
	measure(b, faults, []float64{0.5, 0.8, 0.95, 1, 1.2}, policies, runStart, runEnd)
}

// BenchmarkVariants compares the policy in use with its variants.
func BenchmarkVariants(b *testing.B) {
	measure(b, faults, []float64{0.5, 0.8, 0.95, 1.2}, variants, runStart, runEnd)
}

// BenchmarkLasting measures the benefit of moving shares toward demand when the
// load balancer in front prefers one entry, and when an availability zone is
// permanently slow.
func BenchmarkLasting(b *testing.B) {
	policies := []namedPolicy{baselines[2], variants[1], current}
	measure(b, lasting, []float64{0.5, 0.8, 0.95}, policies, 8*time.Second, 16*time.Second)
}

func measure(b *testing.B, faults []fault, loads []float64, policies []namedPolicy, start, end time.Duration) {
	for _, f := range faults {
		for _, load := range loads {
			for _, p := range policies {
				b.Run(fmt.Sprintf("%s/%.0f/%s", f.name, load*100, p.name), func(b *testing.B) {
					for b.Loop() {
						s := newSite(7, p.make)
						s.start, s.end = start, end
						f.inject(s)
						s.run(load)
						s.report(b)
					}
				})
			}
		}
	}
}

func (s *site) report(b *testing.B) {
	slices.Sort(s.latencies)
	slices.Sort(s.urgent)
	b.ReportMetric(quantile(s.latencies, 0.5), "p50ms")
	b.ReportMetric(quantile(s.latencies, 0.99), "p99ms")
	b.ReportMetric(quantile(s.latencies, 0.999), "p99.9ms")
	b.ReportMetric(100*float64(s.answered)/float64(s.offered), "answered%")
	b.ReportMetric(100*float64(s.shed)/float64(s.offered), "shed%")
	b.ReportMetric(quantile(s.urgent, 0.99), "urgent-p99ms")
	b.ReportMetric(100*float64(s.urgentDone)/float64(s.urgentOffered), "urgent-answered%")
	b.ReportMetric(float64(s.queued), "queued-at-instance")
	b.ReportMetric(0, "ns/op")
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
