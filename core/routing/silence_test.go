package routing

import "testing"

// When a middlebox drops its flows, exchanges on old connections stay
// unanswered while new connections to the same target work. The target must not
// be ejected for its connection, and not every old connection may cost another
// request.
func TestFirstSilenceIsAttributedToTheConnection(t *testing.T) {
	x := newFixture(t, targets(1, 2))
	x.serve(50, usualResult)
	lost, _ := x.pick(Query{NonIdempotent: true})
	x.now = x.now.Add(lost.OverdueAfter())
	lost.ReportOverdue(x.now)
	c, _ := x.pick(Query{})
	if c.RequiresNewConnection() || !c.TrustSince().After(start) || c.TrustSince().After(x.now) {
		t.Fatalf("after an overdue exchange: new connection required %v, trust since %v", c.RequiresNewConnection(), c.TrustSince())
	}
	c.Done(x.now, Result{Outcome: Canceled})

	x.now = x.now.Add(lost.SilenceAfter())
	lost.ReportOverdue(x.now)
	if s := x.state("10.0.0.0:80"); s.State != Suspect || s.InFlight != 0 || s.Held != 1 {
		t.Fatalf("after a silence: %+v", s)
	}
	proof, ok := x.pick(Query{NonIdempotent: true})
	if !ok || !proof.RequiresNewConnection() {
		t.Fatal("the suspect target was not probed over a new connection")
	}
	if _, ok := x.pick(Query{Ahead: 1000}); ok {
		t.Fatal("the suspect target got a second request")
	}
	proof.Done(x.now, Result{Latency: usual})
	if s := x.state("10.0.0.0:80").State; s != Healthy {
		t.Errorf("the target that responded is %v", s)
	}
	x.now = x.now.Add(maxHold)
	lost.Done(x.now, Result{Outcome: Silent})
	if s := x.state("10.0.0.0:80"); s.State != Healthy || s.InFlight+s.Held != 0 {
		t.Errorf("the end of the lost exchange changed the target's state: %+v", s)
	}
}

func TestSilenceOfOneConnectionAmongMany(t *testing.T) {
	x := newFixture(t, targets(1, 2))
	x.serve(50, usualResult)
	lost, _ := x.pick(Query{})
	x.serve(20, usualResult)
	x.now = x.now.Add(lost.SilenceAfter())
	lost.Done(x.now, Result{Outcome: Silent})
	if s := x.state("10.0.0.0:80").State; s != Healthy {
		t.Errorf("a target that responds to other requests is %v", s)
	}
}

// Abandoning an exchange does not end it: the instance may still process the
// request. If the slot went to another request immediately, the instance would
// receive more than its slots allow.
func TestSlotOfASilentExchangeStaysTakenForAWhile(t *testing.T) {
	x := newFixture(t, targets(1, 1))
	x.serve(50, usualResult)
	lost, _ := x.pick(Query{})
	x.now = x.now.Add(lost.SilenceAfter())
	lost.Done(x.now, Result{Outcome: Silent})
	if _, ok := x.pick(Query{Ahead: 1000}); ok {
		t.Fatal("the slot of the silent exchange was reused immediately")
	}
	x.now = x.now.Add(maxHold)
	if _, ok := x.pick(Query{Ahead: 1000}); !ok {
		t.Error("the slot of the silent exchange was not released")
	}
}

func TestSecondSilenceEjectsTheTarget(t *testing.T) {
	x := newFixture(t, targets(8, 2))
	x.serve(200, usualResult)
	x.serve(200, resultOnBad(Result{Latency: 10 * usual, Outcome: Silent}))
	if s := x.state(bad).State; s != Ejected {
		t.Errorf("a target that is silent over new connections is %v", s)
	}
}

func TestManyOverdueExchangesDistrustAllConnections(t *testing.T) {
	x := newFixture(t, targets(20, 1))
	x.serve(400, usualResult)
	var lost []*Choice
	for range 10 {
		c, _ := x.pick(Query{})
		lost = append(lost, c)
	}
	x.now = x.now.Add(lost[0].OverdueAfter())
	for _, c := range lost {
		c.ReportOverdue(x.now)
	}
	c, _ := x.pick(Query{})
	if !c.TrustSince().After(start) {
		t.Error("connections to other targets are still trusted")
	}
}
