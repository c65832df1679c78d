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

// manualClock is a clock that advances only when a test does so.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Wall() time.Time { return c.Now() }

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// scriptedReader is a port.KeyReader whose calls are answered by the functions of the
// script in turn. A call beyond the script closes done and returns when its context
// ends.
type scriptedReader struct {
	mu     sync.Mutex
	script []func() (port.KeyChange, error)
	// calls names the calls that were made, in order.
	calls []string
	done  chan struct{}
}

func (s *scriptedReader) answer(ctx context.Context, call string) (port.KeyChange, error) {
	s.mu.Lock()
	if len(s.script) == 0 {
		s.mu.Unlock()
		close(s.done)
		<-ctx.Done()
		return port.KeyChange{}, ctx.Err()
	}
	next := s.script[0]
	s.script = s.script[1:]
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	return next()
}

func (s *scriptedReader) Get(ctx context.Context, _ string) (port.KeyValue, error) {
	a, err := s.answer(ctx, "get")
	return a.KeyValue, err
}

func (s *scriptedReader) AwaitChange(ctx context.Context, _ string, _ int64) (port.KeyChange, error) {
	return s.answer(ctx, "await")
}

// version responds with a version of the configuration.
func version(n int) func() (port.KeyChange, error) {
	return func() (port.KeyChange, error) {
		kv := port.KeyValue{Key: "config", Value: []byte(strconv.Itoa(n)), ModRevision: int64(n)}
		return port.KeyChange{KeyValue: kv, Changed: true, Revision: int64(n)}, nil
	}
}

// failing responds with an error of the store.
func failing(kind port.StoreErrorKind) func() (port.KeyChange, error) {
	return func() (port.KeyChange, error) { return port.KeyChange{}, &port.StoreError{Call: "Get", Kind: kind} }
}

// decodeNumber decodes a configuration that consists of its version, with a queue
// "q".
func decodeNumber(data []byte) (*job.Config, error) {
	n, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, &job.RecordError{Kind: KindConfiguration, Cause: err}
	}
	return &job.Config{Version: n, Queues: map[string]*job.Queue{"q": {Name: "q"}}}, nil
}

