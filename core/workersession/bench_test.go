package workersession_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

// benchTasks is the number of tasks on a worker, a little more than the average of
// 47,000 tasks on 3,500 workers.
const benchTasks = 15

// loop is a session and its agent, connected without a network.
type loop struct {
	now     time.Time
	agent   *worker.Agent
	session *workersession.Session
	sent    *workersession.Send
	sends   int
}

func (l *loop) Now() time.Time { return l.now }

func newLoop(tasks int) *loop {
	return newLoopWith(tasks, workersession.Options{}, worker.Flaws{})
}

func newLoopWith(tasks int, o workersession.Options, flaws worker.Flaws) *loop {
	l := &loop{now: epochTime}
	l.agent = worker.New(worker.Options{
		ID:       "w1",
		Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 125000},
		Clock:    l,
		Flaws:    flaws,
	})
	l.session = workersession.New("w1", 7, 5, l.now, true, o)
	l.step(workersession.Permission{Full: true})
	l.step(workersession.Desired{})
	l.answer()
	l.step(workersession.Desired{Tasks: benchDesired(tasks, workersession.Start)})
	for l.sent != nil {
		l.answer()
	}
	l.step(workersession.Desired{Tasks: benchDesired(tasks, workersession.Keep)})
	return l
}

func benchDesired(tasks int, kind workersession.Kind) []workersession.DesiredTask {
	var list []workersession.DesiredTask
	for i := range tasks {
		list = append(list, workersession.DesiredTask{
			Attempt: model.AttemptKey{Task: benchKey(i), Attempt: 3},
			Kind:    kind,
			Start:   benchStart(i),
		})
	}
	return list
}

func benchKey(i int) model.TaskKey {
	return model.TaskKey{Workload: "reorder-service", Generation: 12, Index: uint32(1000 + i)}
}

func benchStart(i int) *workerv1.Start {
	return &workerv1.Start{
		Workload:  "reorder-service",
		Class:     "reorder",
		Service:   i%2 == 0,
		MilliCpu:  1500,
		MemoryMb:  4096,
		Args:      []string{"--region=mvd", "--pool=7"},
		RunMillis: 3_600_000,
	}
}

func (l *loop) step(ev workersession.Event) {
	for _, c := range l.session.Step(l.now, ev) {
		if send, ok := c.(workersession.Send); ok {
			l.sent = &send
			l.sends++
		}
	}
}

func (l *loop) answer() {
	send := l.sent
	l.sent = nil
	l.step(workersession.Answered{ID: send.ID, Resp: l.agent.Apply(send.Req), ReceivedAt: l.now})
}

// untilSend advances the time until the session sends a message.
func (l *loop) untilSend() *workersession.Send {
	for l.sent == nil {
		l.now = l.now.Add(200 * time.Millisecond)
		l.step(workersession.Tick{})
	}
	return l.sent
}

// BenchmarkTick measures a Step in which nothing is due.
func BenchmarkTick(b *testing.B) {
	l := newLoop(benchTasks)
	b.ReportAllocs()
	for b.Loop() {
		l.session.Step(l.now, workersession.Tick{})
	}
}

// BenchmarkRenewal measures renewals of 15 tasks, alternately with and without a full
// report: the Step that sends the message and the Step that handles the response. The
// agent's work is excluded.
func BenchmarkRenewal(b *testing.B) {
	l := newLoop(benchTasks)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		for l.sent == nil {
			l.now = l.now.Add(200 * time.Millisecond)
			b.StartTimer()
			l.step(workersession.Tick{})
			b.StopTimer()
		}
		send := l.sent
		l.sent = nil
		resp := l.agent.Apply(send.Req)
		b.StartTimer()
		l.step(workersession.Answered{ID: send.ID, Resp: resp, ReceivedAt: l.now})
	}
}

// BenchmarkBytes measures the encoded size of messages, without framing: renewals by
// hash with measurements by position, and, with an agent that supports neither,
// renewals and measurements by name.
func BenchmarkBytes(b *testing.B) {
	for _, mode := range renewModes {
		b.Run(mode.name, func(b *testing.B) { benchmarkBytes(b, mode.flaws) })
	}
}

func benchmarkBytes(b *testing.B, flaws worker.Flaws) {
	var sizes sizes
	for b.Loop() {
		l := newLoopWith(benchTasks, workersession.Options{}, flaws)
		for range 30 {
			sizes.take(l.untilSend().Req, l.agent)
			l.answer()
		}
	}
	b.ReportMetric(float64(proto.Size(&workerv1.ApplyRequest{Commands: []*workerv1.Command{{
		Kind: &workerv1.Command_Start{Start: namedStart()},
	}}})), "B/start")
	b.ReportMetric(sizes.renewal, "B/renewal")
	b.ReportMetric(sizes.answer, "B/answer")
	b.ReportMetric(sizes.usage, "B/usage")
	b.ReportMetric(sizes.report, "B/report")
}

// sizes are the sizes of the latest message of each kind.
type sizes struct{ renewal, answer, usage, report float64 }

func (s *sizes) take(req *workerv1.ApplyRequest, agent *worker.Agent) {
	answer := float64(proto.Size(agent.Apply(req)))
	switch {
	case req.GetWantReport():
		s.report = answer
	case req.GetWantUsage():
		s.usage = answer
	default:
		s.answer = answer
		s.renewal = float64(proto.Size(req))
	}
}

// renewModes are the ways to renew leases: by hash, and by name with agents that do
// not support the hash.
var renewModes = []struct {
	name  string
	flaws worker.Flaws
}{
	{"hash", worker.Flaws{}},
	{"names", worker.Flaws{NoRenewHash: true}},
}

func namedStart() *workerv1.Start {
	s := benchStart(0)
	s.Task = benchKey(0).String()
	s.Attempt = 3
	return s
}

// BenchmarkMessageRate measures the message rate of one worker on which nothing
// changes.
func BenchmarkMessageRate(b *testing.B) {
	for _, tasks := range []int{0, benchTasks} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			rate := 0.0
			for b.Loop() {
				l := newLoop(tasks)
				begin, sends := l.now, l.sends
				for l.now.Sub(begin) < 1000*time.Second {
					l.untilSend()
					l.answer()
				}
				rate = float64(l.sends-sends) / l.now.Sub(begin).Seconds()
			}
			b.ReportMetric(rate, "messages/s")
		})
	}
}
