package jobservice

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// handClock is a clock that is set by hand.
type handClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) Wall() time.Time { return c.Now() }

func (c *handClock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// scripted is a source of versions: each call is answered by the next function of the
// script, and one beyond it when the context ends.
type scripted struct {
	mu     sync.Mutex
	script []func() (port.Awaited, error)
	// calls names those that were made, in order.
	calls []string
	done  chan struct{}
}

func (s *scripted) answer(ctx context.Context, call string) (port.Awaited, error) {
	s.mu.Lock()
	if len(s.script) == 0 {
		s.mu.Unlock()
		close(s.done)
		<-ctx.Done()
		return port.Awaited{}, ctx.Err()
	}
	next := s.script[0]
	s.script = s.script[1:]
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	return next()
}

func (s *scripted) Get(ctx context.Context, _ string) (port.KeyValue, error) {
	a, err := s.answer(ctx, "get")
	return a.KeyValue, err
}

func (s *scripted) Await(ctx context.Context, _ string, _ int64) (port.Awaited, error) {
	return s.answer(ctx, "await")
}

// version answers with a version of the configuration.
func version(n int) func() (port.Awaited, error) {
	return func() (port.Awaited, error) {
		kv := port.KeyValue{Key: "config", Value: []byte(strconv.Itoa(n)), ModRevision: int64(n)}
		return port.Awaited{KeyValue: kv, Changed: true, Revision: int64(n)}, nil
	}
}

// failing fails with an error of the store.
func failing(kind port.StoreErrorKind) func() (port.Awaited, error) {
	return func() (port.Awaited, error) { return port.Awaited{}, &port.StoreError{Call: "Get", Kind: kind} }
}

// decodeNumber reads a configuration that is its version, with a queue "q".
func decodeNumber(data []byte) (*job.Config, error) {
	n, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, &job.RecordError{Kind: KindConfiguration, Cause: err}
	}
	return &job.Config{Version: n, Queues: map[string]*job.Queue{"q": {Name: "q"}}}, nil
}

