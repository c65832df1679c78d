package ownership

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// TestPausedOwner guards against two owners acting for one shard. The owner is
// paused past its lease, and the first event after the pause is the response to
// a renewal sent before it. The fault would be to count the lease from the
// response, or to handle the event before checking the clock.
func TestPausedOwner(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	s.tick(5 * time.Second)
	sent := s.now
	s.note("paused")
	s.after(20 * time.Second)
	commands := s.keptAlive(sent, nil)
	if lost, ok := find[ShardLost](commands); !ok || lost.Reason != LostLeaseLapsed {
		t.Errorf("after the pause: %v", commands)
	}
	s.note("a new lease")
	s.lease()
	s.tick(time.Second)
	s.golden("paused_owner")
}

// TestGracefulHandover guards against a planned change of owner that takes as
// long as after the death of the owner. Another daemon becomes and stays the
// assigned owner; this one stops acting and then releases the shard; the other
// one acquires it. The fault would be not to distinguish a release from a
// lapsed lease.
func TestGracefulHandover(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	s.note("d2 becomes the right owner")
	s.step(Members{Candidates: []model.DaemonID{"d2"}})
	s.tick(4 * time.Second)
	s.keptAlive(s.now, nil)
	s.tick(6 * time.Second)
	s.keptAlive(s.now, nil)
	s.step(ReleaseAnswered{Shard: 0, Err: errTimeout})
	if _, ok := find[Release](s.tick(time.Second)); !ok {
		t.Error("an unanswered release is not sent again")
	}
	s.step(ReleaseAnswered{Shard: 0})
	s.note("on d2")
	s2 := newSession(t, "d2", "d2")
	s2.step(Shards{Count: 1})
	s2.lease()
	s2.step(OwnerRead{Shard: 0, KVs: []port.KeyValue{
		{Key: ledger.ReleasedKey(testPrefix, 0), CreateRevision: 200, ModRevision: 200},
	}})
	commands := s2.step(AcquireAnswered{Shard: 0, Result: port.TxnResult{Succeeded: true, Revision: 201}})
	if acquired, ok := find[ShardAcquired](commands); !ok || !acquired.Clean {
		t.Errorf("d2: %v", commands)
	}
	s.text.WriteString(s2.text.String())
	s.golden("graceful_handover")
}

// TestStoreOutage guards against a store outage that stops all tasks or lets
// tasks run in two places. The store stops answering, the members confirm its
// silence, and it returns with the lease still valid. The faults would be to
// give up shards because the store is down, and to continue without
// confirmation.
func TestStoreOutage(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	s.outage(30*time.Second, true)
	if s.machine.MayCommit(s.now) || !s.machine.MayRenew(s.now, 0) {
		t.Error("in the outage the owner must renew and not commit")
	}
	s.note("the silence is not confirmed any more")
	s.step(StoreSilence{})
	if s.machine.MayRenew(s.now, 0) {
		t.Error("renews although the store's silence is not confirmed")
	}
	s.note("the store is back")
	s.untilRenewal()
	s.keptAlive(s.now, nil)
	if !s.machine.MayCommit(s.now) || len(s.machine.Owned()) != 1 {
		t.Error("the owner did not continue under its lease")
	}
	s.golden("store_outage")
}

// outage advances the time by d while all lease renewals fail.
func (s *session) outage(d time.Duration, confirmed bool) {
	for end := s.now.Add(d); s.now.Before(end); {
		if confirmed {
			s.step(StoreSilence{ConfirmedAt: s.now})
		}
		if _, ok := find[KeepAlive](s.tick(5 * time.Second)); ok {
			s.keptAlive(s.now, errTimeout)
		}
	}
}

// untilRenewal advances the time until the machine requests a lease renewal.
func (s *session) untilRenewal() {
	for range 100 {
		if _, ok := find[KeepAlive](s.tick(100 * time.Millisecond)); ok {
			return
		}
	}
	s.t.Fatalf("no renewal:\n%s", &s.text)
}

