package confsync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// propagationBound is the time within which a published configuration must be in
// force on all reachable daemons (requirement R9).
const propagationBound = 4 * time.Second

// publish publishes testSet(n) on the generation in force, with retries after
// conflicts.
func (c *cluster) publish(t *testing.T, n int) uint64 {
	t.Helper()
	p := NewPublisher(c.store, objectStore{c.store}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	base := uint64(0)
	for {
		generation, err := p.Publish(ctx, base, testSet(n), "operator")
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			base = conflict.Current
			continue
		}
		assert.NilError(t, err)
		return generation
	}
}

// daemonsBehind returns the running daemons of the partitions whose generation is
// lower than the given one, in name order.
func (c *cluster) daemonsBehind(generation uint64, partitions ...int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, n := range c.nodes {
		if slices.Contains(partitions, c.partition[name]) && n.syncer.Generation() < generation {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// assertNoProblems fails the test if an installation recorded a problem.
func (c *cluster) assertNoProblems(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.DeepEqual(t, c.problems, []string(nil))
}

// Guards against a generation that decreases, content that differs between
// daemons, and daemons that do not get a publication within the bound, under
// random kills, network partitions, lost messages, commits without an answer and
// store outages.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(seed, 8)
				c.store.loseBefore, c.store.loseAfter = 0.2, 0.2
				c.startAll()
				defer c.stopAll()
				time.Sleep(time.Second)
				for round := range 25 {
					c.injectRandomFault()
					if c.storeUp() {
						generation := c.publish(t, round)
						time.Sleep(propagationBound)
						assert.DeepEqual(t, c.daemonsBehind(generation, c.partitionsWithStore()...), []string(nil))
					}
					time.Sleep(time.Duration(c.faultRandom.IntN(3000)) * time.Millisecond)
				}
				c.healAll()
				generation := c.publish(t, 1000)
				time.Sleep(propagationBound)
				assert.DeepEqual(t, c.daemonsBehind(generation, 0, 1), []string(nil))
				c.assertNoProblems(t)
			})
		})
	}
}

// injectRandomFault stops or restarts a daemon, changes the partitions, takes the
// store down or up, or changes the share of lost messages.
func (c *cluster) injectRandomFault() {
	name := c.names[c.faultRandom.IntN(len(c.names))]
	switch c.faultRandom.IntN(8) {
	case 0, 1:
		c.stop(name)
	case 2, 3:
		c.stop(name)
		c.start(name)
		// A new daemon must be up to date within the same bound.
		time.Sleep(propagationBound)
	case 4:
		c.withLock(func() {
			for _, n := range c.names {
				c.partition[n] = c.faultRandom.IntN(2)
			}
			c.storeCutOff[1] = c.faultRandom.IntN(2) == 0
		})
	case 5:
		c.withLock(func() { c.partition = map[string]int{}; c.storeCutOff = map[int]bool{} })
	case 6:
		c.store.withLock(func(f *fakeStore) { f.down = !f.down })
	case 7:
		c.withLock(func() { c.loss = c.faultRandom.Float64() / 5 })
	}
}

func (c *cluster) withLock(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *cluster) storeUp() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return !c.store.down
}

func (c *cluster) partitionsWithStore() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeCutOff[1] {
		return []int{0}
	}
	return []int{0, 1}
}

// healAll brings the store up, ends partitions and message loss, and starts the
// stopped daemons.
func (c *cluster) healAll() {
	c.store.withLock(func(f *fakeStore) { f.down = false })
	c.withLock(func() { c.partition = map[string]int{}; c.storeCutOff = map[int]bool{}; c.loss = 0 })
	for _, name := range c.names {
		c.mu.Lock()
		missing := c.nodes[name] == nil
		c.mu.Unlock()
		if missing {
			c.start(name)
		}
	}
}

// Guards against success being reported to none or to more than one of several
// operators who publish on the same base, when some commits get no answer.
func TestOfRacingOperatorsExactlyOneWins(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(seed)
			store.loseBefore, store.loseAfter = 0.3, 0.3
			type result struct {
				generation uint64
				err        error
			}
			const operators = 4
			results := make(chan result, operators)
			for i := range operators {
				go func() {
					p := NewPublisher(store, objectStore{store}, nil)
					generation, err := p.Publish(context.Background(), 0, testSet(i), fmt.Sprint("operator ", i))
					results <- result{generation, err}
				}()
			}
			succeeded := 0
			for range operators {
				r := <-results
				var conflict *ConflictError
				switch {
				case r.err == nil:
					succeeded++
					assert.Equal(t, r.generation, uint64(1))
				case errors.As(r.err, &conflict):
					assert.Equal(t, conflict.Current, uint64(1))
				default:
					t.Fatal(r.err)
				}
			}
			assert.Equal(t, succeeded, 1, "seed %d", seed)
		})
	}
}

