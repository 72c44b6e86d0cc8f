package owners

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/topology"
)

const testSlots = 2

var testIndex = object.NewIndex(1, &object.Set{
	Services: []object.Service{{Name: "chat", Kind: object.ModelService, Version: "v1"}},
	Versions: []object.Version{{Name: "v1", Service: "chat"}},
	Targets: []object.Target{
		{Name: "t1", Service: "chat", DataCentre: "a", Region: "r", Address: "127.0.0.1:1", Slots: testSlots, Versions: []string{"v1"}},
		{Name: "t2", Service: "chat", DataCentre: "a", Region: "r", Address: "127.0.0.1:2", Slots: testSlots, Versions: []string{"v1"}},
	},
})

// node is one daemon: an owner duty and an entry's client.
type node struct {
	name   string
	net    *network
	duty   *Manager
	client *grants.Client
	cancel context.CancelFunc

	mu     sync.Mutex
	view   *topology.Topology
	silent []string
	// replaced are the targets whose address another one has.
	replaced []string
}

func (n *node) Local() *topology.Topology {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}
func (n *node) Nearby() []*topology.Topology      { return nil }
func (n *node) Far() []*topology.Topology         { return nil }
func (n *node) Target(name string) *object.Target { return testIndex.Target(name) }
func (n *node) Take(int, int, int) bool           { return false }

func (n *node) see(live []string) {
	n.mu.Lock()
	n.view = topology.Build(testIndex, "a", live)
	n.mu.Unlock()
	n.duty.SetTopology(n.Local(), len(live))
	n.client.TopologyChanged()
}

// link is one direction between two daemons.
type link struct{ from, to string }

// network carries messages between daemons, with faults.
type network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*node
	// down links refuse messages; hold delays each message by up to this time, so
	// that messages of different links overtake one another. Those of one link keep
	// their order, as on the stream between two daemons. full is the share that a
	// full send ring refuses.
	down map[link]bool
	last map[link]time.Time
	hold time.Duration
	full float64
	// epoch counts the sessions of a link: messages of an ended one are lost.
	epoch map[link]int
	// lose is asked for each message; true loses it without an error.
	lose func(from, to string, m *peerpb.Envelope) bool
}

type port struct {
	net  *network
	from string
}

var errNoSession = errors.New("no session")

// Send implements Sender.
func (p port) Send(to string, m *peerpb.Envelope) error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	l := link{p.from, to}
	if p.net.nodes[to] == nil || p.net.down[l] || p.net.rng.Float64() < p.net.full {
		return errNoSession
	}
	if p.net.lose != nil && p.net.lose(p.from, to, m) {
		return nil
	}
	due := time.Now().Add(time.Millisecond + time.Duration(p.net.rng.Int64N(int64(p.net.hold)+1)))
	if last := p.net.last[l]; !due.After(last) {
		due = last.Add(time.Nanosecond)
	}
	p.net.last[l] = due
	epoch := p.net.epoch[l]
	time.AfterFunc(time.Until(due), func() {
		p.net.mu.Lock()
		n := p.net.nodes[to]
		ended := p.net.epoch[l] != epoch
		p.net.mu.Unlock()
		if n == nil || ended {
			return
		}
		if !n.duty.OnMessage(p.from, m) {
			n.client.OnMessage(p.from, m)
		}
	})
	return nil
}

func newNetwork(seed uint64) *network {
	return &network{rng: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*node{}, down: map[link]bool{}, last: map[link]time.Time{}, epoch: map[link]int{}}
}

func (w *network) start(t *testing.T, name string) *node {
	n := &node{name: name, net: w}
	n.duty = New(Config{
		Self: name, Sender: port{w, name}, Logger: eventlog.Discard(),
		OnConnectionLost: func(string, []owner.RunningRequest) {}, EjectionProbe: func(*object.Target) error { return nil },
		OnReplaced: func(target string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.replaced = append(n.replaced, target)
		},
	})
	n.client = grants.New(grants.Config{Self: name, Sender: port{w, name}, Topologies: n, LinkBudget: n, OnUnreachable: func(daemon string) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.silent = append(n.silent, daemon)
	}})
	ctx, cancel := context.WithCancel(t.Context())
	n.cancel = cancel
	go func() { _ = n.duty.Run(ctx) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[name] = n
	return n
}

func (w *network) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *network) between(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *network) live() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*node, 0, len(w.nodes))
	for _, n := range w.nodes {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *node) int { return cmpNames(a.name, b.name) })
	return out
}

func cmpNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func names(nodes []*node) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.name
	}
	return out
}

// cut ends the session between two daemons; messages on the way are lost.
func (w *network) cut(a, b *node) {
	w.setSession(a, b, true)
	a.client.SessionLost(b.name)
	b.client.SessionLost(a.name)
}

