package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/shares"
)

// The simulated site.
const (
	siteZones     = 3
	siteInstances = 50
	siteSlots     = 8
	siteEntries   = 7
	allSlots      = siteSlots * siteInstances
	nearWire      = 100 * time.Microsecond // one way
	farWire       = 1500 * time.Microsecond
	meanService   = 20 * time.Millisecond
	serviceSigma  = 0.6 // of the lognormal distribution
	deadline      = time.Second
	runStart      = 2 * time.Second // of the fault and of the measurement
	runEnd        = 8 * time.Second
	viewDelay     = 2 * time.Second // until an entry observes a change of another
	growDelay     = 3 * time.Second
)

// epoch is the time at which the virtual clock starts.
var epoch = time.Unix(1_000_000, 0)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type instance struct {
	address string
	zone    int
	busy    int
	queue   []func()
	slow    func(now time.Duration) float64
	dead    bool
}

// conn is a connection of one entry to one instance.
type conn struct {
	silent bool
	proven time.Duration
}

type request struct {
	id         uint64
	arrived    time.Duration
	priority   model.Priority
	idempotent bool
	avoid      []string
	measured   bool
	over       bool
}

type entry struct {
	id     model.DaemonID
	zone   int
	dead   bool
	idle   map[*instance][]*conn
	policy policy
}

// policy is one way to send requests.
type policy interface {
	arrive(r *request)
}

type site struct {
	now        time.Duration
	seq        int
	events     eventHeap
	rnd        *rand.Rand
	instances  []*instance
	entries    []*entry
	conns      []*conn
	start, end time.Duration // of the measurement
	skew       int           // how many times the requests of any other entry entry 0 receives

	latencies, urgent         []float64 // milliseconds
	offered, answered, shed   int
	urgentOffered, urgentDone int
	queued                    int // requests that arrived at an instance without a free slot
}

func newSite(seed uint64, make func(s *site, e *entry) policy) *site {
	s := &site{rnd: rand.New(rand.NewPCG(seed, 1)), start: runStart, end: runEnd, skew: 1}
	for n := range siteInstances {
		s.instances = append(s.instances, &instance{
			address: fmt.Sprintf("10.0.%d.%d:80", n%siteZones, n), zone: n % siteZones, slow: always,
		})
	}
	for n := range siteEntries {
		s.entries = append(s.entries, &entry{
			id: model.DaemonID(fmt.Sprintf("entry-%d", n)), zone: n % siteZones, idle: map[*instance][]*conn{},
		})
	}
	for _, e := range s.entries {
		e.policy = make(s, e)
	}
	return s
}

func (s *site) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

// every calls do once per period until the end of the measurement.
func (s *site) every(period time.Duration, do func()) {
	do()
	if s.now+period < s.end {
		s.after(period, func() { s.every(period, do) })
	}
}

func (s *site) time() time.Time { return epoch.Add(s.now) }

// members returns the entries that are alive.
func (s *site) members() []shares.Entry {
	var list []shares.Entry
	for _, e := range s.entries {
		if !e.dead {
			list = append(list, shares.Entry{ID: e.id, Zone: zoneName(e.zone)})
		}
	}
	return list
}

func zoneName(z int) model.Zone { return model.Zone(fmt.Sprintf("z%d", z)) }

