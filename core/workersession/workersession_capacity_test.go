package workersession_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/capacity/measure"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

// BenchmarkCapacitySessionHeap measures the heap of the sessions with workers by the
// number of tasks that run there. The agents' heap is excluded.
func BenchmarkCapacitySessionHeap(b *testing.B) {
	const sessions = 100
	for _, tasks := range []int{0, benchTasks} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var perSession float64
			for b.Loop() {
				loops := make([]*loop, sessions)
				for i := range loops {
					loops[i] = newLoop(tasks)
				}
				with := measure.Heap()
				for _, l := range loops {
					l.session = nil
				}
				perSession = float64(with-measure.Heap()) / sessions
				runtime.KeepAlive(loops)
			}
			b.ReportMetric(perSession, "heap-B/session")
		})
	}
}

// BenchmarkCapacitySecond measures one second of the session with a worker on which 15
// tasks run and nothing changes: ten ticks and the renewals, encoded and decoded. The
// agent's own work is excluded. In the variant by name the agent does not support the
// hash.
func BenchmarkCapacitySecond(b *testing.B) {
	for _, mode := range renewModes {
		b.Run(mode.name, func(b *testing.B) {
			benchmarkSecond(b, newLoopWith(benchTasks, workersession.Options{}, mode.flaws))
		})
	}
}

// BenchmarkCapacityReportEvery is BenchmarkCapacitySecond by the interval between full
// reports.
func BenchmarkCapacityReportEvery(b *testing.B) {
	for _, every := range []time.Duration{10 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 10 * time.Minute} {
		b.Run(every.String(), func(b *testing.B) {
			benchmarkSecond(b, newLoopWith(benchTasks, workersession.Options{ReportEvery: every}, worker.Flaws{}))
		})
	}
}

func benchmarkSecond(b *testing.B, l *loop) {
	bytes, messages := 0, 0
	spent := time.Duration(0)
	start := l.now
	for b.Loop() {
		for l.now.Sub(start) < 20*time.Second {
			l.now = l.now.Add(100 * time.Millisecond)
			begin := measure.Processor()
			l.step(workersession.Permission{Full: true})
			l.step(workersession.Tick{})
			spent += measure.Processor() - begin
			if l.sent == nil {
				continue
			}
			send := l.sent
			l.sent = nil
			resp := l.agent.Apply(send.Req)
			encoded, err := proto.Marshal(resp)
			if err != nil {
				b.Fatal(err)
			}
			begin = measure.Processor()
			request, err := proto.Marshal(send.Req)
			if err != nil {
				b.Fatal(err)
			}
			proto.Reset(resp)
			if err := proto.Unmarshal(encoded, resp); err != nil {
				b.Fatal(err)
			}
			l.step(workersession.Answered{ID: send.ID, Resp: resp, ReceivedAt: l.now})
			spent += measure.Processor() - begin
			bytes += len(request) + len(encoded)
			messages += 2
		}
		start = l.now
	}
	seconds := float64(b.N) * 20
	b.ReportMetric(float64(spent.Nanoseconds())/seconds, "cpu-ns/worker-s")
	b.ReportMetric(float64(bytes)/seconds, "B/worker-s")
	b.ReportMetric(float64(messages)/seconds, "messages/worker-s")
}

// BenchmarkCapacityLife measures the bytes that the life of one task adds to the
// messages with its worker: its start, one renewal, its stop, and its Forget command.
// A task that ends by itself is reported with a renewal and costs no more.
func BenchmarkCapacityLife(b *testing.B) {
	const lives = 15
	var perLife float64
	for b.Loop() {
		l := newLoop(0)
		bytes := 0
		exchange := func(ev workersession.Event) {
			l.step(ev)
			send := l.untilSend()
			bytes += proto.Size(send.Req) + proto.Size(l.agent.Apply(send.Req))
			l.answer()
		}
		exchange(workersession.Desired{Tasks: benchDesired(lives, workersession.Start)})
		exchange(workersession.Desired{Tasks: benchDesired(lives, workersession.Keep)})
		exchange(workersession.Desired{Tasks: benchDesired(lives, workersession.Stop)})
		exchange(workersession.Desired{})
		perLife = float64(bytes) / lives
	}
	b.ReportMetric(perLife, "B/life")
}
