package jobservice

import (
	"context"
	"time"
)

const (
	// configPeerInterval is the minimum time between two reads through another
	// daemon, and configPeerShare bounds the share of the time that they take: on a
	// slow link, a large configuration would leave no bandwidth for callers.
	configPeerInterval = time.Second
	configPeerShare    = 0.2
)

// beginPeerRead reports whether the configuration is to be read through another
// daemon now. If so, it marks the read as running.
func (f *ConfigFeed) beginPeerRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.o.Peers == nil || f.peerReading || f.o.Clock.Now().Before(f.nextPeerRead) {
		return false
	}
	f.peerReading = true
	return true
}

// endPeerRead marks a read through another daemon, sent at sentAt, as finished, and
// sets the time of the next.
func (f *ConfigFeed) endPeerRead(sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	pause := time.Duration(float64(now.Sub(sentAt)) * (1/configPeerShare - 1))
	f.nextPeerRead = now.Add(max(configPeerInterval, pause))
	f.peerReading = false
}

// readThroughPeer reads the configuration through another daemon, which the store may
// serve while it refuses this one. It may take seconds if that daemon has exited.
func (f *ConfigFeed) readThroughPeer(ctx context.Context) {
	sentAt := f.o.Clock.Now()
	kv, err := f.o.Peers(ctx, f.o.Key)
	f.endPeerRead(sentAt)
	if err != nil {
		f.log.WithError(err).Debug("configuration not read through another daemon")
		return
	}
	f.apply(kv)
	f.confirm(sentAt)
}
