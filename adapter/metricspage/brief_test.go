package metricspage

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Guards against losing the gauge that shows the leader: on the page of a busy
// leader the histograms of requests came first, and a collector that keeps 4 kB
// lost the gauge. The brief page contains each series without buckets, and families
// with a single series first.
func TestBriefKeepsWhatTellsMost(t *testing.T) {
	r := prometheus.NewRegistry()
	times := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "a_seconds", Help: "Times.", Buckets: []float64{1, 2}}, []string{"kind"})
	leading := prometheus.NewGauge(prometheus.GaugeOpts{Name: "leading", Help: "Whether it leads."})
	r.MustRegister(times, leading)
	times.WithLabelValues("x").Observe(1.5)
	times.WithLabelValues("y").Observe(0.25)
	leading.Set(1)

	answer := httptest.NewRecorder()
	promhttp.HandlerFor(Brief(r), promhttp.HandlerOpts{}).ServeHTTP(answer, httptest.NewRequest("GET", "/", nil))
	want := strings.Join([]string{
		`# TYPE leading gauge`,
		`leading 1`,
		`# TYPE a_seconds summary`,
		`a_seconds_sum{kind="x"} 1.5`,
		`a_seconds_count{kind="x"} 1`,
		`a_seconds_sum{kind="y"} 0.25`,
		`a_seconds_count{kind="y"} 1`,
		``,
	}, "\n")
	if got := answer.Body.String(); got != want {
		t.Errorf("the page is\n%s\nwant\n%s", got, want)
	}
}