func TestStoreOutageEnds(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(*session)
		want LostReason
	}{
		"not confirmed": {func(s *session) { s.outage(35*time.Second, false) }, LostLeaseLapsed},
		"not confirmed any more": {func(s *session) {
			s.outage(90*time.Second, true)
			s.outage(testGrace+10*time.Second, false)
		}, LostLeaseLapsed},
		"lease gone": {func(s *session) {
			s.outage(30*time.Second, true)
			s.untilRenewal()
			s.keptAlive(s.now, errGone)
		}, LostLeaseGone},
	} {
		s := newSession(t, "d1", "d1")
		s.own()
		acquired := s.now
		c.run(s)
		if len(s.machine.Owned()) != 0 || s.machine.MayRenew(s.now, 0) {
			t.Errorf("%s: still owned %s after acquiring:\n%s", name, s.now.Sub(acquired), &s.text)
		}
		if !strings.Contains(s.text.String(), "Reason:"+string(c.want)) {
			t.Errorf("%s: not lost because %q:\n%s", name, c.want, &s.text)
		}
	}
}

// TestOutageOfAnHour guards against the end of all tasks of the fleet in a long
// store outage. The store is down for an hour, and a majority confirms it all
// the time. The fault would be a limit on the length of an outage.
func TestOutageOfAnHour(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	for end := s.now.Add(time.Hour); s.now.Before(end); {
		s.step(StoreSilence{ConfirmedAt: s.now.Add(-testGrace / 2)})
		if _, ok := find[KeepAlive](s.tick(time.Second)); ok {
			s.keptAlive(s.now, errTimeout)
		}
		if !s.machine.MayRenew(s.now, 0) {
			t.Fatalf("does not renew %s before the end", end.Sub(s.now))
		}
		if s.now.Sub(s.start) > 15*time.Second && s.machine.MayCommit(s.now) {
			t.Fatalf("commits without a lease %s before the end", end.Sub(s.now))
		}
	}
	s.untilRenewal()
	s.keptAlive(s.now, nil)
	if !s.machine.MayCommit(s.now) || len(s.machine.Owned()) != 1 {
		t.Error("the owner did not continue under its lease")
	}
}

// TestOutageRenewalNeedsFreshConfirmations guards against an owner that renews
// leases when a new owner may assume that it does not: because the age of a
// confirmation is counted from its report, or renewals resume after an interruption
// such as a paused process.
func TestOutageRenewalNeedsFreshConfirmations(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	s.outage(30*time.Second, true)
	confirmed := s.now
	renewed := time.Time{}
	for s.now.Before(confirmed.Add(2 * testGrace)) {
		s.step(StoreSilence{ConfirmedAt: confirmed})
		if s.machine.MayRenew(s.now, 0) {
			renewed = s.now
		}
		if _, ok := find[KeepAlive](s.tick(time.Second)); ok {
			s.keptAlive(s.now, errTimeout)
		}
	}
	if got := renewed.Sub(confirmed); got != testGrace-time.Second {
		t.Errorf("renews until %s after the confirmation", got)
	}
	paused := newSession(t, "d1", "d1")
	paused.own()
	paused.outage(30*time.Second, true)
	at := paused.now
	if paused.machine.MayRenew(at.Add(testGrace), 0) {
		t.Error("a paused owner renews on a confirmation of before the pause")
	}
	paused.after(testGrace + 10*time.Second)
	paused.step(StoreSilence{ConfirmedAt: paused.now})
	if paused.machine.MayRenew(paused.now, 0) || len(paused.machine.Owned()) != 0 {
		t.Errorf("renews again after a pause:\n%s", &paused.text)
	}
}

// TestLostAcquireAnswer guards against a shard that is held under a lease
// without any daemon acting as its owner. The acquire is applied, but its
// response is lost. The faults would be to forget the acquire, and to mistake
// an owner key of an earlier lease for one of the current lease.
func TestLostAcquireAnswer(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.step(Shards{Count: 1})
	s.lease()
	s.step(OwnerRead{Shard: 0})
	s.step(AcquireAnswered{Shard: 0, Err: errTimeout})
	s.tick(time.Second)
	commands := s.step(OwnerRead{Shard: 0, KVs: []port.KeyValue{ownerKV(s.machine, testLease-1, 90)}})
	if len(commands) != 0 {
		t.Errorf("owner key of an earlier lease: %v", commands)
	}
	s.tick(time.Second)
	commands = s.step(OwnerRead{Shard: 0, KVs: []port.KeyValue{ownerKV(s.machine, testLease, 100)}})
	if acquired, ok := find[ShardAcquired](commands); !ok || acquired.Epoch != 100 || acquired.Clean {
		t.Errorf("owner key of the lost acquire: %v", commands)
	}
	s.golden("lost_acquire_answer")
}

