package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/grpcpeer"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/dissemination"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

// Symptom: the store sends the whole configuration to every daemon, twice a
// minute.
// Events: nothing changes for ten minutes.
// Cause: asking whether there is a newer one by reading it.
func TestUnchangedConfigurationIsNotRead(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.ready()
	c.declare("d1", service("front", 2, 1000))
	c.pass(time.Minute)
	for _, n := range c.nodes {
		clear(n.store.lists)
	}
	c.pass(10 * time.Minute)
	for _, n := range c.nodes {
		whole, head := n.store.lists[n.control.o.manifestKey()], n.store.lists[n.control.o.manifestHeadKey()]
		if whole != 0 || head < 15 {
			t.Errorf("%s read the configuration %d times and its head %d times", n.id, whole, head)
		}
	}
}

// Symptom: an entry goes on with an old configuration for good, or goes back to
// one.
// Events: the configuration changes while the daemons' watches are silent and no
// peer is reached; then the head is lost, or holds something else.
// Cause: taking a head that says nothing for one that says there is nothing new.
func TestHeadLostOrWrong(t *testing.T) {
	older, err := config.MarshalHead(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range []struct {
		name  string
		op    port.Op
		found bool
	}{
		{"lost", port.Op{Delete: true}, true},
		{"empty", port.Op{}, true},
		{"unreadable", port.Op{Value: []byte("2")}, true},
		{"older", port.Op{Value: older}, false},
	} {
		t.Run(h.name, func(t *testing.T) {
			c := newCluster(t, 3, 4)
			c.ready()
			c.declare("d1", service("front", 2, 1000))
			c.pass(time.Minute)
			c.store.SilenceConnections()
			c.cutPeers()
			c.declare("d1", service("front", 2, 1000), service("back", 1, 1000))
			h.op.Key = c.node("d1").control.o.manifestHeadKey()
			if _, err := c.store.Local().Txn(context.Background(), nil, []port.Op{h.op}); err != nil {
				t.Fatal(err)
			}
			if h.found {
				c.until("all know the change", 40*time.Second, c.allHold(2))
			}
			c.pass(40 * time.Second)
			if held := c.node("d1").control.config.Revision(); held != 2 {
				t.Errorf("d1 went from 2 to %d", held)
			}
			c.declare("d1", service("front", 3, 1000), service("back", 1, 1000))
			c.until("all know the next change", 40*time.Second, c.allHold(3))
		})
	}
}

// allHold reports whether every daemon holds a revision.
func (c *cluster) allHold(revision model.Revision) func() bool {
	return func() bool {
		for _, n := range c.nodes {
			if n.control.config.Revision() != revision {
				return false
			}
		}
		return true
	}
}

// Symptom: a daemon that is far behind never catches up, and the daemons that
// try to help it take it for dead.
// Events: the configuration is as large as one may be and is sent whole.
// Cause: a message larger than its receiver takes fails like a lost one.
func TestLargestConfigurationFitsAMessage(t *testing.T) {
	const restOfMessage = 2 * dissemination.DefaultMaxBytes
	if manifest.MaxEncodedBytes+restOfMessage > grpcpeer.DefaultMaxMessageBytes {
		t.Errorf("%d bytes of configuration in a message of %d", manifest.MaxEncodedBytes, grpcpeer.DefaultMaxMessageBytes)
	}
}

// Symptom: a daemon that watches the configuration opens its watch anew every
// second, for good, and hears of changes from its peers only.
// Events: the store forgets the revisions up to the present one, as it does from
// time to time, and connections break.
// Cause: watching from the revision of the latest change, which may be long ago.
func TestWatchResumesAfterCompaction(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.ready()
	c.declare("d1", service("front", 2, 1000))
	c.pass(5 * time.Minute)
	_, revision, err := c.store.Local().List(context.Background(), "/")
	if err != nil {
		t.Fatal(err)
	}
	c.store.Compact(revision)
	c.store.BreakConnections()
	c.pass(10 * time.Second)
	began := c.clock.Now()
	c.pass(time.Minute)
	open := 0
	for _, n := range c.nodes {
		if n.control.configWatch.open {
			open++
		}
		for _, e := range n.ring.All() {
			if e.Kind == timeline.StoreWatchBroken && e.Time.After(began) {
				t.Errorf("%s: watch broken at %s", n.id, e.Time)
			}
		}
	}
	if open != configWatchers {
		t.Errorf("%d watches are open", open)
	}
}
