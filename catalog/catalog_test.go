package catalog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
)

var regions = map[string]string{"a": "north", "b": "south"}

func manifest(version uint64, services ...string) *Manifest {
	m := &Manifest{Version: version, Tiers: []object.Tier{{Name: "t", Deadline: time.Second}}}
	for _, name := range services {
		m.Services = append(m.Services, object.Service{Name: name, Kind: object.PlainService, Discovered: true})
		m.Ingresses = append(m.Ingresses, object.Ingress{
			Name: name, Host: "h", Prefix: "/" + name + "/", Tier: "t", Repeat: object.RepeatSafe, Attempts: 1,
			Timeout: time.Second, Backends: []object.Backend{{Service: name, Weight: 1}},
		})
	}
	return m
}

func instance(id, service string, port int) Instance {
	return Instance{ID: id, Service: service, Address: fmt.Sprintf("10.0.0.1:%d", port), DataCentre: "a", Version: "v1", Slots: 2}
}

func names(set *object.Set) []string {
	out := []string{}
	for _, t := range set.Targets {
		out = append(out, t.Name)
	}
	return out
}

// Guards against a manifest that goes back to an older one.
func TestOlderManifestIsNotTaken(t *testing.T) {
	s := NewState(regions)
	assert.Assert(t, s.Build() == nil)
	assert.Assert(t, s.SetManifest(manifest(4, "s")))
	assert.Assert(t, !s.SetManifest(manifest(3, "old")))
	assert.Assert(t, !s.SetManifest(manifest(4, "same")))
	assert.Equal(t, s.Manifest().Services[0].Name, "s")
}

// Guards against targets of services or places that nobody configured, and against
// requests for a target whose address has another one now.
func TestTargetsThatCannotBeUsedAreLeftOut(t *testing.T) {
	s := NewState(regions)
	s.SetManifest(manifest(1, "s"))
	s.SetInstance(instance("old", "s", 1))
	newer := instance("new", "s", 1)
	newer.StartedAt = time.Unix(9, 0)
	s.SetInstance(newer)
	s.SetInstance(instance("foreign", "other", 2))
	lost := instance("lost", "s", 3)
	lost.DataCentre = "nowhere"
	s.SetInstance(lost)
	set := s.Build()
	assert.NilError(t, set.Check().Err())
	assert.DeepEqual(t, names(set), []string{"new"})
}

// Guards against a version on trial that gets the traffic of the others, and against
// an order that is no move like those of operators.
func TestOrderLabelsItsVersionAndBecomesAMove(t *testing.T) {
	s := NewState(regions)
	s.SetManifest(manifest(1, "s"))
	s.SetInstance(instance("one", "s", 1))
	two := instance("two", "s", 2)
	two.Version = "v2"
	s.SetInstance(two)
	s.SetMove(Move{Order: Order{Service: "s", To: "v2"}, Deadline: time.Now().Add(time.Minute)})
	s.SetMove(Move{Order: Order{Service: "unknown", To: "v2"}, Deadline: time.Now().Add(time.Minute)})
	set := s.Build()
	assert.NilError(t, set.Check().Err())
	assert.Equal(t, set.Targets[0].Versions[0], StableVersion("s"))
	assert.Equal(t, set.Targets[1].Versions[0], CanaryVersion("s"))
	assert.Equal(t, len(set.Moves), 1)
	assert.Equal(t, set.Moves[0].Name, "s.to.v2")
}

// fakeSource serves scripted batches.
type fakeSource struct {
	mu       sync.Mutex
	rows     map[Topic]map[string]Record
	revision uint64
	down     bool
	lost     bool
	calls    int
}

func newFakeSource() *fakeSource {
	return &fakeSource{rows: map[Topic]map[string]Record{OperatorTopic: {}, RegistryTopic: {}}}
}

func (f *fakeSource) put(topic Topic, e Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	e.Revision = f.revision
	f.rows[topic][e.Key] = e
}

