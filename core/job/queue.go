package job

import (
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
