package confsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
)

// fakeStore is an in-memory table and object store that injects faults. The
// table has one row.
type fakeStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	row     provider.Row
	objects map[string][]byte
	down    bool
	// loseBefore is the share of commits that are lost before they take effect,
	// loseAfter the share of applied commits whose answer is lost. The outcome of
	// both is unknown to the caller.
	loseBefore, loseAfter float64
	rowReads, objectReads int
	latency               time.Duration
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		random:  rand.New(rand.NewPCG(seed, 3)),
		objects: map[string][]byte{},
		latency: 5 * time.Millisecond,
	}
}

// simulateCall waits for the latency of a call and returns an error while the
// store is down.
func (f *fakeStore) simulateCall(ctx context.Context) error {
	select {
	case <-time.After(f.latency):
	case <-ctx.Done():
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return provider.ErrUnavailable
	}
	return nil
}

func (f *fakeStore) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if err := f.simulateCall(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rowReads++
	return []provider.Row{f.row}, nil
}

func (f *fakeStore) List(context.Context, string, int) ([]provider.Row, error) {
	return nil, provider.ErrUnavailable
}

func (f *fakeStore) Commit(ctx context.Context, writes ...provider.Write) error {
	if err := f.simulateCall(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.loseBefore {
		return provider.ErrOutcomeUnknown
	}
	w := writes[0]
	if w.IfVersion != f.row.Version {
		return &provider.ConflictError{Keys: []string{w.Key}}
	}
	f.row = provider.Row{Key: w.Key, Value: w.Value, Version: f.row.Version + 1}
	if f.random.Float64() < f.loseAfter {
		return provider.ErrOutcomeUnknown
	}
	return nil
}

// objectStore is the object store of a fakeStore.
type objectStore struct{ *fakeStore }

func (f objectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := f.simulateCall(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = slices.Clone(data)
	return nil
}

func (f objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := f.simulateCall(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objectReads++
	data, ok := f.objects[name]
	if !ok {
		return nil, provider.ErrNotFound
	}
	return data, nil
}

func (f *fakeStore) withLock(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// storeAccess is the access of one daemon to the store. It fails while the
// daemon's partition is cut off from the store.
type storeAccess struct {
	cluster *cluster
	name    string
}

func (a storeAccess) checkReachable() error {
	a.cluster.mu.Lock()
	defer a.cluster.mu.Unlock()
	if a.cluster.storeCutOff[a.cluster.partition[a.name]] {
		return provider.ErrUnavailable
	}
	return nil
}

type partitionedTable struct {
	storeAccess
	*fakeStore
}

func (t partitionedTable) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if err := t.checkReachable(); err != nil {
		return nil, err
	}
	return t.fakeStore.Get(ctx, keys...)
}

type partitionedObjects struct {
	storeAccess
	objectStore
}

func (t partitionedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := t.checkReachable(); err != nil {
		return nil, err
	}
	return t.objectStore.Get(ctx, name)
}

// cluster runs the syncers of several daemons. Their messages are delayed
// function calls.
type cluster struct {
	store *fakeStore
	names []string
	// faultRandom chooses the injected faults. Only the goroutine of the test uses
	// it.
	faultRandom *rand.Rand

	mu            sync.Mutex
	networkRandom *rand.Rand
	nodes         map[string]*syncNode
	// partition holds the number of each daemon's network partition, 0 by default. Only
	// daemons of the same partition reach one another.
	partition map[string]int
	// storeCutOff holds the partitions that do not reach the store.
	storeCutOff map[int]bool
	// loss is the share of messages that are lost.
	loss float64
	// digests holds the digest of the set that was installed for each generation.
	digests  map[uint64]string
	problems []string
	bytes    int
	// installTimes holds the time at which each daemon installed each generation.
	installTimes map[uint64]map[string]time.Time
}

type syncNode struct {
	name           string
	syncer         *Syncer
	cancel         context.CancelFunc
	done           chan struct{}
	lastGeneration uint64
}

func newCluster(seed uint64, count int) *cluster {
	c := &cluster{
		store:         newFakeStore(seed),
		networkRandom: rand.New(rand.NewPCG(seed, 4)),
		faultRandom:   rand.New(rand.NewPCG(seed, 5)),
		nodes:         map[string]*syncNode{},
		partition:     map[string]int{},
		storeCutOff:   map[int]bool{},
		digests:       map[uint64]string{},
		installTimes:  map[uint64]map[string]time.Time{},
	}
	for i := range count {
		c.names = append(c.names, fmt.Sprintf("d-%03d", i))
	}
	return c
}

func (c *cluster) startAll() {
	for _, name := range c.names {
		c.start(name)
	}
}

func (c *cluster) start(name string) {
	n := &syncNode{name: name, done: make(chan struct{})}
	n.syncer = NewSyncer(Config{
		Self:       name,
		DataCentre: "lhr-a",
		Sender:     fakeSender{cluster: c, from: name},
		LiveLocal:  func() ([]string, uint64) { return c.names, 1 },
		Table:      partitionedTable{storeAccess{c, name}, c.store},
		Objects:    partitionedObjects{storeAccess{c, name}, objectStore{c.store}},
	})
	n.syncer.Subscribe(func(generation uint64, set *object.Set) { c.recordInstall(n, generation, set) })
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = n.syncer.Run(ctx) })
	tasks.Go(func() { c.pingLoop(ctx, n) })
	go func() { tasks.Wait(); close(n.done) }()
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	if n != nil {
		n.cancel()
		<-n.done
	}
}

func (c *cluster) stopAll() {
	for _, name := range c.names {
		c.stop(name)
	}
}

// recordInstall records an installation. It adds a problem if the generation of
// the daemon did not rise, or if the content differs from that on another
// daemon.
func (c *cluster) recordInstall(n *syncNode, generation uint64, set *object.Set) {
	digest, _ := jsonCodec{}.Digest(set)
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation <= n.lastGeneration {
		c.problems = append(c.problems, fmt.Sprintf("%s: generation %d after %d", n.name, generation, n.lastGeneration))
	}
	n.lastGeneration = generation
	if known, ok := c.digests[generation]; ok && known != digest {
		c.problems = append(c.problems, fmt.Sprintf("%s: other content for generation %d", n.name, generation))
	}
	c.digests[generation] = digest
	if c.installTimes[generation] == nil {
		c.installTimes[generation] = map[string]time.Time{}
	}
	c.installTimes[generation][n.name] = time.Now()
}

// pingLoop sends pings as the mesh does: one a second to each neighbour in the
// tree and to each of the three daemons that follow in the list of names.
func (c *cluster) pingLoop(ctx context.Context, n *syncNode) {
	index := slices.Index(c.names, n.name)
	peers := slices.Clone(n.syncer.Neighbours())
	for i := range 3 {
		peers = append(peers, c.names[(index+1+i)%len(c.names)])
	}
	sender := fakeSender{cluster: c, from: n.name}
	c.mu.Lock()
	phase := time.Duration(c.networkRandom.Int64N(int64(time.Second)))
	c.mu.Unlock()
	timer := time.NewTimer(phase)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(time.Second)
		}
		for _, peer := range peers {
			ping := &peerpb.Ping{Generation: n.syncer.Generation()}
			_ = sender.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_Ping{Ping: ping}})
		}
	}
}