func (w *network) join(a, b *node) {
	w.setSession(a, b, false)
	a.client.SessionUp(b.name)
	b.client.SessionUp(a.name)
}

func (w *network) setSession(a, b *node, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range []link{{a.name, b.name}, {b.name, a.name}} {
		w.down[l] = down
		w.epoch[l]++
	}
}

// inFlight lists the requests that a daemon counts as running.
func (n *node) inFlight() (all []string) {
	done := make(chan struct{})
	for _, target := range []string{"t1", "t2"} {
		n.duty.InFlight(target, func(running []owner.RunningRequest) {
			for _, r := range running {
				all = append(all, r.ID+" on "+target)
			}
			done <- struct{}{}
		})
		<-done
	}
	return all
}

// problems lists what is still held after every request has ended.
func (w *network) problems() (out []string) {
	for _, n := range w.live() {
		for _, id := range n.inFlight() {
			out = append(out, fmt.Sprintf("%s counts %s", n.name, id))
		}
		for tier := range 3 {
			if count := n.client.RunningInTier(tier) + n.client.WaitingInTier(tier); count > 0 {
				out = append(out, fmt.Sprintf("entry %s holds %d of tier %d", n.name, count, tier))
			}
		}
	}
	return out
}

func need(id string, tier int, wait time.Duration) entry.GrantRequest {
	return entry.GrantRequest{
		ID: id, Service: "chat", Version: "v1", Account: "a", Tier: tier, PromptTokens: 10, OutputTokens: 10, Preemptible: true,
		Deadline: time.Now().Add(wait), FinalDeadline: time.Now().Add(3 * wait),
	}
}

// work runs one request: it holds the grant for a while and follows preemption.
func (n *node) work(ctx context.Context, id string, tier int, wait, hold time.Duration) (preempted int, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	grant, err := n.client.Reserve(ctx, need(id, tier, wait))
	for err == nil {
		select {
		case <-time.After(hold):
			n.client.Release(grant, entry.Report{Result: entry.ResultDone, Duration: hold})
			return preempted, nil
		case <-ctx.Done():
			n.client.Release(grant, entry.Report{Result: entry.ResultTimeout, Duration: hold})
			return preempted, ctx.Err()
		case <-grant.Preempted:
			preempted++
			grant, err = n.client.Requeue(ctx, grant, entry.Report{Result: entry.ResultPreempted})
		}
	}
	return preempted, err
}

func seeds(usual uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MARJORAM_SEEDS"), 10, 32); err == nil {
		return n
	}
	return usual
}

// disturb breaks sessions, refuses and delays messages, and changes the owners
// of groups at different times on different daemons.
func (w *network) disturb(t *testing.T, steps int) {
	for range steps {
		time.Sleep(w.between(100*time.Millisecond, 2*time.Second))
		nodes := w.live()
		pick := func() *node { return nodes[int(w.between(0, time.Duration(len(nodes))))] }
		a, b := pick(), pick()
		switch w.between(0, 6) {
		case 0, 1:
			if a != b {
				w.cut(a, b)
				time.Sleep(w.between(time.Millisecond, 4*time.Second))
				w.join(a, b)
			}
		case 2: // one daemon suspects another for a while
			if a != b {
				a.see(slices.DeleteFunc(names(nodes), func(n string) bool { return n == b.name }))
				time.Sleep(w.between(time.Millisecond, 2*time.Second))
				a.see(names(nodes))
			}
		case 3: // a daemon joins
			if len(nodes) < 5 {
				w.start(t, fmt.Sprint("n", w.between(100, 1000000)))
				w.spread()
			}
		case 4: // a daemon dies
			if len(nodes) > 2 && a.name > "n3" {
				w.kill(a)
			}
		case 5:
			w.set(func() { w.full = 0.05 })
			time.Sleep(w.between(time.Millisecond, time.Second))
			w.set(func() { w.full = 0 })
		}
	}
}

// spread tells all daemons the live ones, one after the other.
func (w *network) spread() {
	live := w.live()
	for _, n := range live {
		n.see(names(live))
		time.Sleep(w.between(0, 100*time.Millisecond))
	}
}

func (w *network) kill(dead *node) {
	dead.cancel()
	w.mu.Lock()
	delete(w.nodes, dead.name)
	w.mu.Unlock()
	for _, n := range w.live() {
		n.client.SessionLost(dead.name)
	}
	w.spread()
	for _, n := range w.live() {
		n.duty.EntryGone(dead.name)
	}
}

