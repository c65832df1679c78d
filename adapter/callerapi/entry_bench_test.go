package callerapi_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavarill/guavarill/adapter/callerapi"
	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

// The benchmarks send the same requests to a stand-in directly and through an
// entry; the difference is the cost of the entry. Everything runs in one process,
// so the processor time and allocations of the entry are also differences.
const (
	benchInstances = 4
	benchSlots     = 64
	benchBody      = 256
)

func benchTargets(b *testing.B) []*target.Target {
	instances := make([]*target.Target, benchInstances)
	for i := range instances {
		s, err := target.Start(target.Options{})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.Close)
		instances[i] = s
	}
	return instances
}

func benchEntry(b *testing.B, instances []*target.Target) string {
	client := httptarget.New(httptarget.Options{})
	engine := traffic.New(traffic.Options{Target: client})
	engine.Configure([]traffic.Service{{Name: "s"}})
	var list []routing.Target
	for _, s := range instances {
		list = append(list, routing.Target{Address: s.Address(), Slots: benchSlots, Connections: benchSlots})
	}
	engine.SetTargets("s", list)
	engine.SetServing(true, "")
	api := callerapi.New(callerapi.Options{Engine: engine})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go api.Serve(l) //nolint:errcheck // ends with Close
	b.Cleanup(func() {
		api.Close() //nolint:errcheck // the benchmark is over
		client.Close()
	})
	return "http://" + l.Addr().String() + "/v1/services/s/call/orders"
}

// load sends b.N requests from the given number of goroutines. It reports the
// latency, the processor time for each request and the rate.
func load(b *testing.B, callers int, urlOf func(i int) string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), benchBody)
	for i := range 200 * callers {
		send(b, client, urlOf(i), "warm", body)
	}
	histograms := make([]*hdr.Histogram, callers)
	var next atomic.Int64
	var wg sync.WaitGroup
	b.ReportAllocs()
	before := processorTime()
	b.ResetTimer()
	for c := range callers {
		histograms[c] = hdr.New(1, int64(time.Minute), 3)
		wg.Go(func() {
			for i := int(next.Add(1)); i <= b.N; i = int(next.Add(1)) {
				start := time.Now()
				send(b, client, urlOf(i), fmt.Sprint(i), body)
				histograms[c].RecordValue(int64(time.Since(start))) //nolint:errcheck // within the range
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	spent := processorTime() - before
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	h := histograms[0]
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func send(b *testing.B, client *http.Client, url, id string, body []byte) {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Guavarill-Request-Id", id)
	resp, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("got %d, %v", resp.StatusCode, err)
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkDirect(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			instances := benchTargets(b)
			load(b, callers, func(i int) string { return "http://" + instances[i%benchInstances].Address() + "/orders" })
		})
	}
}

func BenchmarkThroughEntry(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			url := benchEntry(b, benchTargets(b))
			load(b, callers, func(int) string { return url })
		})
	}
}
