package capacity_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/httpvms"
	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/model"
)

func capacityVM(i int) model.VM {
	return model.VM{
		ID: model.WorkerID(fmt.Sprintf("worker-mvd-a-%04d", i)), Role: model.RoleWorker, State: model.VMLive,
		Zone: "mvd-a", Rack: model.Rack(fmt.Sprintf("mvd-a-rack-%03d", i/8)),
		Capacity: model.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Accelerators: 1},
		Address:  fmt.Sprintf("10.20.%d.%d:7200", i/250, i%250),
	}
}

// BenchmarkCapacityVMList is one read of the platform's list: the bytes of a
// line, and the time and memory of a decoded one by its name.
func BenchmarkCapacityVMList(b *testing.B) {
	const vms = 3500
	list := make([]model.VM, vms)
	for i := range list {
		list[i] = capacityVM(i)
	}
	body, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	take := func(lines []model.VM) map[model.WorkerID]model.VM {
		byID := make(map[model.WorkerID]model.VM, len(lines))
		for _, vm := range lines {
			byID[vm.ID] = vm
		}
		return byID
	}
	read := func() map[model.WorkerID]model.VM {
		var lines []model.VM
		if err := json.Unmarshal(body, &lines); err != nil {
			b.Fatal(err)
		}
		return take(lines)
	}
	before := measure.Heap()
	held := read()
	perVM := float64(measure.Heap()-before) / vms
	runtime.KeepAlive(held)
	runs := 0
	begin := measure.Processor()
	for b.Loop() {
		read()
		runs++
	}
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(runs*vms), "cpu-ns/VM")
	begin = measure.Processor()
	for range runs {
		take(list)
	}
	b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(runs*vms), "take-cpu-ns/VM")
	b.ReportMetric(float64(len(body))/vms, "B/VM")
	b.ReportMetric(perVM, "heap-B/VM")
}

// BenchmarkCapacityVMListRead is what one read of a list of 3,500 VMs moves over
// the connection, in both directions, headers included: of a list that did not
// change, and of one that did. The processor time is that of both ends; the
// platform has its answer ready.
func BenchmarkCapacityVMListRead(b *testing.B) {
	const vms = 3500
	list := make([]model.VM, vms)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range list {
		list[i] = capacityVM(i)
		list[i].ID = model.WorkerID(fmt.Sprintf("i-%016x", random.Uint64())) // hardly compresses
	}
	platform := &fixedList{body: zipped(b, list)}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counting := &countingListener{Listener: lis}
	server := &http.Server{Handler: platform, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(counting)
	}()
	defer func() {
		_ = server.Close()
		<-done
	}()
	for name, fullEvery := range map[string]time.Duration{"unchanged": time.Hour, "whole": time.Nanosecond} {
		b.Run(name, func(b *testing.B) {
			client := httpvms.New(httpvms.Options{URL: "http://" + lis.Addr().String() + "/vms", FullEvery: fullEvery})
			read := func() {
				if got, err := client.List(context.Background()); err != nil || len(got) != vms {
					b.Fatal(len(got), err)
				}
			}
			heap := measure.Heap()
			read()
			kept := float64(measure.Heap()-heap) / vms
			told, before := platform.unchanged.Load(), counting.bytes.Load()
			reads := 0
			begin := measure.Processor()
			for b.Loop() {
				read()
				reads++
			}
			told = platform.unchanged.Load() - told
			if unchanged := told == int64(reads); unchanged != (name == "unchanged") {
				b.Fatalf("%d of %d reads were told that nothing changed", told, reads)
			}
			b.ReportMetric(float64((measure.Processor()-begin).Nanoseconds())/float64(reads), "cpu-ns/read")
			b.ReportMetric(float64(counting.bytes.Load()-before)/float64(reads), "B/read")
			b.ReportMetric(float64(counting.bytes.Load()-before)/float64(reads*vms), "B/VM-read")
			b.ReportMetric(kept, "kept-B/VM")
			runtime.KeepAlive(client)
		})
	}
}

// fixedList is a platform whose list never changes.
type fixedList struct {
	body      []byte
	unchanged atomic.Int64
}

const fixedTag = `W/"0123456789abcdef"`

func (l *fixedList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", fixedTag)
	if r.Header.Get("If-None-Match") == fixedTag {
		l.unchanged.Add(1)
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(l.body)
}

func zipped(b *testing.B, list []model.VM) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(list); err != nil {
		b.Fatal(err)
	}
	if err := z.Close(); err != nil {
		b.Fatal(err)
	}
	return out.Bytes()
}

// countingListener counts the bytes of its connections, both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
