// Package simnet runs the nodes of a test in virtual time over a network that
// can lose, delay and block messages. It is an event heap with a fixed seed:
// two runs of a test behave identically, and a run takes only as long as its
// events need.
package simnet

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/guavarill/guavarill/port"
)

// Start is the time at which every Net begins.
var Start = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

// Net is the network and its clock. The fields may be changed during a run.
type Net struct {
	// Rand decides losses and delays.
	Rand *rand.Rand
	// Loss is the probability that one message, request or response, is lost.
	Loss float64
	// Delay is the minimum latency of a message; up to the same again is added.
	Delay time.Duration
	// Cut reports whether messages between two nodes are blocked.
	Cut func(a, b string) bool

	now    time.Time
	serial uint64
	events events
	down   map[string]bool
	paused map[string]time.Time
}

// New returns a network without faults.
func New(seed uint64) *Net {
	return &Net{
		Rand:   rand.New(rand.NewPCG(seed, seed)),
		Delay:  time.Millisecond,
		Cut:    func(a, b string) bool { return false },
		now:    Start,
		down:   make(map[string]bool),
		paused: make(map[string]time.Time),
	}
}

// Now returns the virtual time.
func (n *Net) Now() time.Time { return n.now }

// Since returns the virtual time since Start.
func (n *Net) Since() time.Duration { return n.now.Sub(Start) }

// After runs do on node after d. If the node is paused then, do runs when the
// pause ends; if it is down, do never runs.
func (n *Net) After(node string, d time.Duration, do func()) {
	n.at(n.now.Add(d), func() { n.runOn(node, do) })
}

func (n *Net) runOn(node string, do func()) {
	if n.down[node] {
		return
	}
	if until := n.paused[node]; until.After(n.now) {
		n.at(until, func() { n.runOn(node, do) })
		return
	}
	do()
}

// Every runs do on node once per period, starting at a random point within the
// first one.
func (n *Net) Every(node string, period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		n.After(node, period, again)
	}
	n.After(node, time.Duration(n.Rand.Int64N(int64(period))), again)
}

// Kill ends a node. Messages to it get no response, not even a refusal.
func (n *Net) Kill(node string) { n.down[node] = true }

// Down reports whether a node was killed.
func (n *Net) Down(node string) bool { return n.down[node] }

// Pause pauses a node for d. Events due on it meanwhile run at the end of the
// pause.
func (n *Net) Pause(node string, d time.Duration) { n.paused[node] = n.now.Add(d) }

// Run advances the time by d.
func (n *Net) Run(d time.Duration) { n.RunUntil(d, func() bool { return false }) }

// RunUntil advances the time until done returns true, checked after each event,
// or by at most d. It reports whether done became true.
func (n *Net) RunUntil(d time.Duration, done func() bool) bool {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		ev := heap.Pop(&n.events).(event)
		n.now = ev.at
		ev.do()
		if done() {
			return true
		}
	}
	n.now = end
	return false
}

// Call sends a request from one node to another and returns its response.
// Handle runs on to. Done runs on from exactly once: with the response, or with
// a *port.PeerError at the timeout.
func Call[R any](n *Net, from, to string, timeout time.Duration, handle func() R, done func(R, error)) {
	over := false
	finish := func(r R, err error) {
		if !over {
			over = true
			done(r, err)
		}
	}
	n.After(from, timeout, func() {
		var none R
		finish(none, &port.PeerError{Peer: to, Kind: port.PeerUnreachable})
	})
	n.send(from, to, func() {
		r := handle()
		n.send(to, from, func() { finish(r, nil) })
	})
}

// send runs do on node to when the message arrives, unless it is lost. Cut is
// checked both when the message is sent and when it arrives.
func (n *Net) send(from, to string, do func()) {
	if n.Cut(from, to) || n.Rand.Float64() < n.Loss {
		return
	}
	d := n.Delay + time.Duration(n.Rand.Int64N(int64(n.Delay)+1))
	n.After(to, d, func() {
		if !n.Cut(from, to) {
			do()
		}
	})
}

func (n *Net) at(t time.Time, do func()) {
	n.serial++
	heap.Push(&n.events, event{t, n.serial, do})
}

type event struct {
	at     time.Time
	serial uint64
	do     func()
}

// events is a heap ordered by time, then by order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
