package workersession_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

// script runs one agent and its owners step by step and records the messages
// between them.
type script struct {
	now   time.Time
	agent *worker.Agent
	text  strings.Builder
}

// Now implements port.Clock.
func (s *script) Now() time.Time { return s.now }

func newScript() *script {
	s := &script{now: epochTime}
	s.agent = worker.New(worker.Options{
		ID:       "w1",
		Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000},
		Clock:    s,
		UsageLag: 2 * time.Second,
	})
	return s
}

// peer is one owner in a script.
type peer struct {
	*script
	name    string
	session *workersession.Session
	sent    []workersession.Send
}

func (s *script) owner(name string, epoch model.Epoch) *peer {
	session := workersession.New("w1", 7, epoch, s.now, false, workersession.Options{
		Lease:       30 * time.Second,
		Margin:      3 * time.Second,
		RenewEvery:  5 * time.Second,
		ReportEvery: 5 * time.Second,
		OutageGrace: 20 * time.Second,
		CallTimeout: 2 * time.Second,
	})
	return &peer{script: s, name: name, session: session}
}

func (s *script) line(format string, args ...any) {
	fmt.Fprintf(&s.text, "%7.1fs  %s\n", s.now.Sub(epochTime).Seconds(), fmt.Sprintf(format, args...))
}

// note adds an explanation to the record.
func (s *script) note(text string) { s.line("-- %s", text) }

// pass advances the time by d for the agent and all owners.
func (s *script) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.agent.Advance()
}

// event gives an event to the session and records its commands.
func (p *peer) event(ev workersession.Event) {
	for _, c := range p.session.Step(p.now, ev) {
		p.line("%s: %s", p.name, commandText(c))
		if send, ok := c.(workersession.Send); ok {
			p.sent = append(p.sent, send)
		}
	}
}

func (p *peer) full()                               { p.event(workersession.Permission{Full: true}) }
func (p *peer) want(t ...workersession.DesiredTask) { p.event(workersession.Desired{Tasks: t}) }
func (p *peer) tick()                               { p.event(workersession.Tick{}) }
func (p *peer) last() workersession.Send            { return p.sent[len(p.sent)-1] }
func (p *peer) fail(id uint64)                      { p.line("%s: #%d timed out", p.name, id); p.failed(id) }
func (p *peer) failed(id uint64) {
	p.event(workersession.Answered{ID: id, Err: context.DeadlineExceeded})
}
func (p *peer) answer()                                   { p.take(p.last().ID, p.execute(p.last())) }
func (p *peer) take(id uint64, r *workerv1.ApplyResponse) { p.event(p.answered(id, r)) }

func (p *peer) answered(id uint64, r *workerv1.ApplyResponse) workersession.Answered {
	return workersession.Answered{ID: id, Resp: r, ReceivedAt: p.now}
}

// execute executes a message at the agent.
func (p *peer) execute(send workersession.Send) *workerv1.ApplyResponse {
	resp := p.agent.Apply(proto.CloneOf(send.Req))
	p.line("agent: answers %s #%d: %s", p.name, send.ID, responseText(resp))
	return resp
}

// idle advances the time by d in steps of a second, answering each message.
func (p *peer) idle(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.pass(time.Second)
		sent := len(p.sent)
		p.tick()
		if len(p.sent) > sent {
			p.answer()
		}
	}
}