// TestLostAcquireOfUnwantedShard guards against a shard that stays locked by a
// daemon that does not want it any more. The response to the acquire is lost,
// and another daemon becomes the assigned owner in the meantime. The fault would
// be to forget the acquire when the assignment changes.
func TestLostAcquireOfUnwantedShard(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.step(Shards{Count: 1})
	s.lease()
	s.step(OwnerRead{Shard: 0})
	s.step(AcquireAnswered{Shard: 0, Err: errTimeout})
	s.step(Members{Candidates: []model.DaemonID{"d2"}})
	if _, ok := find[ReadOwner](s.tick(time.Second)); !ok {
		t.Fatalf("the owner key is not read:\n%s", &s.text)
	}
	commands := s.step(OwnerRead{Shard: 0, KVs: []port.KeyValue{ownerKV(s.machine, testLease, 100)}})
	release, ok := find[Release](commands)
	if !ok || release.Conditions[0].Revision != 100 || len(s.machine.Owned()) != 0 {
		t.Errorf("the key that was put: %v", commands)
	}
}

// TestAcquireAnsweredAfterLapse guards against a daemon that acts under a lapsed
// lease because of a late response to an acquire. The daemon is paused between
// the request and the response. The fault would be to match responses by shard
// alone.
func TestAcquireAnsweredAfterLapse(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.step(Shards{Count: 1})
	s.lease()
	s.step(OwnerRead{Shard: 0})
	s.after(16 * time.Second)
	commands := s.step(AcquireAnswered{Shard: 0, Result: port.TxnResult{Succeeded: true, Revision: 100}})
	if _, ok := find[ShardAcquired](commands); ok || len(s.machine.Owned()) != 0 {
		t.Errorf("owned under a lapsed lease:\n%s", &s.text)
	}
}

// TestLeaseCountsFromSending guards against an owner that assumes a longer lease
// than the store does. The response to a renewal is slow. The fault would be to
// count the lease from the response.
func TestLeaseCountsFromSending(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	s.tick(5 * time.Second)
	sent := s.now
	s.after(7 * time.Second)
	s.keptAlive(sent, nil)
	end := sent.Add(15 * time.Second)
	if !s.machine.MayCommit(end.Add(-3*time.Second)) || s.machine.MayCommit(end.Add(-2*time.Second)) {
		t.Errorf("the lease does not end 15 s after sending:\n%s", &s.text)
	}
}

func TestDrain(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	s.step(Drain{})
	if _, ok := find[Drained](s.last); ok {
		t.Error("drained before the release was answered")
	}
	s.step(ReleaseAnswered{Shard: 0})
	if _, ok := find[Drained](s.last); !ok {
		t.Error("not drained after the release was answered")
	}
	s.tick(time.Minute)
	s.golden("drain")
}

// TestFallbackOwner guards against a shard without an owner while daemons are
// alive. The assigned owner is considered alive but does not acquire the shard.
// The fault would be that only one daemon ever tries. The fallback owner keeps
// the shard for longer each time, so that an assigned owner that cannot act does
// not get it back at once.
func TestFallbackOwner(t *testing.T) {
	candidates := []model.DaemonID{"d1", "d2"}
	right := Owner(0, 1, candidates)
	s := newSession(t, fallbackOwner(0, right, candidates), candidates...)
	s.step(Shards{Count: 1})
	s.step(OwnerRead{Shard: 0})
	commands := s.tick(DefaultFallbackAfter)
	if _, ok := find[GrantLease](commands); !ok {
		t.Fatalf("no lease asked for:\n%s", &s.text)
	}
	s.lease()
	if _, ok := find[Acquire](s.step(OwnerRead{Shard: 0})); !ok {
		t.Fatalf("the shard is not acquired:\n%s", &s.text)
	}
	s.step(AcquireAnswered{Shard: 0, Result: port.TxnResult{Succeeded: true, Revision: 100}})
	held := s.now
	var lost ShardLost
	for len(s.machine.Owned()) > 0 {
		commands := s.tick(time.Second)
		lost, _ = find[ShardLost](commands)
		if _, ok := find[KeepAlive](commands); ok {
			s.keptAlive(s.now, nil)
		}
	}
	if lost.Reason != LostHandedOver || s.now.Sub(held) < 2*DefaultFallbackAfter {
		t.Errorf("%v after %s", s.last, s.now.Sub(held))
	}
}

