package job

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// Queue is a named endpoint at which callers submit jobs.
type Queue struct {
	Name string `json:"name"`
	// Host and Prefix select the requests for the queue by their host and the
	// prefix of their path.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Service names the pool of workers that run the queue's tasks.
	Service string `json:"service"`
	// Priority orders queues; 0 is the highest priority.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and LatencyTargetMs set the completion objective of a job, in
	// milliseconds: its critical path times Stretch, plus LatencyTargetMs.
	Stretch         float64 `json:"stretch,omitempty"`
	LatencyTargetMs int64   `json:"latencyTargetMs,omitempty"`
	// TimeoutMs limits how long a request may take, in milliseconds.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// Advised is whether the advice service is asked which workers may run the
	// steps of the queue's jobs.
	Advised bool `json:"advised,omitempty"`
}

// QueueFingerprint identifies the queue of a job in the record of its progress. It has a
// fixed length, as the size of a record is bounded. It is empty in records of earlier
// versions.
type QueueFingerprint string

// Fingerprint returns the queue's fingerprint: a hash of its name, and one of its host and
// prefix.
func (q *Queue) Fingerprint() QueueFingerprint {
	return QueueFingerprint(hashOf(q.Name) + hashOf(strings.ToLower(q.Host)+" "+q.Prefix))
}

// hashLength is the number of digits that hashOf returns.
const hashLength = 8

func hashOf(text string) string {
	h := fnv.New32a()
	h.Write([]byte(text))
	return fmt.Sprintf("%0*x", hashLength, h.Sum32())
}

// Matches reports whether the fingerprint may be that of the queue: the name is the same,
// or callers reach it by the same host and prefix, one of which a configuration may have
// changed since.
func (f QueueFingerprint) Matches(q *Queue) bool {
	if len(f) != 2*hashLength {
		return true
	}
	own := q.Fingerprint()
	return f[:hashLength] == own[:hashLength] || f[hashLength:] == own[hashLength:]
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is whether the service's workers refuse tasks that do not
	// fit their free capacity.
	EnforcesCapacity bool
	// Spare is whether the pool is switched off.
	Spare bool
}

// Limits holds the limits on callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version  uint64
	Queues   map[string]*Queue
	Services map[string]*Service
	Limits   Limits
}

// Route returns the queue for a request: the one for the host, ignoring case,
// with the longest prefix of path. It returns nil if there is none.
func (c *Config) Route(host, path string) *Queue {
	var found *Queue
	for _, q := range c.Queues {
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if found == nil || len(q.Prefix) > len(found.Prefix) {
			found = q
		}
	}
	return found
}
