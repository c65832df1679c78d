package ownership

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

const (
	testPrefix = "/guavarill/test/"
	testLease  = port.LeaseID(7)
	testGrace  = 20 * time.Second
)

var (
	errTimeout = &port.StoreError{Call: "KeepAlive", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
	errGone    = &port.StoreError{Call: "KeepAlive", Kind: port.StoreLeaseNotFound, Outcome: port.OutcomeNotDone}
)

// session drives one Machine and records its events and commands.
type session struct {
	t       *testing.T
	start   time.Time
	now     time.Time
	machine *Machine
	text    strings.Builder
	last    []Command
}

func newSession(t *testing.T, self model.DaemonID, candidates ...model.DaemonID) *session {
	start := time.Unix(1_700_000_000, 0)
	s := &session{t: t, start: start, now: start}
	s.machine = New(self, "10.0.0.1:7000", Options{
		KeyPrefix: testPrefix, LeaseTTL: 15 * time.Second, Margin: 2 * time.Second,
		OutageGrace: testGrace, LapsedLeaseRetention: 10 * time.Second, Seed: 1,
	})
	s.step(Members{Candidates: candidates})
	return s
}

func (s *session) step(ev Event) []Command {
	event := strings.ReplaceAll(fmt.Sprintf("%T %+v", ev, ev), "ownership.", "")
	fmt.Fprintf(&s.text, "%s > %s\n", s.now.Sub(s.start), s.strip(event))
	s.last = s.machine.Step(s.now, ev)
	for _, c := range s.last {
		command := strings.ReplaceAll(fmt.Sprintf("%T %+v", c, c), "ownership.", "")
		fmt.Fprintf(&s.text, "     < %s\n", s.strip(command))
	}
	fmt.Fprintf(&s.text, "     = owned %v, may commit %t, may renew %t\n", s.machine.Owned(),
		s.machine.MayCommit(s.now), s.machine.MayRenew(s.now, 0))
	return s.last
}

var ownerValue = regexp.MustCompile(`Value:\[[0-9 ]+\]`)

// strip removes the parts of a text that differ between machines and runs.
func (s *session) strip(text string) string {
	text = strings.ReplaceAll(text, testPrefix, "")
	text = strings.ReplaceAll(text, s.now.String(), "now")
	text = ownerValue.ReplaceAllString(text, "Value:...")
	text = strings.ReplaceAll(text, time.Time{}.String(), "never")
	if i := strings.Index(text, "SentAt:"); i >= 0 {
		if j := strings.Index(text[i:], " Err:"); j >= 0 {
			text = text[:i] + "SentAt:..." + text[i+j:]
		}
	}
	return text
}

func (s *session) after(d time.Duration) { s.now = s.now.Add(d) }

func (s *session) tick(d time.Duration) []Command {
	s.after(d)
	return s.step(Tick{})
}

// lease answers GrantLease.
func (s *session) lease() {
	s.step(LeaseGranted{ID: testLease, TTL: 15 * time.Second, SentAt: s.now})
}

// own makes the machine own shard 0 under epoch 100.
func (s *session) own() {
	s.step(Shards{Count: 1})
	s.lease()
	s.step(OwnerRead{Shard: 0})
	s.step(AcquireAnswered{Shard: 0, Result: port.TxnResult{Succeeded: true, Revision: 100}})
	if len(s.machine.Owned()) != 1 {
		s.t.Fatalf("shard not acquired:\n%s", &s.text)
	}
}

func (s *session) keptAlive(sent time.Time, err error) []Command {
	return s.step(KeptAlive{ID: testLease, TTL: 15 * time.Second, SentAt: sent, Err: err})
}

func (s *session) note(text string) { fmt.Fprintf(&s.text, "# %s\n", text) }

func (s *session) golden(name string) {
	goldie.New(s.t).Assert(s.t, name, []byte(s.text.String()))
}

func find[T Command](commands []Command) (T, bool) {
	for _, c := range commands {
		if found, ok := c.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func ownerKV(m *Machine, lease port.LeaseID, created int64) port.KeyValue {
	return port.KeyValue{
		Key: ledger.OwnerKey(testPrefix, 0), Value: m.ownerValue(), Lease: lease,
		CreateRevision: created, ModRevision: created,
	}
}
