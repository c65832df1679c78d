package jobservice

import (
	"strings"
	"testing"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/port"
)

// Guards against a small daemon that remains the leader, while long-running tasks
// stay down for seconds that others have room for. The daemons with most processors
// had lost the store for some seconds; one with a fifth of a core became leader and
// remained so when they were back. It read the state in 1.25 to 1.97 s where they
// take 0.2 s, was behind 13 times, and treated healthy workers as unreachable 568 times.
func TestASmallLeaderHandsTheLeadOver(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	d.awaitCompleted(intactJob)
	d.store.write(port.Op{Key: membersPrefix + "a", Value: encodeRecord(Relay{Address: "a", Weight: 1})})
	d.store.write(port.Op{Key: membersPrefix + "like", Value: encodeRecord(Relay{Address: "like", Weight: 1.5})})
	key, err := d.store.Get(t.Context(), leaderKey)
	if err != nil {
		t.Fatal(err)
	}
	d.store.write(port.Op{Key: membersPrefix + "large", Value: encodeRecord(Relay{Address: "large", Weight: 4})})
	d.eventually("leadership released", func() bool {
		now, err := d.store.Get(t.Context(), leaderKey)
		return err == nil && now.ModRevision != key.ModRevision
	})
	d.eventually("the line that says why", func() bool { return d.log.contains(joblog.MessageLeadershipHandedOver) })

	// No other daemon campaigns, so the daemon leads again, and must not hand
	// leadership over again and again.
	d.submit("00000000000000b1")
	d.awaitCompleted("00000000000000b1")
}

// contains reports whether the log contains a message.
func (b *lockedBuffer) contains(message string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), message)
}
