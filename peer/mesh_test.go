package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/ring"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// node is one mesh with a record of what it reported.
type node struct {
	*Mesh
	name string

	mu       sync.Mutex
	received map[string][]string
	events   []string
	lastUp   map[string]time.Time
	onPing   int
	block    chan struct{}
	// arrived gets a value for each Reserve when it is set.
	arrived atomic.Pointer[chan struct{}]
}

type nodeOption func(*Config, *node)

// newNode starts a mesh on a loopback port and stops it when the test ends.
func newNode(t testing.TB, name string, options ...nodeOption) *node {
	t.Helper()
	n := &node{name: name, received: map[string][]string{}, lastUp: map[string]time.Time{}}
	config := Config{
		Self:      Identity{Name: name, DataCentre: "lhr-a", Incarnation: 1},
		Listen:    "127.0.0.1:0",
		OnMessage: n.onMessage,
		OnSession: n.onSession,
	}
	for _, option := range options {
		option(&config, n)
	}
	mesh, err := New(config)
	assert.NilError(t, err)
	n.Mesh = mesh
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = mesh.Run(context.Background())
	}()
	t.Cleanup(func() {
		mesh.Close()
		<-done
	})
	return n
}

func (n *node) onMessage(from string, m *peerpb.Envelope) {
	if n.block != nil && m.GetPreempt() != nil {
		<-n.block
	}
	if arrived := n.arrived.Load(); arrived != nil && m.GetReserve() != nil {
		*arrived <- struct{}{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case m.GetPreempt() != nil:
		n.received[from] = append(n.received[from], m.GetPreempt().Id)
	case m.GetPing() != nil:
		n.onPing++
	}
}

func (n *node) onSession(name string, up bool, hello *peerpb.Hello) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, fmt.Sprintf("%s:%t", name, up))
	if up {
		n.lastUp[name] = time.Now()
	}
}

func (n *node) messages(from string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.received[from]...)
}

func (n *node) has(peer string) bool {
	for _, s := range n.Sessions() {
		if s.Name == peer {
			return true
		}
	}
	return false
}

func (n *node) address() Address {
	return Address{Name: n.name, Address: n.ListenAddress(), DataCentre: "lhr-a"}
}

func text(id string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Preempt{Preempt: &peerpb.Preempt{Id: id}}}
}

// waitFor polls a condition on real sockets, for which virtual time cannot be
// used.
func waitFor(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(2*time.Millisecond))
}

func connect(t testing.TB, a, b *node) {
	t.Helper()
	a.SetPeers([]Address{b.address()})
	a.Connect(b.name)
	waitFor(t, 3*time.Second, "the session is up on both sides", func() bool { return a.has(b.name) && b.has(a.name) })
}