// Guards against slots and grants that stay taken for ever after their requests
// have ended, when sessions break, send rings are full, messages overtake one
// another and groups change their owners. Seeds choose the faults; the order of
// goroutines that wake at the same time is not repeatable.
func TestNothingStaysHeld(t *testing.T) {
	for seed := range seeds(25) {
		synctest.Test(t, func(t *testing.T) {
			w := newNetwork(seed)
			w.hold = time.Duration(seed%4) * 10 * time.Millisecond
			for _, name := range []string{"n1", "n2", "n3"} {
				w.start(t, name)
			}
			w.spread()
			ctx, stop := context.WithCancel(t.Context())
			var tasks, requests sync.WaitGroup
			tasks.Go(func() { w.disturb(t, 15); stop() })
			for _, n := range w.live() {
				for k := range 4 {
					requests.Go(func() {
						for i := 0; ctx.Err() == nil; i++ {
							id := fmt.Sprint(n.name, "-", k, "-", i)
							_, _ = n.work(t.Context(), id, k%3, w.between(200*time.Millisecond, 8*time.Second), w.between(time.Millisecond, 800*time.Millisecond))
							time.Sleep(w.between(0, 100*time.Millisecond))
						}
					})
				}
			}
			tasks.Wait()
			requests.Wait()
			w.spread()
			time.Sleep(10 * time.Second)
			if problems := w.problems(); len(problems) > 0 {
				t.Errorf("seed %d: %v", seed, problems)
			}
		})
	}
}

// twoNodes starts n1, which is the entry, and the owner of the one group.
func twoNodes(t *testing.T) (w *network, asker, holder *node) {
	w = newNetwork(1)
	w.start(t, "n1")
	w.start(t, "n2")
	w.spread()
	time.Sleep(takeoverDelay + 2*tickInterval)
	holder = w.nodes[w.nodes["n1"].Local().All()[0].Owner]
	asker = w.nodes["n1"]
	if holder == asker {
		asker = w.nodes["n2"]
	}
	return w, asker, holder
}

// Guards against a slot that is never freed because a release was lost with its
// session, when the entry holds nothing else at that owner.
func TestReleaseLostWithItsSession(t *testing.T) {
	for _, pause := range []time.Duration{time.Millisecond, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w, asker, holder := twoNodes(t)
			grant, err := asker.client.Reserve(t.Context(), need("r", 0, 5*time.Second))
			assert.NilError(t, err)
			time.Sleep(pause)
			asker.client.Release(grant, entry.Report{Result: entry.ResultDone})
			w.cut(asker, holder)
			w.join(asker, holder)
			time.Sleep(5 * time.Second)
			assert.Equal(t, len(w.problems()), 0, "%v", w.problems())
		})
	}
}

// Guards against a slot that is never freed because the send ring was full.
func TestReleaseRefusedByAFullRing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, asker, _ := twoNodes(t)
		grant, err := asker.client.Reserve(t.Context(), need("r", 0, 5*time.Second))
		assert.NilError(t, err)
		w.set(func() { w.full = 1 })
		asker.client.Release(grant, entry.Report{Result: entry.ResultDone})
		w.set(func() { w.full = 0 })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(w.problems()), 0, "%v", w.problems())
	})
}

// Guards against a grant that arrives after its request gave up and is kept.
func TestLateGrantIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, asker, holder := twoNodes(t)
		w.set(func() { w.lose = func(_, _ string, m *peerpb.Envelope) bool { return m.GetCancelReserve() != nil } })
		w.hold = 0
		for i := range 2 * (testSlots + owner.DefaultBacklog) {
			_, err := asker.client.Reserve(t.Context(), need(fmt.Sprint("busy", i), 0, time.Minute))
			assert.NilError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := asker.client.Reserve(ctx, need("late", 0, time.Minute))
		assert.Equal(t, entry.AsRefusal(err).Outcome, entry.OutcomeNotRun)
		w.set(func() { w.lose = nil })
		asker.client.Release(&entry.Grant{Request: entry.GrantRequest{ID: "busy0"}}, entry.Report{Result: entry.ResultDone})
		time.Sleep(time.Second)
		assert.Equal(t, len(holder.inFlight()), 2*(testSlots+owner.DefaultBacklog)-1)
		assert.Assert(t, !slices.ContainsFunc(holder.inFlight(), func(id string) bool { return id[:4] == "late" }))
	})
}

// Guards against a queued request that stays with a daemon which no longer owns
// its group, and against grants that the next owner does not count.
func TestQueuedRequestFollowsItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, asker, holder := twoNodes(t)
		var held []*entry.Grant
		for i := range 2 * (testSlots + owner.DefaultBacklog) {
			grant, err := asker.client.Reserve(t.Context(), need(fmt.Sprint("busy", i), 0, time.Minute))
			assert.NilError(t, err)
			held = append(held, grant)
		}
		granted := make(chan *entry.Grant)
		go func() {
			grant, _ := asker.client.Reserve(t.Context(), need("queued", 0, time.Minute))
			granted <- grant
		}()
		time.Sleep(100 * time.Millisecond)
		w.kill(holder)
		time.Sleep(time.Second)
		assert.Equal(t, len(asker.inFlight()), len(held))
		asker.client.Release(held[0], entry.Report{Result: entry.ResultDone})
		grant := <-granted
		assert.Assert(t, grant != nil)
		for _, h := range append(held[1:], grant) {
			asker.client.Release(h, entry.Report{Result: entry.ResultDone})
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(w.problems()), 0, "%v", w.problems())
	})
}

