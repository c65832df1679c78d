package ownership

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Symptom: two owners act for one shard. Sequence: the owner is paused past
// its lease; the answer to a renewal sent before the pause is what wakes it.
// Cause it guards against: counting the lease from the answer, or acting on
// the event before looking at the clock.
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

// Symptom: after a planned change of owner the shard waits as if its owner had
// died. Sequence: another daemon becomes the right owner and stays so; this
// one stops acting, then releases; the other acquires. Cause it guards
// against: not telling a release from a lapse.
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

// Symptom: an outage of the store stops all work, or work goes on in two
// places. Sequence: the store stops answering; its silence is confirmed by the
// members; it comes back and the lease has held. Cause it guards against:
// giving shards up because the store is down, and going on unconfirmed.
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
		t.Error("renews though the store's silence is not confirmed")
	}
	s.note("the store is back")
	s.untilRenewal()
	s.keptAlive(s.now, nil)
	if !s.machine.MayCommit(s.now) || len(s.machine.Owned()) != 1 {
		t.Error("the owner did not go on under its lease")
	}
	s.golden("store_outage")
}

// outage lets time pass with all renewals failing.
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

// untilRenewal lets time pass until the machine asks to renew its lease.
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

// Symptom: all tasks of the fleet end in a long outage of the store.
// Sequence: the store is down for an hour, which a majority confirms all the
// time. Cause it guards against: a bound on the length of an outage.
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
		t.Error("the owner did not go on under its lease")
	}
}

// Symptom: worker leases are renewed by an owner of which a new one knows that
// it cannot be renewing. Sequence: a majority confirmed the outage once, and
// the same confirmations are named again and again; or the daemon is paused
// after a confirmation, and what wakes it is the next one. Cause it guards
// against: counting a confirmation from when it is named, and taking up renewing
// again after a break.
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
		t.Errorf("took up renewing after a pause:\n%s", &paused.text)
	}
}

// Symptom: a shard is held under a lease of which nobody knows. Sequence: the
// acquire is made, its answer lost. Cause it guards against: giving up on it,
// or taking an owner key of an earlier lease for the present one's.
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

// Symptom: a shard that is not wanted any more stays locked. Sequence: the
// acquire's answer is lost, and meanwhile another daemon is the right owner.
// Cause it guards against: forgetting the acquire with the wish for it.
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

// Symptom: an acquire answered late makes a daemon act under a lease that is
// gone. Sequence: the daemon is paused between sending and answer. Cause it
// guards against: matching answers by shard alone.
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

// Symptom: the owner believes in its lease for longer than the store does.
// Sequence: the answer to a renewal is slow. Cause it guards against: counting
// the lease's time from the answer.
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

// Symptom: a shard has no owner though daemons are alive. Sequence: the right
// owner is believed alive and does not acquire. Cause it guards against: only
// one daemon ever trying. The stand-in keeps the shard for longer each time,
// so that a right owner that cannot act does not get it back at once.
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
// and left alone, longer each time.
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
		t.Errorf("left alone for %v", waits)
	}
}

// TestReadsAreFew checks that a daemon reads the owner keys only of the shards
// that it is to own or to stand in for, and those seldom while they are owned.
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

// readsOfOwned answers the commands, with another daemon owning every shard,
// and returns how many owner keys were read.
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

// Symptom: a store that refuses calls is flooded with them. Sequence: the read
// of an owner key fails at once, again and again. Cause it guards against:
// reading again without a delay.
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
