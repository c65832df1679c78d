package jobservice

import (
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/port"
)

// The kinds of records, as they are counted when they cannot be read.
const (
	kindLeader        = "leader"
	kindLedger        = "ledger"
	kindRoster        = "roster"
	kindFleet         = "fleet"
	kindInterference  = "interference"
	kindAccepted      = "job"
	kindProgress      = "progress"
	kindMember        = "member"
	KindConfiguration = "configuration"
)

// unreadableMost bounds the records that are remembered as unreadable. Those
// beyond it are neither told nor counted.
const unreadableMost = 4096

// unreadable tells of records that cannot be read. They are looked at again and
// again, some every half second: each change of one is told once.
type unreadable struct {
	count *prometheus.CounterVec

	mu sync.Mutex
	// told holds the revisions that were told, by key.
	told map[string]int64
}

func newUnreadable(count *prometheus.CounterVec) *unreadable {
	return &unreadable{count: count, told: make(map[string]int64)}
}

// ReportUnreadable writes a line about a record that cannot be read, and counts it,
// unless that was done for this change of it. consequence says what follows.
func (m *Metrics) ReportUnreadable(log *logrus.Entry, kind string, kv port.KeyValue, cause error, consequence string) {
	u := m.unreadable
	u.mu.Lock()
	revision, known := u.told[kv.Key]
	news := revision != kv.ModRevision && (known || len(u.told) < unreadableMost)
	if news {
		u.told[kv.Key] = kv.ModRevision
	}
	u.mu.Unlock()
	if !news {
		return
	}
	u.count.WithLabelValues(kind).Inc()
	log.WithError(cause).WithFields(logrus.Fields{"key": kv.Key, "revision": kv.ModRevision}).
		Error("record cannot be read; " + consequence)
}

// forgetRead forgets what was told of the keys with a prefix, but for those that
// cannot be read now.
func (u *unreadable) forgetRead(prefix string, damaged []damagedRecord) {
	still := make(map[string]bool, len(damaged))
	for _, d := range damaged {
		still[d.kv.Key] = true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for key := range u.told {
		if strings.HasPrefix(key, prefix) && !still[key] {
			delete(u.told, key)
		}
	}
}

// damagedRecord is an entry that cannot be read.
type damagedRecord struct {
	kv    port.KeyValue
	cause error
}
