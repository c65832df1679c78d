package job

import (
	"strings"
	"time"
)

// Queue is a named entrance for jobs.
type Queue struct {
	Name string `json:"name"`
	// Host and Prefix say which requests are for the queue.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Service names the pool of workers that run the queue's tasks.
	Service string `json:"service"`
	// Priority 0 goes first.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and LatencyTargetMs set the objective of a job: its longest chain
	// of work times Stretch, and LatencyTargetMs more.
	Stretch         float64 `json:"stretch,omitempty"`
	LatencyTargetMs int64   `json:"latencyTargetMs,omitempty"`
	// TimeoutMs bounds the answer to a request.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// Advised queues ask the advice service which workers may run a step.
	Advised bool `json:"advised,omitempty"`
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is whether its workers refuse what does not fit.
	EnforcesCapacity bool
	// Spare pools are switched off.
	Spare bool
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is not changed
// once it is made.
type Config struct {
	Version  uint64
	Queues   map[string]*Queue
	Services map[string]*Service
	Limits   Limits
}

// Route returns the queue whose host is host and whose prefix is the longest
// with which path begins, or nil.
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
