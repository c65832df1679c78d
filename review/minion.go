package review

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// maxHold is the longest lease that a minion accepts.
const maxHold = 10 * time.Second

// How a run ends.
const (
	Done    = "done"
	Stopped = "stopped"
	Lapsed  = "lapsed"
)

// Start is a run that a minion has begun.
type Start struct {
	Minion, Task string
	Run          int
	At           time.Time
}

// Plan says how long a run lasts and how it ends.
type Plan func(s Start) (time.Duration, string)

// Minion is one life of a minion.
type Minion struct {
	ID     string
	site   *Site
	server *httptest.Server
	began  time.Time

	mu       sync.Mutex
	epoch    int64
	lease    time.Time
	expiry   *time.Timer
	running  map[string]*run
	barred   map[string]int
	finished []finish
	number   int64
	changed  chan struct{}
}

type run struct {
	task   string
	number int
	began  time.Time
	life   time.Duration
	timer  *time.Timer
}

type finish struct {
	number int64
	task   string
	run    int
	how    string
}

func newMinion(site *Site, id string) *Minion {
	m := &Minion{
		ID: id, site: site, began: time.Now(), running: make(map[string]*run), barred: make(map[string]int),
		changed: make(chan struct{}),
	}
	m.server = httptest.NewServer(m)
	return m
}

// Address returns the minion's host:port.
func (m *Minion) Address() string { return m.server.Listener.Addr().String() }

func (m *Minion) clock() int64 { return time.Since(m.began).Milliseconds() + 1 }

// call is the body of every call to a minion.
type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

type reply struct {
	ClockMs  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// ServeHTTP implements http.Handler.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != m.ID {
		m.answer(w, http.StatusMisdirectedRequest, reply{})
		return
	}
	m.mu.Lock()
	fenced := c.FencingToken < m.epoch
	m.epoch = max(m.epoch, c.FencingToken)
	m.mu.Unlock()
	if fenced {
		m.answer(w, http.StatusConflict, reply{Reason: "fence"})
		return
	}
	switch r.URL.Path {
	case "/run-start":
		m.serveStart(w, c)
	case "/run-stop":
		m.serveStop(w, c)
	case "/hold":
		m.serveHold(w, r, c)
	case "/pace":
		m.answer(w, http.StatusOK, reply{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer answers a call.
func (m *Minion) answer(w http.ResponseWriter, status int, body reply) {
	body.ClockMs = m.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if json.NewEncoder(w).Encode(body) != nil {
		return
	}
}

func (m *Minion) serveStart(w http.ResponseWriter, c call) {
	m.mu.Lock()
	reason := ""
	r := m.running[c.Task]
	switch {
	case c.UntilMs <= m.clock():
		reason = "late"
	case m.barred[c.Task] >= c.Run:
		reason = "old"
	case r != nil && r.number >= c.Run:
		m.extend(c.UntilMs)
	default:
		m.extend(c.UntilMs)
		m.begin(c)
	}
	m.mu.Unlock()
	if reason != "" {
		m.answer(w, http.StatusConflict, reply{Reason: reason})
		return
	}
	m.answer(w, http.StatusOK, reply{})
}

// begin begins a run. m.mu is held.
func (m *Minion) begin(c call) {
	s := Start{Minion: m.ID, Task: c.Task, Run: c.Run, At: time.Now()}
	life, how := m.site.noteStart(s)
	r := &run{task: c.Task, number: c.Run, began: s.At, life: life}
	m.running[c.Task] = r
	r.timer = time.AfterFunc(life, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(r, how)
	})
}

// end ends a run. m.mu is held.
func (m *Minion) end(r *run, how string) {
	if m.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.running, r.task)
	m.barred[r.task] = max(m.barred[r.task], r.number)
	m.number++
	m.finished = append(m.finished, finish{number: m.number, task: r.task, run: r.number, how: how})
	m.site.record.Add("minion %s: run %d of %s ends %s (end number %d)", m.ID, r.number, r.task, how, m.number)
	m.site.noteEnd(r.task, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// extend extends the lease of all that runs. m.mu is held.
func (m *Minion) extend(untilMs int64) {
	if untilMs == 0 {
		return
	}
	until := m.began.Add(time.Duration(untilMs-1) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if !until.After(m.lease) {
		return
	}
	m.lease = until
	if m.expiry == nil {
		m.expiry = time.AfterFunc(time.Until(until), m.lapse)
		return
	}
	m.expiry.Reset(time.Until(until))
}

// lapse ends all that runs because the lease has expired.
func (m *Minion) lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.lease) {
		return
	}
	m.site.record.Add("minion %s: its lease expires; %d runs are killed by that", m.ID, len(m.running))
	for _, r := range m.running {
		m.end(r, Lapsed)
	}
}

func (m *Minion) serveStop(w http.ResponseWriter, c call) {
	m.mu.Lock()
	m.barred[c.Task] = max(m.barred[c.Task], c.Run)
	if r := m.running[c.Task]; r != nil && r.number <= c.Run {
		m.end(r, Stopped)
	}
	m.mu.Unlock()
	m.answer(w, http.StatusOK, reply{})
}

// serveHold renews the lease, forgets the ends that were seen and reports, as soon
// as there is an end to report or the wait is over.
func (m *Minion) serveHold(w http.ResponseWriter, r *http.Request, c call) {
	wait := time.NewTimer(time.Duration(c.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for waiting := true; ; {
		m.mu.Lock()
		m.extend(c.UntilMs)
		m.forget(c.LastSeen)
		report, changed := m.report(), m.changed
		m.mu.Unlock()
		if len(report.Finished) > 0 || !waiting {
			m.answer(w, http.StatusOK, report)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-wait.C:
			waiting = false
		}
	}
}

// forget drops the ends up to lastSeen. m.mu is held.
func (m *Minion) forget(lastSeen int64) {
	for len(m.finished) > 0 && m.finished[0].number <= lastSeen {
		e := m.finished[0]
		m.finished = m.finished[1:]
		m.site.record.Add("minion %s: end number %d (run %d of %s, %s) is taken note of", m.ID, e.number, e.run, e.task, e.how)
	}
}

// maxListed is how many ends a report lists.
const maxListed = 500

// report lists what runs and the ends that were not seen. m.mu is held.
func (m *Minion) report() reply {
	var out reply
	for _, r := range m.running {
		percent := 100
		if r.life > 0 {
			percent = min(int(100*time.Since(r.began)/r.life), 99)
		}
		out.Running = append(out.Running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range m.finished[:min(len(m.finished), maxListed)] {
		out.Finished = append(out.Finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return out
}

// tasks returns the names of the tasks that run.
func (m *Minion) tasks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.running))
}
