package abuse

import (
	"fmt"
	"slices"
	"strings"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
)

const (
	// bodyLimit and headLimit are the users' limits, in bytes.
	bodyLimit = 262144
	headLimit = 16384
	// hold is how long clients keep back the end of a body.
	hold = 1500 * time.Millisecond
	// farTooLarge is many times headLimit.
	farTooLarge = 900_000
)

// Bodies returns the crowds that fill the memory with bodies.
func Bodies() []Crowd {
	return []Crowd{
		{"held bodies", 1000, Jobs, func(s *Session) { s.postHeld(padded(bodyLimit)) }},
		{"held chunks", 600, Jobs, func(s *Session) { s.postChunks(padded(bodyLimit), 4096) }},
		{"bodies that stall", 1500, Jobs, func(s *Session) { s.postSlowly(padded(bodyLimit), 200_000) }},
		{"bodies that stop", 3800, Jobs, func(s *Session) { s.postPart(padded(bodyLimit), bodyLimit/2) }},
		{"bodies without a route", 1000, NoRoute, func(s *Session) { s.postHeld(padded(bodyLimit)) }},
		{"bodies to readiness", 1000, Readiness, func(s *Session) { s.postHeld(padded(bodyLimit)) }},
		{"endless bodies", 200, Jobs, (*Session).postEndless},
		{"endless chunks", 200, Jobs, (*Session).postEndlessChunks},
		{"endless chunks without a route", 200, NoRoute, (*Session).postEndlessChunks},
		{"endless bodies to readiness", 200, Readiness, (*Session).postEndless},
	}
}

// Pieces returns the crowds whose requests come in tiny pieces.
func Pieces() []Crowd {
	return []Crowd{
		{"tiny chunks", 400, Jobs, func(s *Session) { s.postChunks(padded(20_000), 1) }},
		{"chunks one by one", 400, Jobs, func(s *Session) { s.postPieces(chunks(padded(20_000), 1), chunkedLine) }},
		{"bytes one by one", 400, Jobs, func(s *Session) { s.postPieces(padded(20_000), lengthLine(20_000)) }},
	}
}

// Fields returns the crowds whose bodies are of legal size and have very many short fields.
func Fields() []Crowd {
	return []Crowd{
		{"empty steps", 200, Jobs, func(s *Session) { s.postWhole(emptySteps(bodyLimit)) }},
		{"short dependencies", 300, Jobs, func(s *Session) { s.postWhole(shortDependencies(bodyLimit)) }},
		{"unknown fields", 300, Jobs, func(s *Session) { s.postWhole(unknownFields(bodyLimit)) }},
		{"deep bodies", 300, Jobs, func(s *Session) { s.postWhole(deep(bodyLimit)) }},
	}
}

// Heads returns the crowds that fill the memory with heads.
func Heads() []Crowd {
	return []Crowd{
		{"legal heads", 1500, NoRoute, func(s *Session) { s.getWith(shortFields(15_800)) }},
		{"legal heads to jobs", 1500, Jobs, func(s *Session) { s.getWith(shortFields(15_800)) }},
		{"large heads", 100, NoRoute, func(s *Session) { s.getWith(shortFields(farTooLarge)) }},
		{"large heads to readiness", 100, Readiness, func(s *Session) { s.getWith(shortFields(farTooLarge)) }},
		{"long paths", 60, NoRoute, (*Session).getLongPath},
	}
}

// Idlers returns the crowds that keep connections and send slowly or nothing.
func Idlers() []Crowd {
	return []Crowd{
		{"silent", 4200, Jobs, (*Session).idle},
		{"silent at readiness", 4200, Readiness, (*Session).idle},
		{"idle after a request", 4200, Jobs, (*Session).getThenIdle},
		{"idle at readiness", 4200, Readiness, (*Session).getThenIdle},
		{"slow heads", 3800, Jobs, (*Session).sendHeadSlowly},
		{"slow heads to readiness", 3800, Readiness, (*Session).sendHeadSlowly},
		{"slow bodies", 4200, Jobs, func(s *Session) { s.postSlowly(padded(bodyLimit), 1) }},
		{"slow bodies without a route", 4200, NoRoute, func(s *Session) { s.postSlowly(padded(bodyLimit), 1) }},
		{"slow bodies to readiness", 4200, Readiness, func(s *Session) { s.postSlowly(padded(bodyLimit), 1) }},
	}
}

