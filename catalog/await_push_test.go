package catalog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
)

// waitingSource answers a call for changes when there are some or its wait is over.
type waitingSource struct {
	*fakeSource
	asked atomic.Int64
}

func (s *waitingSource) Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (Batch, error) {
	s.asked.Add(1)
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); {
		if !ctxtime.Sleep(ctx, 5*time.Millisecond) {
			return Batch{}, ctx.Err()
		}
		if b, _ := s.read(topic, after, true); len(b.Records) > 0 {
			return b, nil
		}
	}
	return s.read(topic, after, true)
}

// others stands for pollers.
type others struct {
	mu      sync.Mutex
	covered bool
	told    [topics]uint64
	pushes  chan Push
	// copied are another daemon's copies; a zero revision is none.
	copied [topics]Batch
}

func (o *others) HasPoller() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.covered
}

func (o *others) AnnouncedRevision(topic Topic) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.told[topic]
}

func (o *others) Pushes(Topic) <-chan Push          { return o.pushes }
func (o *others) OnSourceAnswer(Topic, Batch, bool) {}
func (o *others) OnPeerBatch(Topic, Batch, bool)    {}
func (o *others) AwaitPoller(context.Context)       {}
func (o *others) Snapshot(_ context.Context, topic Topic) (Batch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.copied[topic], o.copied[topic].Revision > 0
}
func (o *others) OnSourceFailure(Topic) {}

func (o *others) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

// follow runs a watcher of the manifest in a bubble for a test.
func follow(t *testing.T, test func(t *testing.T, s *waitingSource, o *others, set func() *object.Set)) {
	synctest.Test(t, func(t *testing.T) {
		source := &waitingSource{fakeSource: newFakeSource()}
		peers := &others{covered: true, pushes: make(chan Push, 4)}
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
		source.put(OperatorTopic, Record{Key: "config", Manifest: manifest(1, "s")})
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

// Guards against every daemon asking the store: at the planned size that is more than
// the store serves, and a manifest for each daemon more than a link between regions.
func TestCoveredDaemonTakesPushes(t *testing.T) {
	follow(t, func(t *testing.T, s *waitingSource, o *others, set func() *object.Set) {
		assert.Equal(t, services(set), "s")
		before := s.asked.Load()
		time.Sleep(2 * time.Minute)
		o.pushes <- Push{After: 1, Batch: Batch{Revision: 2, Records: []Record{{Key: "config", Revision: 2, Manifest: manifest(2, "pushed")}}}}
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, services(set), "pushed")
		assert.Equal(t, s.asked.Load(), before)
	})
}

// Guards against a push that is taken although one before it was lost.
func TestPushWithAGapIsReadFromTheSource(t *testing.T) {
	follow(t, func(t *testing.T, s *waitingSource, o *others, set func() *object.Set) {
		s.put(OperatorTopic, Record{Key: "rollout/s", Order: &Order{Service: "s", To: "v2"}})
		s.put(OperatorTopic, Record{Key: "config", Manifest: manifest(2, "read")})
		o.pushes <- Push{After: 2, Batch: Batch{Revision: 3, Records: []Record{{Key: "config", Revision: 3, Manifest: manifest(2, "pushed")}}}}
		time.Sleep(time.Second)
		assert.Equal(t, services(set), "read")
	})
}

// Guards against a change that is lost on its way from another daemon.
func TestToldRevisionIsReadFromTheSource(t *testing.T) {
	follow(t, func(t *testing.T, s *waitingSource, o *others, set func() *object.Set) {
		s.put(OperatorTopic, Record{Key: "config", Manifest: manifest(2, "new")})
		time.Sleep(time.Second)
		assert.Equal(t, services(set), "s")
		o.set(func() { o.told[OperatorTopic] = 2 })
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, services(set), "new")
	})
}

// Guards against a daemon that waits for pushes while nobody pushes.
func TestUncoveredDaemonAsksItself(t *testing.T) {
	follow(t, func(t *testing.T, s *waitingSource, o *others, set func() *object.Set) {
		time.Sleep(5 * time.Second)
		o.set(func() { o.covered = false })
		s.put(OperatorTopic, Record{Key: "config", Manifest: manifest(2, "new")})
		time.Sleep(time.Second)
		assert.Equal(t, services(set), "new")
	})
}

// longRegistry puts more targets into a source than a daemon reads by itself.
func longRegistry(s *fakeSource) {
	for i := range shortTopic + 1 {
		id := fmt.Sprintf("t%03d", i)
		s.put(RegistryTopic, Record{Key: id, Instance: &Instance{ID: id, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), DataCentre: "a", Slots: 1}})
	}
}

// Guards against a daemon that lost the history and goes back to an older copy of
// another daemon, and against a registry of thousands of targets that every daemon of a
// common start reads from the source.
func TestLongTopicIsTakenFromAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeSource()
		source.put(OperatorTopic, Record{Key: "config", Manifest: manifest(1, "s")})
		longRegistry(source)
		var mu sync.Mutex
		targets, completed := 0, 0
		peers := &others{covered: true, pushes: make(chan Push)}
		w := NewWatcher(WatcherConfig{
			Source: source, Regions: regions, Peers: peers, Logger: eventlog.Discard(), OnOrder: func(Order) {},
			Install: func(set *object.Set, _ CallerLimits) {
				mu.Lock()
				defer mu.Unlock()
				targets = len(set.Targets)
			},
			OnComplete: func() {
				mu.Lock()
				defer mu.Unlock()
				completed++
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		copied := Batch{Revision: source.revision, Records: []Record{{Key: "other", Instance: &Instance{ID: "other", Service: "s", Address: "10.1.0.1:80", DataCentre: "a", Slots: 1}}}}
		peers.copied[RegistryTopic] = copied
		tasks.Go(func() { _ = w.RunRegistry(ctx) })
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) { assert.Equal(t, f.calls, 1, "only the first entries are read from the source") })
		mu.Lock()
		assert.Equal(t, completed, 0)
		mu.Unlock()
		operator, stopOperator := context.WithCancel(ctx)
		tasks.Go(func() { _ = w.RunOperator(operator) })
		time.Sleep(time.Second)
		stopOperator()
		synctest.Wait()
		mu.Lock()
		assert.Equal(t, targets, 1, "the copy stands for the source")
		assert.Equal(t, completed, 1)
		mu.Unlock()

		peers.pushes <- Push{After: copied.Revision, Batch: Batch{Revision: copied.Revision + 1}}
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) { f.lost = true })
		peers.set(func() { peers.covered = false })
		time.Sleep(time.Second)
		mu.Lock()
		assert.Equal(t, targets, shortTopic+1, "an older copy is not taken")
		mu.Unlock()
		cancel()
		tasks.Wait()
	})
}
