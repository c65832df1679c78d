package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// adviceTime is how long the advice service takes to respond, ticketTime how long a
// ticket is valid.
const (
	adviceTime = 100 * time.Millisecond
	ticketTime = 3 * time.Second
)

// advise responds for the advice service: every second worker may run the step.
func (c *cluster) advise(e Advise) {
	tickets := make(map[model.Incarnation]string)
	for _, worker := range e.Workers {
		if id := worker.ID; (id[len(id)-1]-'0')%2 == 0 {
			tickets[worker] = "ticket-" + string(id)
		}
	}
	c.sendEvent(c.machine, adviceTime, func() Event {
		return Advised{Step: e.Step, Asked: e.Workers, Verdict: VerdictDone, Tickets: tickets, Validity: ticketTime}
	})
}

// TestAdvisedTasksStartWithTickets checks that the tasks of an advised queue run
// only on workers that the advice service allows.
func TestAdvisedTasksStartWithTickets(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.config.Queues["advised"] = &job.Queue{Name: "advised", Service: "pool", MaxAttempts: 3, Advised: true}
	c.run(200 * time.Millisecond)
	id := c.submit(1, "advised", makeStep(6, 2000, 300*time.Millisecond), makeStep(6, 2000, 300*time.Millisecond, 0))
	for range 1000 {
		c.tick()
		for _, w := range c.workers {
			for key := range w.attempts {
				if number := w.entry.ID[len(w.entry.ID)-1] - '0'; number%2 != 0 {
					t.Fatalf("%s runs on %s, which may not run it", key.task, w.entry.ID)
				}
			}
		}
	}
	if s := c.state(id); s != job.Completed {
		t.Errorf("state %s, want completed", s)
	}
}