// newFeed makes a feed with an age at which it is old of 2 s, and of 7 s.
func newFeed(clock Clock, source port.KeyReader, peers func(context.Context, string) (port.KeyValue, error)) *ConfigFeed {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewConfigFeed(ConfigFeedOptions{
		Source: source, Key: "config", Decode: decodeNumber, Peers: peers, ApplyWithin: 2 * time.Second, Stretch: 5 * time.Second,
		Clock: clock, Log: log, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

// play has a feed follow a script to its end.
func play(t *testing.T, f *ConfigFeed, source *scripted) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	select {
	case <-source.done:
	case <-time.After(20 * time.Second):
		t.Fatal("the script was not played")
	}
}

func queueNamed(name string) func(*job.Config) *job.Queue {
	return func(c *job.Config) *job.Queue { return c.Queues[name] }
}

// Guards against answers by a configuration that may have been replaced longer ago
// than it may stay in force: that there is no such queue, and jobs taken in.
func TestAgeOfTheConfiguration(t *testing.T) {
	clock := &handClock{now: time.Unix(1000, 0)}
	source := &scripted{done: make(chan struct{}), script: []func() (port.Awaited, error){version(3)}}
	f := newFeed(clock, source, nil)
	if err := f.CheckAge(); err == nil {
		t.Error("no configuration is new enough")
	}
	play(t, f, source)
	var old *StaleConfigurationError
	var unknown *UnknownQueueError
	for _, c := range []struct {
		age             time.Duration
		sure, takesJobs bool
	}{{2 * time.Second, true, true}, {2001 * time.Millisecond, false, true}, {7 * time.Second, false, true}, {7001 * time.Millisecond, false, false}} {
		clock.pass(c.age - f.Age())
		if _, q, err := f.FindQueue(queueNamed("q")); err != nil || q.Name != "q" {
			t.Errorf("%s: a queue that is there: %v", c.age, err)
		}
		_, _, err := f.FindQueue(queueNamed("other"))
		if errors.As(err, &unknown) != c.sure || errors.As(err, &old) == c.sure {
			t.Errorf("%s: a queue that is not there: %v", c.age, err)
		}
		if err := f.CheckAge(); (err == nil) != c.takesJobs {
			t.Errorf("%s: %v", c.age, err)
		}
	}
}

// Guards against a configuration that grows old although the store says all the time
// that it has not changed, or that what is newer cannot be read.
func TestConfigurationThatIsConfirmed(t *testing.T) {
	clock := &handClock{now: time.Unix(1000, 0)}
	wait := func(a port.Awaited) func() (port.Awaited, error) {
		return func() (port.Awaited, error) {
			clock.pass(1100 * time.Millisecond)
			return a, nil
		}
	}
	damaged := port.Awaited{KeyValue: port.KeyValue{Key: "config", Value: []byte("x"), ModRevision: 4}, Changed: true}
	for _, c := range []struct {
		name string
		last port.Awaited
		age  time.Duration
	}{
		{"unchanged", port.Awaited{Unchanged: time.Second}, 100 * time.Millisecond},
		{"cut short", port.Awaited{}, 1100 * time.Millisecond},
		{"unreadable", damaged, 1100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := &scripted{done: make(chan struct{}), script: []func() (port.Awaited, error){version(3), wait(port.Awaited{}), wait(c.last)}}
			f := newFeed(clock, source, nil)
			play(t, f, source)
			if age := f.Age(); age != c.age || f.Current().Version != 3 {
				t.Errorf("version %d, age %s", f.Current().Version, age)
			}
		})
	}
}

// Guards against large versions that are all transferred one after the other, when
// only the newest matters.
func TestSeveralLargeVersionsAtOnce(t *testing.T) {
	source := &scripted{done: make(chan struct{}), script: []func() (port.Awaited, error){
		version(3), failing(port.StoreTooLarge), version(9),
	}}
	f := newFeed(BootClock{}, source, nil)
	play(t, f, source)
	if f.Current().Version != 9 || f.failures.count != 0 {
		t.Errorf("version %d, %d failures", f.Current().Version, f.failures.count)
	}
	if want := []string{"get", "await", "get"}; len(source.calls) != 3 || source.calls[2] != want[2] {
		t.Errorf("%v, want %v", source.calls, want)
	}
}

// Guards against reads of a configuration that is too large to be read, one after the
// other without a pause, of which nobody hears.
func TestConfigurationTooLargeToBeRead(t *testing.T) {
	source := &scripted{done: make(chan struct{}), script: []func() (port.Awaited, error){
		failing(port.StoreTooLarge), failing(port.StoreTooLarge),
	}}
	f := newFeed(BootClock{}, source, nil)
	play(t, f, source)
	if f.failures.count != 2 {
		t.Errorf("%d failures", f.failures.count)
	}
}

// Guards against a load of reads that fail one after the other without a pause.
func TestFailedReadsPauseLongerEachTime(t *testing.T) {
	f := newFeed(BootClock{}, nil, nil)
	var pauses []time.Duration
	for range 6 {
		f.readFailed(&port.StoreError{Call: "Get", Kind: port.StoreTimeout, Cause: &port.TransferError{Bytes: 1000}})
		pauses = append(pauses, f.pause())
	}
	for i, want := range []time.Duration{100, 200, 400, 800, 800, 800} {
		if pauses[i] != want*time.Millisecond {
			t.Errorf("after %d failures %s", i+1, pauses[i])
		}
	}
	f.readWell()
	if f.failures.bytes != 0 || f.pause() != configPause {
		t.Errorf("after a good read: %+v", f.failures)
	}
}

// Guards against a daemon whose own way to the store is back, and that waits for an
// answer of another daemon meanwhile, which has gone without a word.
func TestReadsThroughPeersDontHoldUpTheOwnWay(t *testing.T) {
	source := &scripted{done: make(chan struct{}), script: []func() (port.Awaited, error){failing(port.StoreTimeout), version(4)}}
	f := newFeed(BootClock{}, source, func(ctx context.Context, _ string) (port.KeyValue, error) {
		<-ctx.Done()
		return port.KeyValue{}, ctx.Err()
	})
	play(t, f, source)
	if f.Current().Version != 4 {
		t.Errorf("version %d", f.Current().Version)
	}
}

// Guards against a daemon that fills its link with a large configuration which it
// reads through another daemon again and again.
func TestReadsThroughPeersLeaveRoom(t *testing.T) {
	clock := &handClock{now: time.Unix(1000, 0)}
	reads := 0
	f := newFeed(clock, nil, func(context.Context, string) (port.KeyValue, error) {
		reads++
		clock.pass(time.Second)
		return port.KeyValue{Key: "config", Value: []byte("5"), ModRevision: 5}, nil
	})
	const looks = 200
	for range looks {
		if f.peerDue() {
			f.readThroughPeer(context.Background())
		}
		clock.pass(100 * time.Millisecond)
	}
	if most := looks/50 + 1; reads > most || f.Current().Version != 5 {
		t.Errorf("%d reads of a second each in some %d s, want %d at most", reads, looks/10+reads, most)
	}
}
