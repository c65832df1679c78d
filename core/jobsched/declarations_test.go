package jobsched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// FuzzDeclarations guards against a job whose declaration ends the leader's process, or
// keeps it from carrying out other jobs. It plays declarations with values of the whole
// range of each field, zero included, as an earlier version may have stored them, with
// cancels, a crash and takeovers, beside an ordinary job that must be completed.
func FuzzDeclarations(f *testing.F) {
	const seeds, length = 150, 160
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 21))
		data := make([]byte, length)
		for i := range data {
			data[i] = byte(rnd.IntN(256))
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := declarations{source: byteSource(data), c: newClusterWith(t, 1, 4, Policies{ShareRoom: true, RejectHopeless: true, WorkerSpeeds: true})}
		d.play()
	})
}

// byteSource draws values from bytes; it continues with zeros.
type byteSource []byte

func (s *byteSource) next() int {
	if len(*s) == 0 {
		return 0
	}
	b := (*s)[0]
	*s = (*s)[1:]
	return int(b)
}

func draw[T any](s *byteSource, values ...T) T { return values[s.next()%len(values)] }

// drawUsual returns one of the usual values, and seldom one of the others.
func drawUsual[T any](s *byteSource, usual []T, values ...T) T {
	if s.next()%12 > 0 {
		return draw(s, usual...)
	}
	return draw(s, values...)
}

// time returns a time in milliseconds of any size and sign.
func (s *byteSource) time() int64 {
	return drawUsual(s, []int64{0, 100, 900, 3000}, -1, 1, 1e12, 1<<53, math.MaxInt64/2+1, math.MaxInt64, math.MinInt64)
}

// bound returns a bound of a number of tasks.
func (s *byteSource) bound() int {
	return drawUsual(s, []int{0, 1, 2}, -1, 1<<40, math.MaxInt/2+1, math.MaxInt)
}

// size returns the size of a task in one resource.
func (s *byteSource) size() int64 {
	return drawUsual(s, []int64{0, 0, 500, 4000}, -1, 1, 16000, 1024*1000, 1<<40, math.MaxInt64/2+1, math.MaxInt64)
}

func (s *byteSource) step(number int) job.Step {
	step := job.Step{
		Count: drawUsual(s, []int{1, 2, 3, 8}, 0, -1, 20001, 1<<62+1, math.MaxInt/2+1, math.MaxInt-1, math.MaxInt),
		Size: model.Resources{
			MilliCPU: s.size(), MemoryMB: s.size(),
			Accelerators: drawUsual(s, []int64{0}, -1, 1, math.MaxInt64/2+1, math.MaxInt64),
		},
		EstimateMs: s.time(), MaxPerWorker: s.bound(), MaxUnavailable: s.bound(), LatencyTargetMs: s.time(),
		Image: draw(s, "", "a", "b"), Label: drawUsual(s, []string{"", "a"}, "unknown"),
	}
	flags := s.next()
	step.Checkpointing, step.Gang, step.SameRack = flags&1 > 0, flags&6 == 6, flags&8 > 0
	step.Speculative, step.LongRunning, step.BestEffort = flags&16 > 0, flags&96 == 96, flags&128 > 0
	if number > 0 && flags&1 > 0 {
		step.After = []int{draw(s, 0, number-1)}
	}
	return step
}

func (s *byteSource) schedule(nowMs int64) *job.Schedule {
	if s.next()%3 > 0 {
		return nil
	}
	return &job.Schedule{
		StartMs:     drawUsual(s, []int64{0, nowMs, nowMs + 700}, -1, math.MinInt64, math.MaxInt64, math.MaxInt64-1000),
		IntervalMs:  drawUsual(s, []int64{300, 900}, 0, 1, -1, math.MaxInt64/2+1, math.MaxInt64),
		Repetitions: drawUsual(s, []int{1, 2, 5}, 0, -1, math.MaxInt),
	}
}

// queue returns the settings of a queue as a job's record has them.
func (s *byteSource) queue() job.Queue {
	return job.Queue{
		Name: draw(s, "urgent", "removed", "batch"), Service: "pool",
		Priority:        drawUsual(s, []int{0, 2}, -1, math.MaxInt, math.MinInt),
		MaxAttempts:     drawUsual(s, []int{3}, 0, -1, math.MaxInt/2+1, math.MaxInt, math.MinInt),
		Stretch:         drawUsual(s, []float64{1.5}, 0, -1, 1e18, math.MaxFloat64),
		LatencyTargetMs: s.time(),
	}
}

// declarations is a play of FuzzDeclarations.
type declarations struct {
	source byteSource
	c      *cluster
	jobs   []job.ID
}

// maxPlayedTasks bounds the tasks of a job, since a play of many tasks is slow.
const maxPlayedTasks = 200

func (d *declarations) play() {
	c, s := d.c, &d.source
	c.checkRounds = s.next()%4 == 0
	c.setAside = func(id job.ID) bool { return c.accepted[id].Spec.CheckLimits() != nil }
	ordinary := c.submit(1, "urgent", makeStep(3, 1000, 700*time.Millisecond), makeStep(2, 1000, 700*time.Millisecond, 0))
	for i := range 1 + s.next()%3 {
		d.submit(job.ID(fmt.Sprintf("%016x", 2+i)))
		c.run(time.Duration(s.next()) * time.Millisecond)
	}
	crashes := 1
	for range 5 {
		switch s.next() % 6 {
		case 0:
			c.replaceLeader()
		case 1:
			if len(d.jobs) > 0 {
				c.cancel(d.jobs[s.next()%len(d.jobs)])
			}
		case 2:
			if w := c.workers[c.workerIDs()[0]]; crashes > 0 && !w.dead {
				crashes--
				c.restart(w)
			}
		}
		c.run(time.Duration(3*s.next()) * time.Millisecond)
	}
	for _, id := range d.jobs {
		c.cancel(id)
	}
	c.replaceLeader()
	c.run(8 * time.Second)
	later := c.submit(9, "urgent", makeStep(2, 1000, 200*time.Millisecond))
	c.run(4 * time.Second)
	for _, id := range []job.ID{ordinary, later} {
		if state := c.state(id); state != job.Completed {
			c.t.Errorf("job %s is %s in the end: %s", id, state, c.describe(id))
		}
	}
	for _, id := range d.jobs {
		if state := c.state(id); !state.Final() {
			c.t.Errorf("canceled job %s is %s in the end: %s", id, state, c.describe(id))
		}
	}
}

// submit stores a job as an earlier version may have, unless its record cannot be read.
func (d *declarations) submit(id job.ID) {
	c, s := d.c, &d.source
	stored := job.Accepted{Spec: job.Spec{Payload: "p", Schedule: s.schedule(c.wall.UnixMilli())}, ConfigVersion: 1}
	for number := range 1 + s.next()%4 {
		stored.Spec.Steps = append(stored.Spec.Steps, s.step(number))
	}
	stored.Queue = s.queue()
	stored.AcceptedAtMs = drawUsual(s, []int64{c.wall.UnixMilli()}, 0, -1, math.MaxInt64, math.MinInt64)
	record, err := job.DecodeAccepted(stored.Encode())
	if err != nil {
		return
	}
	if tasks, _ := record.Spec.Work(); tasks > maxPlayedTasks && tasks <= job.MaxTasks {
		return
	}
	c.accepted[id] = record
	d.jobs = append(d.jobs, id)
	c.machine.Handle(c.now, JobAccepted{ID: id, Record: record})
}