func (f *fakeSource) set(change func(*fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

var errDown = errors.New("down")

func (f *fakeSource) Decode(_ Topic, key string, revision uint64, _ []byte) Record {
	return Record{Key: key, Revision: revision}
}

func (f *fakeSource) Snapshot(_ context.Context, topic Topic, most int) (Batch, bool, error) {
	batch, err := f.read(topic, 0, false)
	if most > 0 && len(batch.Records) > most {
		batch.Records = batch.Records[:most]
		return batch, false, err
	}
	return batch, err == nil, err
}

func (f *fakeSource) Changes(ctx context.Context, topic Topic, after uint64, _ time.Duration) (Batch, error) {
	f.mu.Lock()
	lost := f.lost
	f.lost = false
	f.mu.Unlock()
	if lost {
		return Batch{}, ErrHistoryLost
	}
	ctxtime.Sleep(ctx, 5*time.Millisecond)
	return f.read(topic, after, true)
}

func (f *fakeSource) read(topic Topic, after uint64, deleted bool) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return Batch{}, errDown
	}
	b := Batch{Revision: f.revision}
	for _, e := range f.rows[topic] {
		if e.Revision > after && (deleted || !e.Deleted) {
			b.Records = append(b.Records, e)
		}
	}
	return b, nil
}

// alone stands for no other daemons.
type alone struct{}

func (alone) HasPoller() bool                   { return false }
func (alone) AnnouncedRevision(Topic) uint64    { return 0 }
func (alone) Pushes(Topic) <-chan Push          { return nil }
func (alone) OnSourceAnswer(Topic, Batch, bool) {}
func (alone) OnPeerBatch(Topic, Batch, bool)    {}
func (alone) AwaitPoller(context.Context)       {}
func (alone) Snapshot(context.Context, Topic) (Batch, bool) {
	return Batch{}, false
}
func (alone) OnSourceFailure(Topic) {}