func commandText(c workersession.Command) string {
	switch c := c.(type) {
	case workersession.Send:
		return fmt.Sprintf("send #%d %s", c.ID, requestText(c.Req))
	case workersession.Observed:
		return strings.TrimSpace(fmt.Sprintf("observed %v %v %s %s %s",
			c.Attempt, c.State, c.Address, c.Checkpoint, outcomeText(c.Outcome)))
	case workersession.Over:
		return fmt.Sprintf("over %v: %s", c.Attempt, c.Reason)
	case workersession.Usage:
		return fmt.Sprintf("usage %v %dm slowdown %d%% progress %d%% at %.1fs", c.Attempt, c.MilliCPU,
			c.SlowdownPercent, c.ProgressPercent, c.MeasuredAt.Sub(epochTime).Seconds())
	case workersession.Unreachable:
		return fmt.Sprintf("unreachable since %.1fs", c.Since.Sub(epochTime).Seconds())
	}
	name := strings.TrimPrefix(fmt.Sprintf("%T", c), "workersession.")
	return strings.TrimSuffix(fmt.Sprintf("%s %v", strings.ToLower(name), c), " {}")
}

func outcomeText(o workerv1.Outcome) string {
	if o == workerv1.Outcome_OUTCOME_UNSPECIFIED {
		return ""
	}
	return strings.TrimPrefix(o.String(), "OUTCOME_")
}

func requestText(req *workerv1.ApplyRequest) string {
	parts := []string{fmt.Sprintf("epoch %d", req.GetEpoch())}
	if g := req.GetGrant(); g != nil {
		parts = append(parts, fmt.Sprintf("grant %s@%.1fs", g.GetBootId(), float64(g.GetIssuedMillis())/1000))
	}
	for _, c := range req.GetCommands() {
		parts = append(parts, actionText(c))
	}
	for _, t := range req.GetRenew() {
		parts = append(parts, fmt.Sprintf("renew %s#%d", t.GetTask(), t.GetAttempt()))
	}
	if h := req.GetRenewHash(); len(req.GetRenew()) == 0 && h != 0 && h != workerv1.RenewHash(nil) {
		parts = append(parts, "renew hash")
	}
	if req.GetWantUsage() {
		parts = append(parts, "usage?")
	}
	if req.GetWantReport() {
		parts = append(parts, "report?")
	}
	return strings.Join(parts, ", ")
}

func actionText(c *workerv1.Command) string {
	switch k := c.GetKind().(type) {
	case *workerv1.Command_Start:
		return strings.TrimSpace(fmt.Sprintf("start %s#%d %s", k.Start.GetTask(), k.Start.GetAttempt(), k.Start.GetCheckpoint()))
	case *workerv1.Command_Stop:
		return fmt.Sprintf("stop %s#%d checkpoint=%v", k.Stop.GetTask(), k.Stop.GetAttempt(), k.Stop.GetCheckpoint())
	case *workerv1.Command_Throttle:
		return fmt.Sprintf("throttle %s#%d %d%%", k.Throttle.GetTask(), k.Throttle.GetAttempt(), k.Throttle.GetPercent())
	case *workerv1.Command_Forget:
		return fmt.Sprintf("forget %s#%d", k.Forget.GetTask(), k.Forget.GetAttempt())
	}
	return "?"
}

func responseText(resp *workerv1.ApplyResponse) string {
	if resp.GetRefusedEpoch() != 0 {
		return fmt.Sprintf("refused, has seen epoch %d", resp.GetRefusedEpoch())
	}
	g := resp.GetGrant()
	parts := []string{fmt.Sprintf("grant %s@%.1fs", g.GetBootId(), float64(g.GetIssuedMillis())/1000)}
	for _, r := range resp.GetResults() {
		parts = append(parts, fmt.Sprintf("%s#%d %s", r.GetTask(), r.GetAttempt(), outcomeText(r.GetOutcome())))
	}
	for _, t := range resp.GetTasks() {
		state := strings.ToLower(strings.TrimPrefix(t.GetState().String(), "TASK_STATE_"))
		parts = append(parts, strings.TrimSpace(fmt.Sprintf("%s#%d is %s %s", t.GetTask(), t.GetAttempt(), state, t.GetCheckpoint())))
	}
	if resp.GetRenewMismatch() {
		parts = append(parts, "mismatch")
	}
	if resp.GetLeaving() {
		parts = append(parts, "leaving")
	}
	return strings.Join(parts, ", ")
}