// Guards against a request of a higher tier that waits behind lower-tier work, and
// against a preempted request that is not granted again.
func TestPreemptionAndRequeue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, asker, _ := twoNodes(t)
		var tasks sync.WaitGroup
		var mu sync.Mutex
		preempted := 0
		for i := range 2 * (testSlots + owner.DefaultBacklog) {
			tasks.Go(func() {
				n, err := asker.work(t.Context(), fmt.Sprint("low", i), 2, time.Minute, 5*time.Second)
				assert.Check(t, err == nil, "%v", err)
				mu.Lock()
				defer mu.Unlock()
				preempted += n
			})
		}
		time.Sleep(100 * time.Millisecond)
		started := time.Now()
		_, err := asker.work(t.Context(), "high", 0, time.Minute, time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) < 2*time.Second, "waited %v", time.Since(started))
		tasks.Wait()
		assert.Assert(t, preempted > 0)
		time.Sleep(time.Second)
		assert.Equal(t, len(w.problems()), 0, "%v", w.problems())
	})
}

// Guards against refusing while targets could be used, when no owner answers; the
// daemon then keeps to its share of the slots.
func TestFallbackWhenNoOwnerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, asker, holder := twoNodes(t)
		w.set(func() { w.lose = func(from, to string, _ *peerpb.Envelope) bool { return from != to } })
		var held []*entry.Grant
		for i := range 2 * (testSlots/2 + owner.DefaultBacklog) {
			grant, err := asker.client.Reserve(t.Context(), need(fmt.Sprint("r", i), 0, time.Minute))
			assert.NilError(t, err)
			held = append(held, grant)
		}
		assert.Assert(t, slices.Contains(asker.silent, holder.name))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := asker.client.Reserve(ctx, need("beyond", 0, time.Minute))
		assert.Equal(t, entry.AsRefusal(err).Outcome, entry.OutcomeNotRun)
		for _, h := range held {
			asker.client.Release(h, entry.Report{Result: entry.ResultDone})
		}
		w.set(func() { w.lose = nil })
		w.cut(asker, holder)
		w.join(asker, holder)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(w.problems()), 0, "%v", w.problems())
	})
}

// Guards against a grant in use that is given back because its reply came twice.
func TestRepeatedGrantKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, asker, holder := twoNodes(t)
		grant, err := asker.client.Reserve(t.Context(), need("r", 0, time.Minute))
		assert.NilError(t, err)
		asker.client.OnMessage(holder.name, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: &peerpb.ReserveReply{
			Id: "r", Outcome: peerpb.ReserveOutcome_RESERVE_GRANTED, Target: grant.Target.Name, Load: &peerpb.GroupLoad{Service: "chat"},
		}}})
		time.Sleep(time.Second)
		assert.DeepEqual(t, holder.inFlight(), []string{"r on " + grant.Target.Name})
	})
}

// Answers the pattern of engines that crashed and came back under another name: their old
// entry stays in the registry for seconds, they look idle, and each refusal frees a slot
// for the next request of the queue.
func TestReplacedTargetDrawsNoFurtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, asker, holder := twoNodes(t)
		first, err := asker.client.Reserve(t.Context(), need("first", 0, time.Minute))
		assert.NilError(t, err)
		asker.client.Release(first, entry.Report{Result: entry.ResultTargetReplaced})
		time.Sleep(100 * time.Millisecond)
		holder.mu.Lock()
		assert.DeepEqual(t, holder.replaced, []string{first.Target.Name})
		holder.mu.Unlock()
		reserve := func(id string) string {
			grant, err := asker.client.Reserve(t.Context(), need(id, 0, time.Minute))
			assert.NilError(t, err)
			asker.client.Release(grant, entry.Report{Result: entry.ResultDone})
			time.Sleep(100 * time.Millisecond)
			return grant.Target.Name
		}
		for i := range 10 {
			assert.Assert(t, reserve(fmt.Sprint("r", i)) != first.Target.Name)
		}
		holder.duty.SetTargetState(first.Target.Name, owner.TargetUp)
		time.Sleep(100 * time.Millisecond)
		var held []string
		for i := range 2 * testSlots {
			grant, err := asker.client.Reserve(t.Context(), need(fmt.Sprint("again", i), 0, time.Minute))
			assert.NilError(t, err)
			held = append(held, grant.Target.Name)
		}
		assert.Assert(t, slices.Contains(held, first.Target.Name))
	})
}