// watch starts a watcher and returns the last set that it installed.
func watch(t *testing.T, source Source) func() *object.Set {
	t.Helper()
	var mu sync.Mutex
	var last *object.Set
	w := NewWatcher(WatcherConfig{
		Source:  source,
		Regions: regions,
		Install: func(set *object.Set, _ CallerLimits) {
			mu.Lock()
			defer mu.Unlock()
			last = set
		},
		OnOrder: func(Order) {},
		Peers:   alone{},
		Logger:  eventlog.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = w.RunOperator(ctx) })
	tasks.Go(func() { _ = w.RunRegistry(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return func() *object.Set {
		mu.Lock()
		defer mu.Unlock()
		return last
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

func putInstance(f *fakeSource, i Instance) {
	f.put(RegistryTopic, Record{Key: i.ID, Instance: &i})
}

func targetCount(set func() *object.Set) int {
	if s := set(); s != nil {
		return len(s.Targets)
	}
	return -1
}

// Guards against one broken row that costs the others, a faulty manifest in place
// of a sound one, and history that is lost without being read anew.
func TestWatcherFollowsItsSource(t *testing.T) {
	f := newFakeSource()
	set := watch(t, f)
	putInstance(f, instance("one", "s", 1))
	f.put(RegistryTopic, Record{Key: "bad", Err: errors.New("no row")})
	f.put(OperatorTopic, Record{Key: "config", Manifest: manifest(1, "s")})
	eventually(t, "first set", func() bool { return targetCount(set) == 1 })

	broken := manifest(2, "s")
	broken.Ingresses[0].Tier = "none"
	f.put(OperatorTopic, Record{Key: "config", Manifest: broken})
	f.put(OperatorTopic, Record{Key: "config", Manifest: manifest(3, "s", "more")})
	eventually(t, "third manifest", func() bool { return len(set().Services) == 2 })

	f.set(func(f *fakeSource) { f.lost = true })
	putInstance(f, instance("two", "s", 2))
	eventually(t, "second target", func() bool { return targetCount(set) == 2 })
	f.put(RegistryTopic, Record{Key: "one", Deleted: true})
	eventually(t, "target is gone", func() bool { return targetCount(set) == 1 })
	f.put(RegistryTopic, Record{Key: "two", Err: errors.New("turned bad")})
	eventually(t, "a target whose row turned bad is not used", func() bool { return targetCount(set) == 0 })
}

// Guards against an empty pool after an outage in which targets could not report,
// and against targets that are never given up after it.
func TestTargetsMissingAfterAnOutageAreKeptForAMoment(t *testing.T) {
	start := time.Now()
	var installed *object.Set
	w := NewWatcher(WatcherConfig{
		Regions: regions, Logger: eventlog.Discard(), OnOrder: func(Order) {},
		Install: func(set *object.Set, _ CallerLimits) { installed = set },
	})
	one := instance("one", "s", 1)
	w.apply(start, OperatorTopic, Batch{Records: []Record{{Key: "config", Manifest: manifest(1, "s")}}}, true)
	w.apply(start, RegistryTopic, Batch{Records: []Record{{Key: "one", Instance: &one}}}, true)
	assert.Equal(t, len(installed.Targets), 1)

	back := start.Add(20 * time.Second)
	w.doubt(start.Add(3*time.Second), RegistryTopic)
	w.apply(back, RegistryTopic, Batch{}, true)
	assert.Equal(t, len(installed.Targets), 1)
	w.apply(back.Add(returnTime/2), RegistryTopic, Batch{Records: []Record{{Key: "one", Instance: &one}}}, false)
	w.apply(back.Add(2*returnTime), RegistryTopic, Batch{}, false)
	assert.Equal(t, len(installed.Targets), 1)

	again := back.Add(20 * time.Second)
	w.doubt(back.Add(8*time.Second), RegistryTopic)
	w.apply(again, RegistryTopic, Batch{Records: []Record{{Key: "one", Deleted: true}}}, false)
	assert.Equal(t, len(installed.Targets), 1)
	assert.Assert(t, w.pending())
	w.apply(again.Add(returnTime), RegistryTopic, Batch{}, false)
	assert.Equal(t, len(installed.Targets), 0)
	// Without an outage, a missing target has gone.
	w.apply(again.Add(returnTime), RegistryTopic, Batch{Records: []Record{{Key: "one", Instance: &one}}}, false)
	w.apply(again.Add(returnTime+time.Second), RegistryTopic, Batch{Records: []Record{{Key: "one", Deleted: true}}}, false)
	assert.Equal(t, len(installed.Targets), 0)
	// A long time without a change is no outage.
	w.apply(again.Add(returnTime), RegistryTopic, Batch{Records: []Record{{Key: "one", Instance: &one}}}, false)
	w.apply(again.Add(20*time.Second), RegistryTopic, Batch{Records: []Record{{Key: "one", Deleted: true}}}, false)
	assert.Equal(t, len(installed.Targets), 0)
}

// Guards against a row of another writer that can be read and fails the check: it
// would hold up every later manifest and every change of the registry.
func TestFaultyTargetDoesNotHoldUpTheManifest(t *testing.T) {
	f := newFakeSource()
	set := watch(t, f)
	putInstance(f, instance("good", "s", 1))
	for i, address := range []string{"0.0.0.0:80", "10.0.0.9:0", "224.0.0.1:5"} {
		bad := instance(fmt.Sprint("bad", i), "s", 2)
		bad.Address = address
		putInstance(f, bad)
	}
	odd := instance("odd name/x", "s", 3)
	putInstance(f, odd)
	f.put(OperatorTopic, Record{Key: "config", Manifest: manifest(1, "s")})
	eventually(t, "the good target", func() bool { return targetCount(set) == 1 })
	f.put(OperatorTopic, Record{Key: "config", Manifest: manifest(2, "s", "more")})
	eventually(t, "second manifest", func() bool { return len(set().Services) == 2 })
	assert.DeepEqual(t, names(set()), []string{"good"})
}
