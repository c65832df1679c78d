package jobservice

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// What a daemon may answer from a configuration depends on how certainly that is the
// newest.

// NoConfigurationError reports that the daemon has not read a configuration yet, and
// therefore knows no queues.
type NoConfigurationError struct{}

// Error implements error.
func (*NoConfigurationError) Error() string { return "no configuration has been read yet" }

// StaleConfigurationError reports that the configuration in force may have been
// replaced longer ago than a replaced one may stay in force.
type StaleConfigurationError struct {
	Version uint64
	Age     time.Duration
}

// Error implements error.
func (e *StaleConfigurationError) Error() string {
	return fmt.Sprintf("version %d of the configuration may be old: it was the newest %.1f s ago", e.Version, e.Age.Seconds())
}

// UnknownQueueError reports that the configuration has no such queue.
type UnknownQueueError struct{}

// Error implements error.
func (*UnknownQueueError) Error() string { return "no such queue" }

// FindQueue returns the configuration in force and the queue that choose selects from
// it. The error is an *UnknownQueueError, or an *UnavailableError if it is not known
// whether there is such a queue, because a caller who is told that there is none does
// not retry.
func (f *ConfigFeed) FindQueue(choose func(*job.Config) *job.Queue) (*job.Config, *job.Queue, error) {
	config, age := f.Current(), f.Age()
	if config == nil {
		return nil, nil, &UnavailableError{Cause: &NoConfigurationError{}}
	}
	if queue := choose(config); queue != nil {
		return config, queue, nil
	}
	if f.o.ApplyWithin > 0 && age > f.o.ApplyWithin {
		return nil, nil, &UnavailableError{Cause: &StaleConfigurationError{Version: config.Version, Age: age}}
	}
	return nil, nil, &UnknownQueueError{}
}

// CheckAge returns an *UnavailableError if the configuration in force may be too old
// to accept jobs under it: a queue may have been removed, or assigned to another
// service.
func (f *ConfigFeed) CheckAge() error {
	config, age := f.Current(), f.Age()
	switch {
	case config == nil:
		return &UnavailableError{Cause: &NoConfigurationError{}}
	case f.o.ApplyWithin > 0 && age > f.o.ApplyWithin+f.o.Stretch:
		return &UnavailableError{Cause: &StaleConfigurationError{Version: config.Version, Age: age}}
	}
	return nil
}
