package abuse

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
	"github.com/guavarill/guavarill/standin/process"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// againAfter is the time after which a client whose connection ended opens another.
	againAfter = 100 * time.Millisecond
	// arrival is the time over which the clients of a crowd come.
	arrival = time.Second
)

// Crowd is many clients that behave in one way.
type Crowd struct {
	Name string
	// Connections is how many come to each daemon that is attacked.
	Connections int
	// Target is what they connect to and ask for.
	Target Target
	// Behave is what a client does with one connection. It ends when a call of the session
	// fails.
	Behave func(*Session)
}

// Target is a path at one of a daemon's interfaces.
type Target int

// The targets.
const (
	// Jobs is a job's path where callers submit jobs.
	Jobs Target = iota
	// NoRoute is a path that no queue has.
	NoRoute
	// Readiness is where the balancer asks whether the daemon is ready.
	Readiness
)

// address returns where a daemon serves the target.
func (t Target) address(p *process.Process) string {
	if t == Readiness {
		return p.Settings.Listen.Readiness
	}
	return p.Front()
}

// crowd is a Crowd at some daemons.
type crowd struct {
	Crowd
	seed      uint64
	addresses []string
	clients   int

	mu     sync.Mutex
	counts map[string]int
	// text is what all clients send; empty until the first one has made it.
	text string
}

// prepared returns the text that all clients send. The first of them makes it: a crowd that
// takes the processors for itself shows little about the daemons.
func (c *crowd) prepared(text func() string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.text == "" {
		c.text = text()
	}
	return c.text
}

func newCrowd(seed uint64, of Crowd, connections int, attacked []*process.Process) *crowd {
	// Crowds of one seed ask for jobs of their own.
	name := fnv.New64a()
	name.Write([]byte(of.Name))
	c := &crowd{Crowd: of, seed: seed ^ name.Sum64(), clients: connections, counts: make(map[string]int)}
	for _, p := range attacked {
		c.addresses = append(c.addresses, c.Target.address(p))
	}
	return c
}

// play has all clients behave until ctx ends.
func (c *crowd) play(ctx context.Context) {
	var clients sync.WaitGroup
	for i, address := range c.addresses {
		for n := range c.clients {
			number := uint64(i*c.clients + n)
			clients.Go(func() { c.client(ctx, address, number) })
		}
	}
	clients.Wait()
}

// client opens one connection after the other until ctx ends.
func (c *crowd) client(ctx context.Context, address string, number uint64) {
	rnd := seeded(c.seed, crowdPart+number)
	pause(ctx, time.Duration(rnd.Int64N(int64(arrival))))
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			c.count("not connected")
			pause(ctx, againAfter)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		c.Behave(&Session{ctx: ctx, crowd: c, conn: conn, answers: bufio.NewReader(conn), rnd: rnd, target: c.Target})
		stop()
		conn.Close()
		if ctx.Err() == nil {
			c.count("ended")
		}
		pause(ctx, againAfter)
	}
}

// crowdPart separates the generators of clients from those of callers.
const crowdPart = 1000

func (c *crowd) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

func (c *crowd) answers() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Session is one connection of a client.
type Session struct {
	ctx     context.Context
	crowd   *crowd
	conn    net.Conn
	answers *bufio.Reader
	rnd     *rand.Rand
	target  Target
}

// path returns a path of the target, with a new job's id where it has one.
func (s *Session) path() string {
	switch s.target {
	case Readiness:
		return "/ready"
	case NoRoute:
		return fmt.Sprintf("/none/%016x", s.rnd.Uint64())
	}
	return fmt.Sprintf("%s%016x", standin.JobsQueue().Prefix, s.rnd.Uint64())
}

// head returns a request's head with the given lines after those that it needs.
func (s *Session) head(method, path, lines string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + standin.JobsQueue().Host + "\r\n" + lines + "\r\n"
}

// send sends text, and reports whether all of it was sent.
func (s *Session) send(text string) bool {
	_, err := s.conn.Write([]byte(text))
	return err == nil
}

// sendEach sends text in pieces with a pause after each.
func (s *Session) sendEach(text string, size int, interval time.Duration) bool {
	for len(text) > 0 {
		n := min(size, len(text))
		if !s.send(text[:n]) || !s.wait(interval) {
			return false
		}
		text = text[n:]
	}
	return true
}

// wait waits, and reports whether the play goes on and the connection is open.
func (s *Session) wait(d time.Duration) bool {
	if d > 0 {
		pause(s.ctx, d)
	}
	return s.ctx.Err() == nil
}

// answer reads and counts an answer, and reports whether another may follow.
func (s *Session) answer() bool {
	response, err := http.ReadResponse(s.answers, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	s.crowd.count(strconv.Itoa(response.StatusCode))
	return !response.Close
}

// idle waits until the connection ends or the play does.
func (s *Session) idle() {
	_, _ = s.answers.ReadByte()
}

// lengthLine returns the line that announces a body of n bytes.
func lengthLine(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n" }

// chunkedLine announces a body in chunks.
const chunkedLine = "Transfer-Encoding: chunked\r\n"

// chunks returns text as chunks of a size, without the last chunk.
func chunks(text string, size int) string {
	var b strings.Builder
	for len(text) > 0 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String()
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"