// run offers load, as a fraction of what the instances can serve, until the
// end.
func (s *site) run(load float64) {
	gap := float64(meanService) / (load * allSlots)
	id := uint64(0)
	var arrive func()
	arrive = func() {
		id++
		s.arrive(id)
		if s.now < s.end {
			s.after(time.Duration(gap*s.rnd.ExpFloat64()), arrive)
		}
	}
	arrive()
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

func (s *site) arrive(id uint64) {
	r := &request{id: id, arrived: s.now, priority: s.drawPriority(), idempotent: s.rnd.IntN(2) == 0}
	r.measured = s.now >= s.start
	e := s.drawEntry()
	for e.dead {
		e = s.drawEntry()
	}
	if r.measured {
		s.offered++
		if r.priority == model.PriorityUrgent {
			s.urgentOffered++
		}
	}
	e.policy.arrive(r)
}

func (s *site) drawEntry() *entry {
	n := s.rnd.IntN(len(s.entries) + s.skew - 1)
	return s.entries[max(n-s.skew+1, 0)]
}

func (s *site) drawPriority() model.Priority {
	switch n := s.rnd.IntN(10); {
	case n == 0:
		return model.PriorityUrgent
	case n <= 2:
		return model.PriorityLow
	}
	return model.PriorityNormal
}

func networkDelay(a, b int) time.Duration {
	if a == b {
		return nearWire
	}
	return farWire
}

// exchange sends a request from e to i, over a connection that delivered a
// response since trusted or over a new one. answered is called when the
// complete response has arrived, and never when the connection or the instance
// is silent. The returned function abandons the exchange.
func (s *site) exchange(e *entry, i *instance, trusted time.Duration, answered func()) (abandon func()) {
	d := networkDelay(e.zone, i.zone)
	var c *conn
	if idle := e.idle[i]; len(idle) > 0 && idle[len(idle)-1].proven >= trusted {
		c = idle[len(idle)-1]
		e.idle[i] = idle[:len(idle)-1]
	} else {
		c = &conn{}
		e.idle[i] = nil
		s.conns = append(s.conns, c)
		d += 2 * d // the handshake
	}
	abandoned := false
	s.after(d, func() {
		if i.dead || c.silent {
			return
		}
		s.serve(i, func() {
			s.after(networkDelay(e.zone, i.zone), func() {
				if i.dead || c.silent || abandoned || e.dead {
					return
				}
				c.proven = s.now
				e.idle[i] = append(e.idle[i], c)
				answered()
			})
		})
	})
	return func() { abandoned = true }
}

func (s *site) serve(i *instance, done func()) {
	if i.busy >= siteSlots {
		s.queued++
		i.queue = append(i.queue, done)
		return
	}
	i.busy++
	median := float64(meanService) * math.Exp(-serviceSigma*serviceSigma/2)
	d := time.Duration(median * math.Exp(serviceSigma*s.rnd.NormFloat64()) * i.slow(s.now))
	s.after(d, func() {
		i.busy--
		if len(i.queue) > 0 {
			next := i.queue[0]
			i.queue = i.queue[1:]
			s.serve(i, next)
		}
		done()
	})
}

// finish records the end of a request that was sent.
func (s *site) finish(e *entry, r *request, answered bool) {
	if r.over || e.dead {
		return
	}
	r.over = true
	if !r.measured {
		return
	}
	latency := float64(s.now-r.arrived) / float64(time.Millisecond)
	s.latencies = append(s.latencies, latency)
	if r.priority == model.PriorityUrgent {
		s.urgent = append(s.urgent, latency)
	}
	if !answered {
		return
	}
	s.answered++
	if r.priority == model.PriorityUrgent {
		s.urgentDone++
	}
}

// refuse records a request that was shed.
func (s *site) refuse(e *entry, r *request) {
	if r.over || e.dead {
		return
	}
	r.over = true
	if r.measured {
		s.shed++
	}
}

func always(time.Duration) float64 { return 1 }

func slowDuring(factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return factor
		}
		return 1
	}
}

func (s *site) failZone(z int) {
	for _, i := range s.instances {
		i.dead = i.dead || i.zone == z
	}
	for _, e := range s.entries {
		e.dead = e.dead || e.zone == z
	}
}

func (s *site) silenceHalf() {
	for _, c := range s.conns {
		c.silent = s.rnd.IntN(2) == 0
	}
	s.conns = slices.DeleteFunc(s.conns, func(c *conn) bool { return c.silent })
}
