package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/pause"
	"github.com/marjoramflow/marjoramflow/object"
)

// waitingSource answers a call for changes when there are some or its wait is over.
// While silent, running calls bring nothing any more.
type waitingSource struct {
	*fakeSource
	silenced chan struct{}
	asked    atomic.Int64
}

func (s *waitingSource) Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	silenced := s.silenced
	s.mu.Unlock()
	s.asked.Add(1)
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); {
		if !pause.For(ctx, 5*time.Millisecond) {
			return Batch{}, ctx.Err()
		}
		select {
		case <-silenced:
			<-ctx.Done()
			return Batch{}, ctx.Err()
		default:
		}
		if b, _ := s.read(topic, after, true); len(b.Entries) > 0 {
			return b, nil
		}
	}
	return s.read(topic, after, true)
}

// silence lets the running calls hang; new ones work.
func (s *waitingSource) silence() {
	s.set(func(f *fakeSource) {
		close(s.silenced)
		s.silenced = make(chan struct{})
	})
}

// others stands for pollers.
type others struct {
	mu      sync.Mutex
	covered bool
	told    [topics]uint64
}

func (o *others) Covered() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.covered
}

func (o *others) Told(topic Topic) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.told[topic]
}

func (o *others) Answered(Topic, uint64) {}

func (o *others) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

// follow runs a watcher of the manifest in a bubble for a test.
func follow(t *testing.T, test func(t *testing.T, s *waitingSource, o *others, set func() *object.Set)) {
	synctest.Test(t, func(t *testing.T) {
		source := &waitingSource{fakeSource: newFakeSource(), silenced: make(chan struct{})}
		peers := &others{covered: true}
		var mu sync.Mutex
		var last *object.Set
		w := NewWatcher(WatcherConfig{
			Source: source, Regions: regions, Peers: peers, Logger: eventlog.Discard(), OnOrder: func(Order) {},
			Install: func(set *object.Set, _ CallerLimits) {
				mu.Lock()
				defer mu.Unlock()
				last = set
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = w.RunOperator(ctx) })
		source.put(Operator, Entry{Key: "config", Manifest: manifest(1, "s")})
		time.Sleep(time.Second)
		test(t, source, peers, func() *object.Set {
			mu.Lock()
			defer mu.Unlock()
			return last
		})
		cancel()
		tasks.Wait()
	})
}

func services(set func() *object.Set) string {
	if s := set(); s != nil {
		return s.Services[0].Name
	}
	return ""
}

// Guards against every daemon asking the store often: at the planned size that is more
// than the store serves.
func TestCoveredDaemonAsksSeldom(t *testing.T) {
	follow(t, func(t *testing.T, s *waitingSource, _ *others, set func() *object.Set) {
		assert.Equal(t, services(set), "s")
		time.Sleep(2 * time.Minute)
		assert.Assert(t, s.asked.Load() <= 8, "%d calls in two minutes", s.asked.Load())
	})
}

// Guards against a change that is missed on a silent connection: another daemon tells
// its revision.
func TestToldRevisionRenewsTheCall(t *testing.T) {
	follow(t, func(t *testing.T, s *waitingSource, o *others, set func() *object.Set) {
		s.silence()
		s.put(Operator, Entry{Key: "config", Manifest: manifest(2, "new")})
		time.Sleep(time.Second)
		assert.Equal(t, services(set), "s")
		o.set(func() { o.told[Operator] = 2 })
		// The answer may still be on its way over a busy link.
		time.Sleep(time.Second)
		assert.Equal(t, services(set), "s")
		time.Sleep(time.Second)
		assert.Equal(t, services(set), "new")
	})
}

// Guards against a daemon that waits on a silent connection while nobody tells it
// anything.
func TestUncoveredDaemonAsksItself(t *testing.T) {
	follow(t, func(t *testing.T, s *waitingSource, o *others, set func() *object.Set) {
		time.Sleep(5 * time.Second)
		s.silence()
		o.set(func() { o.covered = false })
		s.put(Operator, Entry{Key: "config", Manifest: manifest(2, "new")})
		time.Sleep(time.Second)
		assert.Equal(t, services(set), "new")
	})
}
