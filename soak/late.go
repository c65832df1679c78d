package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
)

const (
	// acceptedKeys precedes the id of each accepted job in the store.
	acceptedKeys = "guavarill/jobs/"
	// lateLeast and lateMost bound how late the store carries out an acceptance to which
	// it gave no response, in milliseconds.
	lateLeast, lateMost = 1000, 6000
	// goneGrace is how long after a cancel that found no job a start of it may arrive:
	// of one that had ended before, over a slow way to its worker.
	goneGrace = time.Second
)

// lateAcceptances leaves some of the writes that accept jobs without a response, for a
// while at a time, and carries them out late.
func lateAcceptances(ctx context.Context, d *deployment, rnd *rand.Rand) {
	var mu sync.Mutex
	for ctx.Err() == nil {
		d.site.Store.LateWrites(func(keys []string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if len(keys) != 1 || !strings.HasPrefix(keys[0], acceptedKeys) || rnd.IntN(4) == 0 {
				return 0
			}
			return between(rnd, lateLeast, lateMost)
		})
		pause(ctx, 3*time.Second)
		d.site.Store.LateWrites(nil)
		pause(ctx, 500*time.Millisecond)
	}
}

// regret submits jobs until ctx ends, and cancels each whose submission got no response
// at any daemon until that is acknowledged.
func (c *caller) regret(ctx, calling context.Context) {
	var following sync.WaitGroup
	for ctx.Err() == nil {
		j := c.draw()
		c.jobs = append(c.jobs, j)
		rnd := rand.New(rand.NewPCG(c.rnd.Uint64(), 0))
		following.Go(func() { c.regretOne(calling, j, rnd) })
		pause(ctx, between(c.rnd, 100, 600))
	}
	following.Wait()
}

func (c *caller) regretOne(ctx context.Context, j *submitted, rnd *rand.Rand) {
	j.settle(c.submitOnce(rnd, j))
	if j.fate != unknown {
		c.await(ctx, j, rnd)
		return
	}
	for ctx.Err() == nil {
		status, err := c.client.Cancel(c.anyone(rnd), j.id)
		switch {
		case err == nil && status == http.StatusGone:
			j.mu.Lock()
			j.goneAt = time.Now()
			j.mu.Unlock()
			return
		case err == nil && status == http.StatusOK:
			j.mu.Lock()
			j.canceledAt = time.Now()
			j.mu.Unlock()
			return
		}
		time.Sleep(between(rnd, 50, 400))
	}
}

// await polls the state of an accepted job until it is final.
func (c *caller) await(ctx context.Context, j *submitted, rnd *rand.Rand) {
	for ctx.Err() == nil && j.fate == accepted && j.final == "" {
		time.Sleep(lookEvery)
		c.look(rnd, j)
	}
}

// startedWhenGone checks that a start is not of a job of which a cancel was told before
// that it does not exist.
func (h *history) startedWhenGone(e standin.AuditEvent) {
	id, _, _ := parseTask(e.Task)
	j := h.jobs[id]
	if j != nil && !j.goneAt.IsZero() && e.At.After(j.goneAt.Add(goneGrace)) {
		h.report.add("%s was started %s after a cancel found that there is no such job", e.Task, e.At.Sub(j.goneAt).Round(time.Millisecond))
	}
}
