package server_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/server"
	"github.com/guavarill/guavarill/settings"
	"github.com/guavarill/guavarill/standin/site"
)

// fleet is a set of complete guavarill processes on the loopback interface that
// share one stand-in platform.
type fleet struct {
	site    *site.Site
	servers []*server.Server
	done    []chan error
}

func startFleet(b *testing.B, size int) *fleet {
	b.Helper()
	spec := site.Agency
	spec.Workers = 8
	s, err := site.Start(spec)
	if err != nil {
		b.Fatal(err)
	}
	f := &fleet{site: s}
	b.Cleanup(f.close)
	for i := range size {
		f.startServer(b, i)
	}
	f.waitFor(b, "all members alive", f.allMembersAlive)
	return f
}

func (f *fleet) startServer(b *testing.B, i int) {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	id := fmt.Sprintf("entry-%03d", i)
	zone := site.Agency.Zones[i%len(site.Agency.Zones)]
	srv, err := server.New(settings.Daemon{
		Cluster: "agency", ID: id, Zone: string(zone),
		ListenCallers: "127.0.0.1:0", ListenAdmin: "127.0.0.1:0", ListenPeers: "127.0.0.1:0",
		Store: f.site.StoreAddress(), VMList: f.site.VMListURL(), StoreTimeout: 2 * time.Second,
		StoreReads: 1500, StoreWrites: 300,
		LeaseTTL: 10 * time.Second, TaskLease: 30 * time.Second, OutageGrace: 20 * time.Second,
		BalancerNotice: time.Second, DrainTimeout: 10 * time.Second, RacksPerShard: 2, MaxBodyBytes: 1 << 20, TimelineEvents: 100,
	}, log)
	if err != nil {
		b.Fatal(err)
	}
	f.site.AddEntry(id, zone, srv.PeersAddress())
	done := make(chan error, 1)
	go func() { done <- srv.Run(context.Background()) }()
	f.servers = append(f.servers, srv)
	f.done = append(f.done, done)
}

func (f *fleet) close() {
	for i, srv := range f.servers {
		srv.Kill()
		<-f.done[i]
	}
	f.site.Close()
}

func (f *fleet) allMembersAlive() bool {
	for _, srv := range f.servers {
		st, err := srv.Daemon().Status(context.Background())
		if err != nil || st.Shards == 0 {
			return false
		}
		alive := 0
		for _, m := range st.Members {
			if m.State == "alive" {
				alive++
			}
		}
		if alive != len(f.servers) {
			return false
		}
	}
	return true
}

const fleetWait = 60 * time.Second

func (f *fleet) waitFor(b *testing.B, what string, reached func() bool) {
	b.Helper()
	deadline := time.Now().Add(fleetWait)
	for !reached() {
		if time.Now().After(deadline) {
			b.Fatalf("timed out waiting for %s after %s", what, fleetWait)
		}
		time.Sleep(time.Millisecond)
	}
}

func changingManifest(n int) *manifest.Manifest {
	m := &manifest.Manifest{
		Cluster: "agency",
		Teams:   []manifest.Team{{Name: "orders"}},
		Workloads: []manifest.Workload{{
			Name: "nightly", Team: "orders", Kind: model.KindBatch, Tasks: 1,
			Size: model.Resources{MilliCPU: 100, MemoryMB: 100 + int64(n)},
		}},
	}
	return m.Normalised()
}

// BenchmarkConfigInForce measures the time from the response that reports a
// change as accepted by the store until the change is in force on every daemon.
func BenchmarkConfigInForce(b *testing.B) {
	for _, size := range []int{3, 8, 50, 200} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			startFleet(b, size).measureChanges(b, func() {})
		})
	}
}

// BenchmarkConfigInForceFaults measures the same time under faults. In
// frozen-watches, the store's watches deliver no events. In killed-daemon, a daemon
// is killed just before each change, while its peers still push to it, until three
// daemons are left.
func BenchmarkConfigInForceFaults(b *testing.B) {
	const size = 8
	b.Run("frozen-watches", func(b *testing.B) {
		f := startFleet(b, size)
		f.site.Store.FreezeWatches()
		f.measureChanges(b, func() {})
	})
	b.Run("killed-daemon", func(b *testing.B) {
		f := startFleet(b, size)
		f.measureChanges(b, f.killLast)
	})
}

// killLast kills the last daemon if more than three are running.
func (f *fleet) killLast() {
	last := len(f.servers) - 1
	if last < 3 {
		return
	}
	f.servers[last].Kill()
	<-f.done[last]
	f.servers, f.done = f.servers[:last], f.done[:last]
}

func (f *fleet) measureChanges(b *testing.B, before func()) {
	var worst, sum time.Duration
	changes := 0
	for b.Loop() {
		changes++
		before()
		took := f.change(b, changes)
		sum += took
		worst = max(worst, took)
	}
	b.ReportMetric(float64(sum.Microseconds())/float64(changes)/1000, "mean-ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}

func (f *fleet) change(b *testing.B, n int) time.Duration {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), fleetWait)
	defer cancel()
	result, err := f.servers[n%len(f.servers)].Daemon().Apply(ctx, config.ApplyRequest{
		Manifest: changingManifest(n), Writer: fmt.Sprintf("bench-%d-%d", len(f.servers), n),
	})
	if err != nil {
		b.Fatal(err)
	}
	accepted, ok := result.(config.ApplyAccepted)
	if !ok {
		b.Fatalf("change %d was not accepted: %#v", n, result)
	}
	began := time.Now()
	f.waitFor(b, "change in force", func() bool { return f.allHaveRevision(accepted.Revision) })
	return time.Since(began)
}

func (f *fleet) allHaveRevision(revision model.Revision) bool {
	for _, srv := range f.servers {
		current, err := srv.Daemon().Config(context.Background())
		if err != nil || current == nil || current.Revision < revision {
			return false
		}
	}
	return true
}