// newFeed returns a feed whose configuration must apply within 2 s, or 7 s while the
// store is unstable.
func newFeed(clock Clock, source port.KeyReader, peers func(context.Context, string) (port.KeyValue, error)) *ConfigFeed {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewConfigFeed(ConfigFeedOptions{
		Source: source, Key: "config", Decode: decodeNumber, Peers: peers, ApplyWithin: 2 * time.Second, Stretch: 5 * time.Second,
		Clock: clock, Log: log, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

// play runs a feed until the script of its source has been used up.
func play(t *testing.T, f *ConfigFeed, source *scriptedReader) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	select {
	case <-source.done:
	case <-time.After(20 * time.Second):
		t.Fatal("the feed did not make all calls of the script")
	}
}

func queueNamed(name string) func(*job.Config) *job.Queue {
	return func(c *job.Config) *job.Queue { return c.Queues[name] }
}

// Guards against answers from a configuration that may have been replaced longer ago
// than a replaced one may stay in force: that there is no such queue, and jobs
// accepted.
func TestAgeOfTheConfiguration(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	source := &scriptedReader{done: make(chan struct{}), script: []func() (port.KeyChange, error){version(3)}}
	f := newFeed(clock, source, nil)
	if err := f.CheckAge(); err == nil {
		t.Error("CheckAge accepts a missing configuration")
	}
	play(t, f, source)
	var old *StaleConfigurationError
	var unknown *UnknownQueueError
	for _, c := range []struct {
		age             time.Duration
		sure, takesJobs bool
	}{{2 * time.Second, true, true}, {2001 * time.Millisecond, false, true}, {7 * time.Second, false, true}, {7001 * time.Millisecond, false, false}} {
		clock.advance(c.age - f.Age())
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

// Guards against an age that does not follow what the store says: a configuration
// must not grow old while the store confirms that it is unchanged, nor because a
// newer one cannot be decoded.
func TestConfirmedConfigurationStaysFresh(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	wait := func(a port.KeyChange) func() (port.KeyChange, error) {
		return func() (port.KeyChange, error) {
			clock.advance(1100 * time.Millisecond)
			return a, nil
		}
	}
	damaged := port.KeyChange{KeyValue: port.KeyValue{Key: "config", Value: []byte("x"), ModRevision: 4}, Changed: true}
	for _, c := range []struct {
		name string
		last port.KeyChange
		age  time.Duration
	}{
		{"unchanged", port.KeyChange{Unchanged: time.Second}, 100 * time.Millisecond},
		{"cut short", port.KeyChange{}, 1100 * time.Millisecond},
		{"unreadable", damaged, 1100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := &scriptedReader{done: make(chan struct{}), script: []func() (port.KeyChange, error){version(3), wait(port.KeyChange{}), wait(c.last)}}
			f := newFeed(clock, source, nil)
			play(t, f, source)
			if age := f.Age(); age != c.age || f.Current().Version != 3 {
				t.Errorf("version %d, age %s", f.Current().Version, age)
			}
		})
	}
}

// Guards against transferring several large versions one after the other when only
// the newest matters.
func TestSeveralLargeVersionsAtOnce(t *testing.T) {
	source := &scriptedReader{done: make(chan struct{}), script: []func() (port.KeyChange, error){
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

// Guards against reads of a configuration that is too large, one after the other
// without a delay and without being counted as failures.
func TestConfigurationTooLargeToBeRead(t *testing.T) {
	source := &scriptedReader{done: make(chan struct{}), script: []func() (port.KeyChange, error){
		failing(port.StoreTooLarge), failing(port.StoreTooLarge),
	}}
	f := newFeed(BootClock{}, source, nil)
	play(t, f, source)
	if f.failures.count != 2 {
		t.Errorf("%d failures", f.failures.count)
	}
}

// Guards against load from failing reads that are repeated without a delay.
func TestFailedReadsBackOff(t *testing.T) {
	f := newFeed(BootClock{}, nil, nil)
	var pauses []time.Duration
	for range 6 {
		f.recordFailure(&port.StoreError{Call: "Get", Kind: port.StoreTimeout, Cause: &port.TransferError{Bytes: 1000}})
		pauses = append(pauses, f.retryDelay())
	}
	for i, want := range []time.Duration{100, 200, 400, 800, 800, 800} {
		if pauses[i] != want*time.Millisecond {
			t.Errorf("after %d failures %s", i+1, pauses[i])
		}
	}
	f.clearFailures()
	if f.failures.bytes != 0 || f.retryDelay() != configRetryDelay {
		t.Errorf("after a good read: %+v", f.failures)
	}
}

// Guards against a daemon whose direct access to the store works again and that still
// waits for the response of another daemon, which has exited without closing its
// connection.
func TestPeerReadsDoNotDelayDirectReads(t *testing.T) {
	source := &scriptedReader{done: make(chan struct{}), script: []func() (port.KeyChange, error){failing(port.StoreTimeout), version(4)}}
	f := newFeed(BootClock{}, source, func(ctx context.Context, _ string) (port.KeyValue, error) {
		<-ctx.Done()
		return port.KeyValue{}, ctx.Err()
	})
	play(t, f, source)
	if f.Current().Version != 4 {
		t.Errorf("version %d", f.Current().Version)
	}
}

// Guards against a daemon that fills its link with repeated reads of a large
// configuration through another daemon.
func TestPeerReadsLeaveBandwidth(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	reads := 0
	f := newFeed(clock, nil, func(context.Context, string) (port.KeyValue, error) {
		reads++
		clock.advance(time.Second)
		return port.KeyValue{Key: "config", Value: []byte("5"), ModRevision: 5}, nil
	})
	const looks = 200
	for range looks {
		if f.beginPeerRead() {
			f.readThroughPeer(context.Background())
		}
		clock.advance(100 * time.Millisecond)
	}
	if most := looks/50 + 1; reads > most || f.Current().Version != 5 {
		t.Errorf("%d reads of a second each in some %d s, want %d at most", reads, looks/10+reads, most)
	}
}