// sendAll repeats a message that the full ring refused, so that none is missing.
func sendAll(t testing.TB, from, to *node, count int) {
	for i := range count {
		for {
			err := from.Send(to.name, text(fmt.Sprint(i)))
			if err == nil {
				break
			}
			if !errors.Is(err, ErrQueueFull) {
				t.Errorf("send %d: %v", i, err)
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against lost, repeated or reordered messages when both directions are
// full at once, and against daemons that wait for each other's reads.
func TestMessagesArriveInOrderInBothDirections(t *testing.T) {
	const messages = 20_000
	a, b := newNode(t, "a"), newNode(t, "b")
	connect(t, a, b)
	var senders sync.WaitGroup
	senders.Go(func() { sendAll(t, a, b, messages) })
	senders.Go(func() { sendAll(t, b, a, messages) })
	senders.Wait()
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		waitFor(t, 10*time.Second, "all messages arrived", func() bool { return len(to.messages(from.name)) == messages })
		for i, id := range to.messages(from.name) {
			assert.Equal(t, id, fmt.Sprint(i))
		}
	}
	assert.Equal(t, b.Stats().In["preempt"].Messages, uint64(messages))
	assert.Equal(t, a.Stats().Out["preempt"], b.Stats().In["preempt"])
	assert.Assert(t, a.Stats().Flushes < messages/2, "messages were not batched: %d flushes", a.Stats().Flushes)
}

// Guards against two sessions, or none, after both daemons dial at once.
func TestCrossedDialsEndInOneSession(t *testing.T) {
	for round := range 20 {
		a, b := newNode(t, "a"), newNode(t, "b")
		a.SetPeers([]Address{b.address()})
		b.SetPeers([]Address{a.address()})
		var dials sync.WaitGroup
		dials.Go(func() { a.Connect("b") })
		dials.Go(func() { b.Connect("a") })
		dials.Wait()
		same := func() bool {
			as, bs := a.Sessions(), b.Sessions()
			return len(as) == 1 && len(bs) == 1 && as[0].Dialled != bs[0].Dialled
		}
		waitFor(t, 3*time.Second, "both have the same session", same)
		id := fmt.Sprint("round ", round)
		waitFor(t, 3*time.Second, "a message arrives", func() bool {
			_ = a.Send("b", text(id))
			return len(b.messages("a")) > 0
		})
		checkAlternates(t, a)
		checkAlternates(t, b)
		a.Close()
		b.Close()
	}
}

// closedConn stands in for the connection of a session that is only compared.
type closedConn struct{ net.Conn }

func (closedConn) Close() error { return nil }

// Guards against the two sides of crossed dials keeping different sessions: for
// each order in which the sides see the two connections, both keep the same.
func TestCrossedDialsAreDecidedAlike(t *testing.T) {
	kept := func(self, other string, dialledFirst bool, later time.Duration) (dialler string) {
		m := &Mesh{config: Config{Self: Identity{Name: self}}, peers: map[string]*remote{}}
		now := time.Now()
		for i, dialled := range []bool{dialledFirst, !dialledFirst} {
			s := &session{
				mesh: m, hello: &peerpb.Hello{Name: other}, dialled: dialled,
				since:     now.Add(time.Duration(i) * later),
				transport: &transport{wire: &wireConn{Conn: closedConn{}}},
				out:       ring.New[*peerpb.Envelope](1), closed: make(chan struct{}),
			}
			_ = m.admit(s)
		}
		if m.peers[other].current.dialled {
			return self
		}
		return other
	}
	for _, first := range []bool{true, false} {
		assert.Equal(t, kept("a", "b", first, time.Millisecond), "a")
		assert.Equal(t, kept("b", "a", first, time.Millisecond), "a")
	}
	// A peer that dials over an old session has lost that session.
	assert.Equal(t, kept("a", "b", true, time.Minute), "b")
	assert.Equal(t, kept("a", "b", false, time.Minute), "a")
}

// checkAlternates guards against an "up" report for a session that is up
// already, and a "down" report without one.
func checkAlternates(t *testing.T, n *node) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, e := range n.events {
		up := i%2 == 0
		assert.Assert(t, e[len(e)-len(fmt.Sprint(up)):] == fmt.Sprint(up), "events of %s: %v", n.name, n.events)
	}
}

// Guards against a Send that blocks, or a queue without a bound, when a peer
// does not read.
func TestFullRingRefusesNewestMessage(t *testing.T) {
	gate := make(chan struct{})
	open := sync.OnceFunc(func() { close(gate) })
	a := newNode(t, "a")
	b := newNode(t, "b", func(_ *Config, n *node) { n.block = gate })
	// Runs before the cleanups of the nodes, which wait for the blocked receiver.
	t.Cleanup(open)
	connect(t, a, b)
	large := text(string(make([]byte, 64<<10)))
	queued, refused := 0, 0
	// The writer takes messages from the ring until the connection's buffers are full
	// as well. The ring is full for good once it stays so for a while.
	var fullSince time.Time
	for fullSince.IsZero() || time.Since(fullSince) < 300*time.Millisecond {
		assert.Assert(t, queued < 100_000, "the queue has no bound")
		err := a.Send("b", large)
		if err == nil {
			queued++
			fullSince = time.Time{}
			continue
		}
		assert.ErrorIs(t, err, ErrQueueFull)
		refused++
		if fullSince.IsZero() {
			fullSince = time.Now()
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, queued >= sendRingSize, "queued %d", queued)
	assert.Equal(t, a.Sessions()[0].Queued, sendRingSize)
	assert.Equal(t, a.Stats().Refused, uint64(refused))
	open()
	waitFor(t, 10*time.Second, "the queued messages arrive", func() bool { return len(b.messages("a")) == queued })
}

// Guards against messages to the own name going to the network or being lost.
func TestMessageToSelfIsDeliveredLocally(t *testing.T) {
	a := newNode(t, "a")
	assert.NilError(t, a.Send("a", text("x")))
	waitFor(t, time.Second, "the message arrives", func() bool { return len(a.messages("a")) == 1 })
	assert.Equal(t, a.Stats().WireOut, uint64(0))
}

// Guards against a Send that does not start dialling, against dials to names that are
// not listed, and against the loss of the first messages to a peer: with hundreds of
// daemons, most first requests of a day meet an owner without a session.
func TestFirstMessagesWaitForTheSession(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	assert.ErrorIs(t, a.Send("b", text("x")), ErrNoSession)
	a.SetPeers([]Address{b.address()})
	assert.NilError(t, a.Send("b", text("1")))
	assert.NilError(t, a.Send("b", text("2")))
	waitFor(t, 3*time.Second, "both messages arrive", func() bool { return len(b.messages("a")) == 2 })
	assert.Assert(t, a.has("b"))
	assert.ErrorIs(t, a.Send("c", text("x")), ErrNoSession)
}

// Guards against a peer that cannot be reached and that senders wait for again and
// again: once a dial failed or its session broke, Send says so at once.
func TestUnreachablePeerHoldsNoMessages(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.SetPeers([]Address{{Name: "gone", Address: "127.0.0.1:1"}, b.address()})
	assert.NilError(t, a.Send("gone", text("x")))
	waitFor(t, 3*time.Second, "the failed dial is known", func() bool {
		return errors.Is(a.Send("gone", text("x")), ErrNoSession)
	})
	a.Connect("b")
	waitFor(t, 3*time.Second, "the session is up", func() bool { return a.has("b") })
	b.Close()
	waitFor(t, 3*time.Second, "the broken session is known", func() bool { return !a.has("b") })
	assert.ErrorIs(t, a.Send("b", text("x")), ErrNoSession)
}

// Guards against stale messages that reach a peer whose session took long, and against
// memory that grows with the messages to a silent one.
func TestEarlyMessagesAreBounded(t *testing.T) {
	start := time.Now()
	var e early
	for range maxEarly {
		assert.NilError(t, e.hold(start, text("x")))
	}
	assert.ErrorIs(t, e.hold(start, text("x")), ErrQueueFull)
	assert.ErrorIs(t, e.hold(start.Add(earlyAge+1), text("x")), ErrNoSession)
	assert.Equal(t, len(e.take(start.Add(earlyAge+1))), 0)
	assert.NilError(t, e.hold(start, text("x")))
	assert.Equal(t, len(e.take(start.Add(earlyAge))), 1)
}

// Guards against a daemon that reached another one at a reused address and
// takes it for the peer that it dialled.
func TestOtherNameAtAddressIsRefused(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.SetPeers([]Address{{Name: "c", Address: b.ListenAddress()}})
	a.Connect("c")
	waitFor(t, 3*time.Second, "a connection was tried", func() bool { return b.Stats().WireIn > 0 })
	waitFor(t, 3*time.Second, "the refused session is gone", func() bool { return !b.has("a") })
	assert.Assert(t, !a.has("c") && !a.has("b"))
}

// Guards against a restarted daemon being refused because of the session of its
// predecessor.
func TestHigherIncarnationReplacesSession(t *testing.T) {
	a := newNode(t, "b")
	old := newNode(t, "a", func(c *Config, _ *node) { c.Self.Incarnation = 1 })
	connect(t, old, a)
	restarted := newNode(t, "a", func(c *Config, _ *node) { c.Self.Incarnation = 2 })
	restarted.SetPeers([]Address{a.address()})
	restarted.Connect("b")
	waitFor(t, 3*time.Second, "the new incarnation holds the session", func() bool {
		s := a.Sessions()
		return len(s) == 1 && s[0].Incarnation == 2
	})
	old.Close()
}

// Guards against queued messages that are lost on a graceful stop, such as the
// announcement that the daemon leaves.
func TestCloseSendsQueuedMessages(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	connect(t, a, b)
	for i := range 500 {
		assert.NilError(t, a.Send("b", text(fmt.Sprint(i))))
	}
	a.Close()
	waitFor(t, 3*time.Second, "all messages arrive", func() bool { return len(b.messages("a")) == 500 })
	assert.ErrorIs(t, a.Send("b", text("late")), ErrClosed)
}

// Guards against a new generation that neither a ping nor a pong carries while
// other traffic keeps the session busy.
func TestBusySessionTellsNewGeneration(t *testing.T) {
	var mu sync.Mutex
	generation := uint64(1)
	heard := uint64(0)
	a := newNode(t, "a", func(c *Config, _ *node) {
		c.Generation = func() uint64 { mu.Lock(); defer mu.Unlock(); return generation }
	})
	b := newNode(t, "b", func(c *Config, _ *node) {
		c.OnMessage = func(_ string, m *peerpb.Envelope) {
			mu.Lock()
			defer mu.Unlock()
			heard = max(heard, m.GetPing().GetGeneration(), m.GetPong().GetGeneration())
		}
	})
	connect(t, a, b)
	mu.Lock()
	generation = 7
	mu.Unlock()
	waitFor(t, 4*time.Second, "the generation is heard", func() bool {
		_, _ = a.Send("b", text("traffic")), b.Send("a", text("traffic"))
		mu.Lock()
		defer mu.Unlock()
		return heard == 7
	})
}
