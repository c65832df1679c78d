// Package metricspage shortens metrics for collectors that keep only the first few
// kilobytes of a page.
package metricspage

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// Brief returns a Gatherer of the same metrics without help texts and histogram
// buckets. Families with few series come first.
//
// A full page is sorted by name, and the histograms of callers' requests are a
// large part of it: a collector that truncates the page after 4 kB keeps them, but
// loses which daemon leads and how long its steps take.
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

// shorten returns the family without its help text. It converts a histogram into a
// summary with only the count and the sum.
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
