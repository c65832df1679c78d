package review

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// The names of the one queue and the one service, and what the platform says of
// them.
const (
	Host        = "jobs.example"
	Prefix      = "/jobs/"
	MaxAttempts = 3
	service     = "pool"
	// MinionCPU is what a minion has, in thousandths of a core.
	MinionCPU = 16000
	zone      = "z"
	// heartbeat is the time between two pings of a minion.
	heartbeat = 1500 * time.Millisecond
)

// Site is a small deployment: a store, minions and daemons.
type Site struct {
	Store   *Store
	record  *Record
	dir     string
	plan    Plan
	daemons []*Daemon

	mu      sync.Mutex
	minions []*Minion
	starts  []Start
	// ends counts the ends by job and by how they came.
	ends  map[[2]string]int
	ended chan struct{}
}

// NewSite starts a store and writes the configuration. plan says how runs end.
func NewSite(record *Record, plan Plan) (*Site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Site{
		Store: NewStore(record), record: record, dir: dir, plan: plan, ended: make(chan struct{}),
		ends: make(map[[2]string]int),
	}
	s.Store.Put("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "jobs", "host": Host, "prefix": Prefix, "service": service, "priority": 0,
			"maxAttempts": MaxAttempts, "stretch": 1.5, "targetLatencyMs": 1000, "timeoutMs": 3000,
		}},
		"services": []map[string]any{{"name": service, "admissionCheck": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 60000},
	})
	go s.ping()
	return s, nil
}

// AddMinion starts a minion and enters it in the store.
func (s *Site) AddMinion(id string) *Minion {
	m := newMinion(s, id)
	s.mu.Lock()
	s.minions = append(s.minions, m)
	s.mu.Unlock()
	s.enter(m)
	return m
}

// enter writes the entry of a minion.
func (s *Site) enter(m *Minion) {
	s.Store.Put("servers/"+m.ID, map[string]any{
		"service": service, "address": m.Address(), "zone": zone, "version": "1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": m.clock(), "machine": "m-" + m.ID,
		"capacity": map[string]int{"cpu": MinionCPU, "memMb": 64000, "gpus": 0}, "labels": []string{"a", "r1"},
	})
}

// ping has each minion write its entry once an interval.
func (s *Site) ping() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-ticker.C:
		}
		for _, m := range s.allMinions() {
			s.enter(m)
		}
	}
}

// allMinions returns the minions.
func (s *Site) allMinions() []*Minion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.minions)
}

func (s *Site) noteStart(start Start) (time.Duration, string) {
	s.mu.Lock()
	s.starts = append(s.starts, start)
	s.mu.Unlock()
	s.record.Add("minion %s: run %d of %s starts", start.Minion, start.Run, start.Task)
	return s.plan(start)
}

// StartSmall starts three minions and three daemons, and waits until the daemons are
// ready and one of them has had time to lead.
func (s *Site) StartSmall() error {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.AddMinion(id)
	}
	return s.StartDaemons()
}

// leadTime is what a daemon needs to become the leader and to hear all minions.
const leadTime = 3 * time.Second

// StartDaemons starts three daemons, and waits until they are ready and one of them
// has had time to lead.
func (s *Site) StartDaemons() error {
	for _, name := range []string{"frontend-1", "frontend-2", "frontend-3"} {
		if _, err := s.StartDaemon(name); err != nil {
			return err
		}
	}
	if !s.AwaitReady(20 * time.Second) {
		return errors.New("the daemons did not become ready")
	}
	time.Sleep(leadTime)
	return nil
}

// Daemons returns the daemons in the order of their start.
func (s *Site) Daemons() []*Daemon { return s.daemons }

// noteEnd counts an end.
func (s *Site) noteEnd(task, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[[2]string{jobOf(task), how}]++
}

// Ended returns how many runs of a job have ended in the given way.
func (s *Site) Ended(job, how string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends[[2]string{job, how}]
}

// jobOf returns the job's id in a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// running returns how many tasks run now, in all and by job.
func (s *Site) running() (total int, ofJob map[string]int) {
	ofJob = make(map[string]int)
	for _, m := range s.allMinions() {
		for _, task := range m.tasks() {
			total++
			ofJob[jobOf(task)]++
		}
	}
	return total, ofJob
}

// Starts returns the runs begun so far, in order.
func (s *Site) Starts() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start(nil), s.starts...)
}

// Close ends the daemons, the minions and the store, and removes the folder.
func (s *Site) Close() {
	for _, d := range s.daemons {
		d.kill()
	}
	close(s.ended)
	for _, m := range s.allMinions() {
		m.server.CloseClientConnections()
		m.server.Close()
	}
	s.Store.Close()
	if err := os.RemoveAll(s.dir); err != nil {
		fmt.Fprintln(os.Stderr, "cannot remove the temporary folder:", err)
	}
}