// TestLedgerStoodDown checks that a shard whose ledger stood down is released
// and not acquired again during a cooldown that grows each time.
func TestLedgerStoodDown(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.own()
	var waits []time.Duration
	for range 3 {
		s.step(LedgerStoodDown{Shard: 0})
		s.step(ReleaseAnswered{Shard: 0})
		from := s.now
		for {
			commands := s.tick(time.Second)
			if _, ok := find[KeepAlive](commands); ok {
				commands = append(commands, s.keptAlive(s.now, nil)...)
			}
			if _, ok := find[ReadOwner](commands); ok {
				break
			}
		}
		waits = append(waits, s.now.Sub(from))
		s.step(OwnerRead{Shard: 0})
		s.step(AcquireAnswered{Shard: 0, Result: port.TxnResult{Succeeded: true, Revision: 100}})
	}
	if waits[0] < DefaultRetryMax || waits[1] < 2*waits[0]-time.Second || waits[2] <= waits[1] {
		t.Errorf("not acquired again for %v", waits)
	}
}

// TestReadsAreFew checks that a daemon reads the owner keys only of the shards
// of which it is the assigned or the fallback owner, and those at a low rate
// while they are owned.
func TestReadsAreFew(t *testing.T) {
	const shards, daemons, sampled, seconds = 220, 300, 30, 120
	candidates := daemonNames(daemons)
	reads := 0
	for _, self := range candidates[:sampled] {
		s := newSession(t, self, candidates...)
		reads += s.readsOfOwned(s.step(Shards{Count: shards}))
		for range seconds * 10 {
			reads += s.readsOfOwned(s.tick(100 * time.Millisecond))
		}
	}
	perSecond := float64(reads) / sampled * daemons / seconds
	t.Logf("%.0f reads a second for %d daemons while every shard is owned by another", perSecond, daemons)
	if reads == 0 || perSecond > 150 {
		t.Errorf("%.0f reads a second", perSecond)
	}
}

// readsOfOwned answers the commands as if another daemon owned every shard, and
// returns how many owner keys were read.
func (s *session) readsOfOwned(commands []Command) int {
	reads := 0
	for _, c := range commands {
		switch c := c.(type) {
		case GrantLease:
			reads += s.readsOfOwned(s.step(LeaseGranted{ID: testLease, TTL: c.TTL, SentAt: s.now}))
		case KeepAlive:
			reads += s.readsOfOwned(s.keptAlive(s.now, nil))
		case ReadOwner:
			kv := ownerKV(s.machine, testLease+1, 50)
			kv.Key = ledger.OwnerKey(testPrefix, c.Shard)
			reads += 1 + s.readsOfOwned(s.step(OwnerRead{Shard: c.Shard, KVs: []port.KeyValue{kv}}))
		}
	}
	return reads
}

// TestFailedReadWaits guards against flooding a store that refuses calls. The
// read of an owner key fails immediately, again and again. The fault would be to
// read again without a delay.
func TestFailedReadWaits(t *testing.T) {
	s := newSession(t, "d1", "d1")
	s.step(Shards{Count: 1})
	s.lease()
	reads := 0
	for range 100 {
		if _, ok := find[ReadOwner](s.last); ok {
			reads++
			s.step(OwnerRead{Shard: 0, Err: errTimeout})
			continue
		}
		s.tick(10 * time.Millisecond)
	}
	if reads < 2 || reads > 5 {
		t.Errorf("%d reads in about a second", reads)
	}
}
