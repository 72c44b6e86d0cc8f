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

// fakeStore is a table and an object store in memory, with faults.
type fakeStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	row     provider.Row
	objects map[string][]byte
	down    bool
	// loseBefore and loseAfter are the shares of writes whose answer is lost
	// before and after they took effect.
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

// enter takes the time of a call and fails it while the store is down.
func (f *fakeStore) enter(ctx context.Context) error {
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
	if err := f.enter(ctx); err != nil {
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
	if err := f.enter(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.loseBefore {
		return provider.ErrUnknown
	}
	w := writes[0]
	if w.IfVersion != f.row.Version {
		return &provider.ConflictError{Keys: []string{w.Key}}
	}
	f.row = provider.Row{Key: w.Key, Value: w.Value, Version: f.row.Version + 1}
	if f.random.Float64() < f.loseAfter {
		return provider.ErrUnknown
	}
	return nil
}

// objectStore is the object half of a fakeStore.
type objectStore struct{ *fakeStore }

func (f objectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = slices.Clone(data)
	return nil
}

func (f objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := f.enter(ctx); err != nil {
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

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// gate lets one daemon be cut off from the store.
type gate struct {
	cluster *cluster
	name    string
}

func (g gate) open() error {
	g.cluster.mu.Lock()
	defer g.cluster.mu.Unlock()
	if g.cluster.noStore[g.cluster.group[g.name]] {
		return provider.ErrUnavailable
	}
	return nil
}

type gatedTable struct {
	gate
	*fakeStore
}

func (t gatedTable) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if err := t.open(); err != nil {
		return nil, err
	}
	return t.fakeStore.Get(ctx, keys...)
}

type gatedObjects struct {
	gate
	objectStore
}

func (t gatedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := t.open(); err != nil {
		return nil, err
	}
	return t.objectStore.Get(ctx, name)
}

// cluster runs syncers on a network of delayed function calls.
type cluster struct {
	store *fakeStore
	names []string
	// faults chooses the faults; only the test's goroutine uses it.
	faults *rand.Rand

	mu      sync.Mutex
	random  *rand.Rand
	nodes   map[string]*syncNode
	group   map[string]int
	noStore map[int]bool
	loss    float64
	// digests holds the content that was seen for each generation.
	digests  map[uint64]string
	problems []string
	bytes    int
	// arrival holds the time at which each daemon had each generation.
	arrival map[uint64]map[string]time.Time
}

type syncNode struct {
	name   string
	syncer *Syncer
	cancel context.CancelFunc
	done   chan struct{}
	last   uint64
}

func newCluster(seed uint64, count int) *cluster {
	c := &cluster{
		store:   newFakeStore(seed),
		random:  rand.New(rand.NewPCG(seed, 4)),
		faults:  rand.New(rand.NewPCG(seed, 5)),
		nodes:   map[string]*syncNode{},
		group:   map[string]int{},
		noStore: map[int]bool{},
		digests: map[uint64]string{},
		arrival: map[uint64]map[string]time.Time{},
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
		Sender:     link{cluster: c, from: name},
		LiveLocal:  func() ([]string, uint64) { return c.names, 1 },
		Table:      gatedTable{gate{c, name}, c.store},
		Objects:    gatedObjects{gate{c, name}, objectStore{c.store}},
	})
	n.syncer.Subscribe(func(generation uint64, set *object.Set) { c.installed(n, generation, set) })
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

// installed checks that generations rise and that their content is the same
// everywhere.
func (c *cluster) installed(n *syncNode, generation uint64, set *object.Set) {
	digest, _ := jsonCodec{}.Digest(set)
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation <= n.last {
		c.problems = append(c.problems, fmt.Sprintf("%s: generation %d after %d", n.name, generation, n.last))
	}
	n.last = generation
	if known, ok := c.digests[generation]; ok && known != digest {
		c.problems = append(c.problems, fmt.Sprintf("%s: other content for generation %d", n.name, generation))
	}
	c.digests[generation] = digest
	if c.arrival[generation] == nil {
		c.arrival[generation] = map[string]time.Time{}
	}
	c.arrival[generation][n.name] = time.Now()
}

// pingLoop stands in for the pings of the mesh: one a second to the neighbours
// in the tree and to three other daemons.
func (c *cluster) pingLoop(ctx context.Context, n *syncNode) {
	index := slices.Index(c.names, n.name)
	peers := slices.Clone(n.syncer.Neighbours())
	for i := range 3 {
		peers = append(peers, c.names[(index+1+i)%len(c.names)])
	}
	sender := link{cluster: c, from: n.name}
	c.mu.Lock()
	phase := time.Duration(c.random.Int64N(int64(time.Second)))
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

// link sends from one daemon with 1 ms latency, loss and partitions.
type link struct {
	cluster *cluster
	from    string
}

func (l link) Send(to string, m *peerpb.Envelope) error {
	c := l.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.from == to || c.group[l.from] != c.group[to] || c.nodes[to] == nil || c.nodes[l.from] == nil {
		return provider.ErrUnavailable
	}
	if data := m.GetConfigData(); data != nil {
		c.bytes += len(data.Data)
	}
	if c.random.Float64() < c.loss {
		return nil
	}
	time.AfterFunc(time.Millisecond, func() {
		c.mu.Lock()
		receiver := c.nodes[to]
		cut := c.group[l.from] != c.group[to]
		c.mu.Unlock()
		if receiver == nil || cut {
			return
		}
		receiver.syncer.OnMessage(l.from, m)
		if p := m.GetPing(); p != nil {
			pong := &peerpb.Pong{Generation: receiver.syncer.Generation()}
			_ = link{cluster: c, from: to}.Send(l.from, &peerpb.Envelope{Body: &peerpb.Envelope_Pong{Pong: pong}})
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
