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
	kindTombstone     = "tombstone"
	kindMember        = "member"
	KindConfiguration = "configuration"
)

// maxUnreadableRecords bounds the records that are remembered as unreadable. Further
// ones are neither logged nor counted.
const maxUnreadableRecords = 4096

// unreadableRecords remembers which unreadable records have been reported. Records
// are read repeatedly, some every half second, and each change of a record is
// reported once.
type unreadableRecords struct {
	count *prometheus.CounterVec

	mu sync.Mutex
	// reported holds the revisions that were reported, by key.
	reported map[string]int64
}

func newUnreadableRecords(count *prometheus.CounterVec) *unreadableRecords {
	return &unreadableRecords{count: count, reported: make(map[string]int64)}
}

// ReportUnreadable logs and counts a record that cannot be read, unless that was done
// for this revision of it. consequence states the effect in the log.
func (m *Metrics) ReportUnreadable(log *logrus.Entry, kind string, kv port.KeyValue, cause error, consequence string) {
	u := m.unreadable
	u.mu.Lock()
	revision, known := u.reported[kv.Key]
	news := revision != kv.ModRevision && (known || len(u.reported) < maxUnreadableRecords)
	if news {
		u.reported[kv.Key] = kv.ModRevision
	}
	u.mu.Unlock()
	if !news {
		return
	}
	u.count.WithLabelValues(kind).Inc()
	log.WithError(cause).WithFields(logrus.Fields{"key": kv.Key, "revision": kv.ModRevision}).
		Error("record cannot be read; " + consequence)
}

// clearReadable forgets the reported records whose keys have a prefix, except those
// that still cannot be read.
func (u *unreadableRecords) clearReadable(prefix string, damaged []damagedRecord) {
	still := make(map[string]bool, len(damaged))
	for _, d := range damaged {
		still[d.kv.Key] = true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for key := range u.reported {
		if strings.HasPrefix(key, prefix) && !still[key] {
			delete(u.reported, key)
		}
	}
}

// damagedRecord is a stored record that cannot be decoded, or whose key names no job.
type damagedRecord struct {
	kv    port.KeyValue
	cause error
}