// fakeSender sends the messages of one daemon, with a latency of 1 ms, random
// loss and partitions.
type fakeSender struct {
	cluster *cluster
	from    string
}

func (f fakeSender) Send(to string, m *peerpb.Envelope) error {
	c := f.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.from == to || c.partition[f.from] != c.partition[to] || c.nodes[to] == nil || c.nodes[f.from] == nil {
		return provider.ErrUnavailable
	}
	if data := m.GetConfigData(); data != nil {
		c.bytes += len(data.Data)
	}
	if c.networkRandom.Float64() < c.loss {
		return nil
	}
	time.AfterFunc(time.Millisecond, func() {
		c.mu.Lock()
		receiver := c.nodes[to]
		partitioned := c.partition[f.from] != c.partition[to]
		c.mu.Unlock()
		if receiver == nil || partitioned {
			return
		}
		receiver.syncer.OnMessage(f.from, m)
		if p := m.GetPing(); p != nil {
			pong := &peerpb.Pong{Generation: receiver.syncer.Generation()}
			_ = fakeSender{cluster: c, from: to}.Send(f.from, &peerpb.Envelope{Body: &peerpb.Envelope_Pong{Pong: pong}})
		}
	})
	return nil
}

// testSet returns a set whose content depends on n.
func testSet(n int) *object.Set {
	set := &object.Set{
		Services: []object.Service{{Name: "assistant", Kind: object.ModelService, Version: fmt.Sprint("v", n)}},
		Versions: []object.Version{{Name: fmt.Sprint("v", n), Service: "assistant"}},
		Tiers:    []object.Tier{{Name: "gold", Deadline: time.Minute}},
	}
	for i := range 30 {
		set.Targets = append(set.Targets, object.Target{
			Name: fmt.Sprintf("t-%02d", (i+n)%40), Service: "assistant", Address: "10.0.0.1:80", Slots: 8,
		})
	}
	return set
}
