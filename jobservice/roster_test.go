package jobservice

import (
	"encoding/json"
	"testing"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// Guards against a leader that is stopped as planned without storing what runs where.
// The next leader then held every older job back until all workers had responded to
// it or their leases had certainly ended. Here a leader hands leadership over to a
// daemon with more processors, and the next leader finds its last commit.
func TestResigningLeaderStoresItsRoster(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	d.awaitCompleted(intactJob)
	key, err := d.store.Get(t.Context(), leaderKey)
	if err != nil {
		t.Fatal(err)
	}
	d.store.write(port.Op{Key: membersPrefix + "large", Value: encodeRecord(Relay{Address: "large", Weight: 4})})
	d.eventually("leadership taken again", func() bool {
		now, err := d.store.Get(t.Context(), leaderKey)
		return err == nil && now.ModRevision > key.ModRevision
	})
	d.eventually("leadership released with the last commit stored", func() bool {
		return d.log.contains("complete=true") && d.log.contains(joblog.MessageLeadershipReleased)
	})
	d.eventually("the state read as the leader left it", func() bool { return d.log.contains("rosterStands=true") })
}

// Guards against a failed takeover that invalidates the stored roster. A daemon
// became leader, one read of the store failed before it had sent an order, and it
// became leader again. The first acquisition had already ended the validity of the
// previous leader's roster, and everything waited for all workers.
func TestWordOfALeaderOutlastsAFailedTakeOver(t *testing.T) {
	d := newDeployment(t)
	d.store.write(port.Op{Key: ledgerKey, Value: encodeRecord(ledgerRecord{Incarnation: "0", Number: 7, RosterValid: true})})
	d.store.write(port.Op{Key: rosterKey, Value: []byte(`[]`)})
	d.store.failing = map[string]int{rosterKey: 1}
	d.lead()
	d.eventually("the state read", func() bool { return d.log.contains("rosterStands=") })
	if !d.log.contains("rosterStands=true") {
		t.Error("the previous leader's roster is no longer valid, although no order was sent since")
	}
}

// A roster that was stored without statements on its workers is decoded so that
// anything may run on each worker. A roster with statements is the same after it has
// been encoded and decoded again.
func TestRosterWithAndWithoutStatements(t *testing.T) {
	read := func(data string) []jobsched.RosterEntry {
		roster, err := decodeRoster(port.KeyValue{Value: []byte(data), ModRevision: 1})
		if err != nil {
			t.Fatalf("%s: %v", data, err)
		}
		return roster
	}
	if plain := read(`[{"ID":"w","Address":"a:1"}]`)[0]; plain.Closed || plain.LeaseLeft != nil {
		t.Errorf("a plain entry is read as %+v", plain)
	}
	entry := read(`[{"ID":"w","Address":"a:1","Closed":true,"LeaseLeft":-5,"Attempts":[{"task":"00000000000000b1.0.1.2","n":3}]}]`)[0]
	if a := entry.Attempts; !entry.Closed || *entry.LeaseLeft != -5 || len(a) != 1 || a[0].Task.Index != 2 || a[0].Attempt != 3 {
		t.Errorf("an entry with statements is read as %+v", entry)
	}
	stored, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	if again := read("[" + string(stored) + "]")[0]; !again.Closed || len(again.Attempts) != 1 || again.ID != "w" {
		t.Errorf("stored and read again: %+v", again)
	}
	damaged := `[{"ID":"w","Address":"a:1","Closed":true,"Attempts":[{"task":"nonsense","n":3}]}]`
	if _, err := decodeRoster(port.KeyValue{Value: []byte(damaged), ModRevision: 1}); err == nil {
		t.Error("an attempt with an invalid task key was decoded")
	}
}
