package workersession_test

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
)

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	worker  int
	from    *owner
	id      uint64
	req     *workerv1.ApplyRequest  // to the agent, or nil
	resp    *workerv1.ApplyResponse // to the owner, or nil
	failure bool                    // a timeout at the owner
}

// partition separates an agent from the owners with an epoch above the given one.
type partition struct {
	until time.Time
	above model.Epoch
}

// deliver delivers the messages that are due.
func (w *world) deliver() {
	slices.SortStableFunc(w.net, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(w.net) > 0 && !w.net[0].at.After(w.now) {
		d := w.net[0]
		w.net = w.net[1:]
		if d.req != nil {
			w.deliverToAgent(d)
			continue
		}
		d.from.inbox = append(d.from.inbox, d)
	}
}

func (w *world) deliverToAgent(d delivery) {
	if c := w.partitions[d.worker]; w.now.Before(c.until) && d.from.epoch > c.above {
		return
	}
	resp := w.execute(d)
	if w.noisy() && w.rnd.Float64() < 0.1 {
		return // the response is lost
	}
	w.net = append(w.net, delivery{
		at: w.now.Add(w.delay()), worker: d.worker, from: d.from, id: d.id, resp: resp,
	})
}

// execute executes one request and checks that it changes nothing if the agent has
// seen a newer owner.
func (w *world) execute(d delivery) *workerv1.ApplyResponse {
	agent := w.agents[d.worker]
	if d.from.epoch >= w.seenEpochs[d.worker] {
		w.seenEpochs[d.worker] = d.from.epoch
		return agent.Apply(d.req)
	}
	before := fmt.Sprint(agent.Running())
	resp := agent.Apply(d.req)
	if fmt.Sprint(agent.Running()) != before {
		w.problem = fmt.Sprintf("owner %d acted on %s after owner %d",
			d.from.epoch, agent.ID(), w.seenEpochs[d.worker])
	}
	return resp
}

// delay returns the random transit time of a message.
func (w *world) delay() time.Duration {
	if w.noisy() && w.rnd.Float64() < 0.15 {
		return time.Duration(w.rnd.Int63n(int64(maxDelay)))
	}
	return time.Duration(w.rnd.Int63n(int64(100 * time.Millisecond)))
}

// send sends a message, which the network may lose or duplicate.
func (w *world) send(o *owner, i int, c workersession.Send) {
	copies := 1
	if w.noisy() {
		switch p := w.rnd.Float64(); {
		case p < 0.1:
			copies = 0
		case p < 0.25:
			copies = 2
		}
	}
	for range copies {
		w.net = append(w.net, delivery{
			at: w.now.Add(w.delay()), worker: i, from: o, id: c.ID, req: proto.CloneOf(c.Req),
		})
	}
	w.net = append(w.net, delivery{
		at: w.now.Add(c.Timeout), worker: i, from: o, id: c.ID, failure: true,
	})
}
