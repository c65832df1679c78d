package jobservice

import (
	"strings"
	"testing"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/port"
)

// Long-running tasks stayed down for seconds while others found room. The
// daemons with most processors had lost the store for some seconds, and one with
// a fifth of a core took the lead and kept it when they were back: it read the
// state in 1.25 to 1.97 s where they take 0.2, was behind 13 times, and took
// workers that were well for silent 568 times.
func TestASmallLeaderHandsTheLeadOver(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	d.awaitCompleted(soundJob)
	d.store.write(port.Op{Key: membersPrefix + "a", Value: encodeRecord(Relay{Address: "a", Weight: 1})})
	d.store.write(port.Op{Key: membersPrefix + "like", Value: encodeRecord(Relay{Address: "like", Weight: 1.5})})
	key, err := d.store.Get(t.Context(), leaderKey)
	if err != nil {
		t.Fatal(err)
	}
	d.store.write(port.Op{Key: membersPrefix + "large", Value: encodeRecord(Relay{Address: "large", Weight: 4})})
	d.eventually("the lead given up", func() bool {
		now, err := d.store.Get(t.Context(), leaderKey)
		return err == nil && now.ModRevision != key.ModRevision
	})
	d.eventually("the line that says why", func() bool { return d.log.says(joblog.MessageLeadershipHandedOver) })

	// Nobody else takes it, so that the daemon leads again, and does not give it
	// up over and over.
	d.submit("00000000000000b1")
	d.awaitCompleted("00000000000000b1")
}

// says reports whether a line has the message.
func (b *lockedBuffer) says(message string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), message)
}