// Guards against a publication that is reported as failed although it succeeded:
// its commit got no answer, and others published before it read the row again.
func TestTokenIsFoundInEarlierGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1)
		first := NewPublisher(store, objectStore{store}, nil)
		_, err := first.Publish(t.Context(), 0, testSet(0), "a")
		assert.NilError(t, err)
		row, _, err := readRow(t.Context(), store)
		assert.NilError(t, err)
		token := row.Token
		for i := range 5 {
			_, err := first.Publish(t.Context(), uint64(i+1), testSet(i+1), "b")
			assert.NilError(t, err)
		}
		row, _, err = readRow(t.Context(), store)
		assert.NilError(t, err)
		assert.Assert(t, row.publishedWith(1, token))
		assert.Assert(t, !row.publishedWith(2, token) && !row.publishedWith(7, token))
	})
}

// Guards against a publication that reports that nothing was published when the
// outcome is not known, and against one that hangs after its context ended.
func TestPublishWithoutAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1)
		store.loseBefore = 1
		p := NewPublisher(store, objectStore{store}, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := p.Publish(ctx, 0, testSet(0), "a")
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Equal(t, unknown.Generation, uint64(1))

		store.withLock(func(f *fakeStore) { f.down = true })
		ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = p.Publish(ctx, 0, testSet(0), "a")
		assert.Assert(t, err != nil && !errors.As(err, &unknown), "%v", err)
	})
}

// Guards against a daemon that does not become ready while the store is down,
// although its peers have the configuration.
func TestBootstrapFromPeersWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 8)
		c.startAll()
		defer c.stopAll()
		time.Sleep(time.Second)
		generation := c.publish(t, 1)
		time.Sleep(propagationBound)
		c.store.withLock(func(f *fakeStore) { f.down = true })
		for _, name := range c.names {
			c.stop(name)
			c.start(name)
			assert.Assert(t, !c.nodes[name].syncer.Ready())
			time.Sleep(propagationBound)
			assert.Assert(t, c.nodes[name].syncer.Ready(), name)
			assert.Equal(t, c.nodes[name].syncer.Generation(), generation)
		}
		c.assertNoProblems(t)
	})
}

// Guards against received data being installed although it is not what was
// published: it cannot be decoded or does not have its digest.
func TestWrongDigestIsNotInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 2)
		c.startAll()
		defer c.stopAll()
		time.Sleep(time.Second)
		c.publish(t, 1)
		time.Sleep(propagationBound)
		s := c.nodes[c.names[0]].syncer
		data, err := jsonCodec{}.Encode(testSet(9))
		assert.NilError(t, err)
		for _, forged := range []*peerpb.ConfigData{
			{Generation: 7, Data: data, Digest: "0"},
			{Generation: 7, Base: 1, Data: []byte(`{"targets":{"remove":["t-05"]}}`), Digest: "0"},
			{Generation: 7, Data: []byte("not JSON"), Digest: "0"},
		} {
			s.OnMessage(c.names[1], &peerpb.Envelope{Body: &peerpb.Envelope_ConfigData{ConfigData: forged}})
			time.Sleep(time.Second)
		}
		assert.Equal(t, s.Generation(), uint64(1))
		assert.Equal(t, s.Stats().DigestErrors, uint64(3))
	})
}

// Guards against a lower generation replacing a higher one, as could happen when
// a poll and a push install at the same time.
func TestInstallNeverGoesBack(t *testing.T) {
	s := NewSyncer(Config{
		Self:      "a",
		Sender:    fakeSender{cluster: newCluster(1, 1)},
		LiveLocal: func() ([]string, uint64) { return []string{"a"}, 1 },
	})
	var seen []uint64
	s.Subscribe(func(generation uint64, _ *object.Set) { seen = append(seen, generation) })
	for _, generation := range []uint64{4, 7, 5, 7, 6, 8, 1} {
		next := &installedSet{generation: generation, set: testSet(int(generation))}
		s.install("", next, &peerpb.ConfigData{Generation: generation})
	}
	assert.DeepEqual(t, seen, []uint64{4, 7, 8})
	generation, set := s.Current()
	assert.Equal(t, generation, uint64(8))
	assert.Equal(t, set.Services[0].Version, "v8")
}

