package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
	"github.com/guavarill/guavarill/standin/process"
)

const (
	// slowLink is what a slow link to the store carries: 10 Mbit/s, in bytes a second,
	// with a delay.
	slowLink      = 10_000_000 / 8
	slowLinkDelay = 150 * time.Millisecond
	// mostQueues is as many as the largest value that the store takes has room for.
	mostQueues = 5000
	// configuredGrace is how long after all faults a daemon may have an older
	// configuration than the newest: three times what its link takes for the largest,
	// and its start.
	configuredGrace = 5 * time.Second
)

// linkToStore returns an address at which a daemon reaches the store.
func (d *deployment) linkToStore(slow bool) (string, error) {
	if !slow {
		return d.site.StoreAddress(), nil
	}
	link, err := standin.NewLink(d.site.StoreAddress(), slowLink, slowLinkDelay)
	if err != nil {
		return "", err
	}
	d.links = append(d.links, link)
	return link.Address(), nil
}

// growConfig writes configurations with many queues, some in quick succession.
func growConfig(ctx context.Context, d *deployment, rnd *rand.Rand) {
	for range 1 + rnd.IntN(4) {
		d.configureMany(rnd.IntN(mostQueues))
		pause(ctx, between(rnd, 50, 900))
	}
	pause(ctx, between(rnd, 500, 3000))
}

// configureMany writes the configuration with so many queues more.
func (d *deployment) configureMany(count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queues := append(make([]standin.Queue, 0, len(d.queues)+count), d.queues...)
	for i := range count {
		more := d.queues[0]
		more.Name = fmt.Sprintf("one-of-many-queues-with-a-long-name-%d", i)
		more.Prefix = fmt.Sprintf("/one-of-many-queues-with-a-long-prefix-%d/", i)
		queues = append(queues, more)
	}
	d.site.Configure(queues...)
}

// checkConfigured checks that each daemon has the newest configuration soon after all
// faults.
func (d *deployment) checkConfigured() {
	for deadline := time.Now().Add(configuredGrace); ; time.Sleep(lookEvery) {
		behind := d.behind()
		if behind == "" {
			return
		}
		if time.Now().After(deadline) {
			d.report.add("%s has not the newest configuration %s after all faults", behind, configuredGrace)
			return
		}
	}
}

// behind returns the name of a daemon that has not the newest configuration.
func (d *deployment) behind() string {
	for _, p := range d.daemons {
		ctx, cancel := context.WithTimeout(context.Background(), process.StatusTimeout)
		status, err := p.API().Status(ctx)
		cancel()
		if err != nil || status.ConfigVersion != uint64(d.site.Version()) {
			return p.Name
		}
	}
	return ""
}