// Holders returns those crowds of Idlers that take all connections of a daemon for long.
func Holders() []Crowd {
	return slices.DeleteFunc(Idlers(), func(c Crowd) bool { return !slices.Contains([]string{"idle after a request", "slow bodies"}, c.Name) })
}

// Valid returns the crowds whose jobs are accepted.
func Valid() []Crowd {
	return []Crowd{
		{"small jobs", 50, Jobs, func(s *Session) { s.postWhole(validJob(1, 1, "")) }},
		{"jobs of many images", 50, Jobs, (*Session).postImages},
		{"jobs of many tasks", 50, Jobs, func(s *Session) { s.postWhole(validJob(1, mostTasks, "")) }},
		{"jobs of many steps", 50, Jobs, func(s *Session) { s.postWhole(validJob(mostSteps, 1, strings.Repeat("x", mostSpecification))) }},
	}
}

// Ahead returns the crowds that send many requests, and read no or few answers.
func Ahead() []Crowd {
	return []Crowd{
		{"states sent ahead", 300, Jobs, func(s *Session) { s.sendAhead("GET", "") }},
		{"submissions sent ahead", 300, Jobs, func(s *Session) { s.sendAhead("POST", tinyJob) }},
		{"cancels sent ahead", 300, Jobs, func(s *Session) { s.sendAhead("DELETE", "") }},
		{"readiness sent ahead", 300, Readiness, func(s *Session) { s.sendAhead("GET", "") }},
		{"sent ahead without a route", 300, NoRoute, func(s *Session) { s.sendAhead("POST", tinyJob) }},
		{"slow readers", 3800, Jobs, (*Session).readSlowly},
		{"connections that come and go", 200, Jobs, func(s *Session) { s.getWith("Connection: close\r\n") }},
	}
}

// tinyJob is a job that cannot be: its step has no tasks.
const tinyJob = `{"steps":[{}]}`

// padded returns a body of n bytes that is JSON and declares no valid job.
func padded(n int) string {
	const begin, end = `{"steps":[],"x":"`, `"}`
	return begin + strings.Repeat("x", n-len(begin)-len(end)) + end
}

// list returns a JSON object of at most n bytes with a list of equal elements.
func list(begin, element, end string, n int) string {
	room := n - len(begin) - len(end)
	return begin + strings.TrimSuffix(strings.Repeat(element+",", room/(len(element)+1)), ",") + end
}

// The most steps and tasks of a job that is accepted, and the longest specification, in
// bytes.
const (
	mostSteps         = 256
	mostTasks         = 900
	mostSpecification = 4000
)

// validJob returns a job of steps that follow each other.
func validJob(steps, tasks int, specification string) string {
	list := make([]string, steps)
	for i := range list {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		list[i] = fmt.Sprintf(`{"count":%d,"cpu":1000,"memMb":500,"estimatedMs":500%s}`, tasks, after)
	}
	return fmt.Sprintf(`{"specification":"%s","steps":[%s]}`, specification, strings.Join(list, ","))
}

func emptySteps(n int) string { return list(`{"steps":[`, `{}`, `]}`, n) }

func shortDependencies(n int) string { return list(`{"steps":[{"count":1,"after":[`, `0`, `]}]}`, n) }

func unknownFields(n int) string { return list(`{`, `"":0`, `}`, n) }

// deep returns lists in lists.
func deep(n int) string {
	const levels = 9000
	one := strings.Repeat("[", levels) + strings.Repeat("]", levels)
	return list(`{"x":[`, one, `]}`, n)
}