// Guards against whole sets being sent to a daemon that missed several
// generations, when deltas are enough.
func TestDaemonBehindGetsDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 8)
		c.startAll()
		defer c.stopAll()
		time.Sleep(time.Second)
		c.publish(t, 0)
		time.Sleep(propagationBound)
		cut := c.names[3]
		c.withLock(func() { c.partition[cut] = 1; c.storeCutOff[1] = true })
		sentBefore := c.wholeSetsSent()
		for i := range 20 {
			c.publish(t, i)
		}
		time.Sleep(propagationBound)
		c.withLock(func() { c.partition[cut] = 0 })
		time.Sleep(propagationBound)
		assert.DeepEqual(t, c.daemonsBehind(21, 0), []string(nil))
		assert.Equal(t, c.wholeSetsSent(), sentBefore, "whole sets were sent")
		c.assertNoProblems(t)
	})
}

// wholeSetsSent returns the number of whole sets that the running daemons sent.
func (c *cluster) wholeSetsSent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := uint64(0)
	for _, n := range c.nodes {
		sum += n.syncer.Stats().WholeSetsSent
	}
	return sum
}

// Guards against a configuration that is not in force on all daemons of a large
// data centre within the bound or that, while the pollers are alive, the daemons
// install 50 ms or more apart. It runs once with both pollers alive and once with
// both killed just before each publication, and logs the time to in force and the
// number of store reads.
func TestTimeToInForce(t *testing.T) {
	t.Parallel()
	for _, pollersKilled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const daemons, publications = 160, 40
			c := newCluster(1, daemons)
			c.startAll()
			defer c.stopAll()
			time.Sleep(2 * time.Second)
			c.publish(t, 0)
			time.Sleep(10 * time.Second)
			c.store.withLock(func(f *fakeStore) { f.rowReads, f.objectReads = 0, 0 })
			c.withLock(func() { c.bytes = 0 })
			start := time.Now()
			var delays []time.Duration
			spread := time.Duration(0)
			for i := range publications {
				if pollersKilled {
					c.killPollers()
				}
				generation := c.publish(t, i+1)
				published := time.Now()
				time.Sleep(propagationBound)
				assert.DeepEqual(t, c.daemonsBehind(generation, 0), []string(nil))
				c.withLock(func() {
					first, last := propagationBound, time.Duration(0)
					for _, at := range c.installTimes[generation] {
						delays = append(delays, at.Sub(published))
						first, last = min(first, at.Sub(published)), max(last, at.Sub(published))
					}
					spread = max(spread, last-first)
				})
				c.healAll()
				time.Sleep(2 * time.Second)
			}
			slices.Sort(delays)
			elapsed := time.Since(start).Seconds()
			t.Logf("both pollers killed: %t; time to in force: p50 %v, p95 %v, p99 %v, max %v; longest from first to last daemon %v", pollersKilled,
				quantile(delays, 0.5), quantile(delays, 0.95), quantile(delays, 0.99), quantile(delays, 1), spread.Round(time.Millisecond))
			// A push passes at most 4 levels of the tree upwards and 4 downwards. A
			// change that waits for a ping takes up to a second.
			assert.Assert(t, pollersKilled || spread < 50*time.Millisecond, "%v from the first to the last daemon", spread)
			c.stopAll()
			t.Logf("row reads %.1f/s, object reads %.2f/s, %.0f bytes of data per publication and daemon",
				float64(c.store.rowReads)/elapsed, float64(c.store.objectReads)/elapsed, float64(c.bytes)/publications/daemons)
			c.assertNoProblems(t)
		})
	}
}

func (c *cluster) killPollers() {
	for _, name := range c.names {
		if newTreePosition("lhr-a", name, c.names).rank < pollerCount {
			c.stop(name)
		}
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// Guards against a delta that does not lead to the set it was made for, and
// against a digest that depends on the order of objects.
func TestCodecDeltas(t *testing.T) {
	codec := jsonCodec{}
	sets := []*object.Set{{}, testSet(1), testSet(5), testSet(40)}
	for _, from := range sets {
		for _, to := range sets {
			delta, err := codec.Delta(from, to)
			assert.NilError(t, err)
			got, err := codec.Apply(from, delta)
			assert.NilError(t, err)
			gotDigest, err := codec.Digest(got)
			assert.NilError(t, err)
			wantDigest, err := codec.Digest(to)
			assert.NilError(t, err)
			assert.Equal(t, gotDigest, wantDigest)
		}
	}
	reversed := testSet(1)
	slices.Reverse(reversed.Targets)
	a, _ := codec.Digest(reversed)
	b, _ := codec.Digest(testSet(1))
	assert.Equal(t, a, b)
}
