// Package metricspage prepares metrics for collectors that keep only a few
// kilobytes of a page.
package metricspage

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// Brief gathers the same metrics without help texts and histogram buckets, those
// with few series first.
//
// Families come by name otherwise, and histograms of callers' requests are a
// large part of the page: a collector that cuts it after 4 kB has them, and
// neither which daemon leads nor how long its steps take.
func Brief(g prometheus.Gatherer) prometheus.Gatherer {
	return prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := g.Gather()
		brief := make([]*dto.MetricFamily, len(families))
		for i, f := range families {
			brief[i] = shorten(f)
		}
		slices.SortStableFunc(brief, func(a, b *dto.MetricFamily) int { return len(a.Metric) - len(b.Metric) })
		return brief, err
	})
}

// shorten returns the family without its help text, and a histogram as a summary
// that has count and sum alone.
func shorten(f *dto.MetricFamily) *dto.MetricFamily {
	if f.GetType() != dto.MetricType_HISTOGRAM {
		return &dto.MetricFamily{Name: f.Name, Type: f.Type, Metric: f.Metric}
	}
	short := &dto.MetricFamily{Name: f.Name, Type: dto.MetricType_SUMMARY.Enum()}
	for _, m := range f.Metric {
		h := m.GetHistogram()
		short.Metric = append(short.Metric, &dto.Metric{
			Label: m.Label, Summary: &dto.Summary{SampleCount: h.SampleCount, SampleSum: h.SampleSum},
		})
	}
	return short
}