// shortFields returns n bytes of header fields with short names that differ.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < n-8; i++ {
		for v := i; ; v /= len(letters) {
			b.WriteByte(letters[v%len(letters)])
			if v < len(letters) {
				break
			}
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// postWhole sends a body at once and reads the answer, again and again.
func (s *Session) postWhole(body string) {
	for s.send(s.head("POST", s.path(), lengthLine(len(body)))+body) && s.answer() {
	}
}

// imagesJob is a job of a task that serves and one that runs beside it, both small.
const imagesJob = `{"specification":"` + standin.LongRunning + `","steps":[{"count":1,"cpu":10,"memMb":1,"estimatedMs":500,"image":"a%[1]x","targetMs":50,"longRunning":true},{"count":1,"cpu":10,"memMb":1,"estimatedMs":500,"image":"b%[1]x","fills":true}]}`

// postImages submits jobs whose images nobody else has.
func (s *Session) postImages() {
	for {
		body := fmt.Sprintf(imagesJob, s.rnd.Uint64())
		if !s.send(s.head("POST", s.path(), lengthLine(len(body)))+body) || !s.answer() {
			return
		}
	}
}

// postHeld keeps back the last byte of a body.
func (s *Session) postHeld(body string) {
	head := s.head("POST", s.path(), lengthLine(len(body)))
	if s.send(head+body[:len(body)-1]) && s.wait(hold) && s.send(body[len(body)-1:]) {
		s.answer()
	}
}

// postChunks sends a body in chunks and keeps back the last one.
func (s *Session) postChunks(body string, size int) {
	head := s.head("POST", s.path(), chunkedLine)
	if s.send(head+chunks(body, size)) && s.wait(hold) && s.send(lastChunk) {
		s.answer()
	}
}

// postPieces sends what follows a head byte by byte, as fast as it can.
func (s *Session) postPieces(body, line string) {
	const pieceSize = 6
	if s.send(s.head("POST", s.path(), line)) && s.sendEach(body, pieceSize, 0) {
		s.wait(hold)
	}
}

// slowInterval is the time between two bytes of a slow client.
const slowInterval = time.Second

// postSlowly sends the first bytes of a body at once and the others one by one.
func (s *Session) postSlowly(body string, first int) {
	if s.send(s.head("POST", s.path(), lengthLine(len(body))) + body[:first]) {
		s.sendEach(body[first:], 1, slowInterval)
	}
}

// postPart sends the first bytes of a body and no more.
func (s *Session) postPart(body string, first int) {
	if s.send(s.head("POST", s.path(), lengthLine(len(body))) + body[:first]) {
		s.idle()
	}
}

// endless is the announced length of an endless body, and pieceBytes that of what is sent
// of it at once.
const (
	endless    = 1 << 40
	pieceBytes = 16 << 10
)

func (s *Session) postEndless() {
	piece := strings.Repeat("x", pieceBytes)
	for ok := s.send(s.head("POST", s.path(), lengthLine(endless))); ok; {
		ok = s.send(piece)
	}
}

func (s *Session) postEndlessChunks() {
	piece := chunks(strings.Repeat("x", pieceBytes), pieceBytes)
	for ok := s.send(s.head("POST", s.path(), chunkedLine)); ok; {
		ok = s.send(piece)
	}
}

// getWith sends requests with further lines in their heads.
func (s *Session) getWith(lines string) {
	for s.send(s.head("GET", s.path(), lines)) && s.answer() {
	}
}

func (s *Session) getLongPath() {
	for s.send(s.head("GET", "/"+strings.Repeat("a", farTooLarge), "")) && s.answer() {
	}
}

func (s *Session) sendHeadSlowly() {
	s.sendEach(s.head("GET", s.path(), "X-A: "+strings.Repeat("a", headLimit/2)+"\r\n"), 1, slowInterval)
}

// getThenIdle sends one request and keeps the connection.
func (s *Session) getThenIdle() {
	if s.send(s.head("GET", s.path(), "")) && s.answer() {
		s.idle()
	}
}

// aheadRequests is how many requests a client sends ahead at once.
const aheadRequests = 500

// sendAhead sends requests and reads no answer.
func (s *Session) sendAhead(method, body string) {
	lines := ""
	if body != "" {
		lines = lengthLine(len(body))
	}
	requests := s.crowd.prepared(func() string {
		var b strings.Builder
		for range aheadRequests {
			b.WriteString(s.head(method, s.path(), lines) + body)
		}
		return b.String()
	})
	for s.send(requests) {
	}
}

// readSlowly sends requests ahead, and reads their answers a byte a second.
func (s *Session) readSlowly() {
	const requests = 50
	var b strings.Builder
	for range requests {
		b.WriteString(s.head("GET", s.path(), ""))
	}
	for s.send(b.String()) {
		for range requests {
			if _, err := s.answers.ReadByte(); err != nil || !s.wait(slowInterval) {
				return
			}
		}
	}
}
