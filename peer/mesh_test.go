package peer

import (
	"bytes"
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

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/ring"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// node is a running mesh that records the messages and session events it reported.
type node struct {
	*Mesh
	name string

	mu sync.Mutex
	// received holds the ids of received Preempt messages by sender.
	received map[string][]string
	// events holds the session events as "name:true" for up and "name:false" for down.
	events []string
	lastUp map[string]time.Time
	pings  int
	// preemptGate blocks the receipt of Preempt messages until it is closed, if set.
	preemptGate chan struct{}
	// arrived receives a value for each Reserve message, if set.
	arrived atomic.Pointer[chan struct{}]
}

type nodeOption func(*Config, *node)

// logBuffer holds the log lines of a node, which say why a session ended. It is safe for
// concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// printIfFailed prints the lines when the test has failed.
func (b *logBuffer) printIfFailed(t testing.TB) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Failed() {
		t.Log(b.lines.String())
	}
}

// newNode starts a mesh on a loopback port and stops it when the test ends.
func newNode(t testing.TB, name string, options ...nodeOption) *node {
	t.Helper()
	n := &node{name: name, received: map[string][]string{}, lastUp: map[string]time.Time{}}
	log := &logBuffer{}
	logger, err := eventlog.New(log, "info", "text", name)
	assert.NilError(t, err)
	config := Config{
		Logger:    logger,
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
		log.printIfFailed(t)
	})
	return n
}

func (n *node) onMessage(from string, m *peerpb.Envelope) {
	if n.preemptGate != nil && m.GetPreempt() != nil {
		<-n.preemptGate
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
		n.pings++
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

func (n *node) receivedFrom(from string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.received[from]...)
}

func (n *node) hasSession(peer string) bool {
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

func preemptMessage(id string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Preempt{Preempt: &peerpb.Preempt{Id: id}}}
}

// waitFor polls until the condition holds and fails the test after limit. The tests
// use real sockets, for which virtual time cannot be used.
func waitFor(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(2*time.Millisecond))
}

// connect lets a dial b and waits until the session is up on both sides.
func connect(t testing.TB, a, b *node) {
	t.Helper()
	a.SetPeers([]Address{b.address()})
	a.Connect(b.name)
	waitFor(t, 3*time.Second, "the session is up on both sides", func() bool { return a.hasSession(b.name) && b.hasSession(a.name) })
}

// sendAll sends count numbered messages. It retries a message that a full send ring
// refused, so that none is missing.
func sendAll(t testing.TB, from, to *node, count int) {
	for i := range count {
		for {
			err := from.Send(to.name, preemptMessage(fmt.Sprint(i)))
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

// Guards against lost, repeated or reordered messages when the queues of both
// directions are full, and against a deadlock in which each daemon waits for the
// other to read.
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
		waitFor(t, 10*time.Second, "all messages arrived", func() bool { return len(to.receivedFrom(from.name)) == messages })
		for i, id := range to.receivedFrom(from.name) {
			assert.Equal(t, id, fmt.Sprint(i))
		}
	}
	assert.Equal(t, b.Stats().In["preempt"].Messages, uint64(messages))
	assert.Equal(t, a.Stats().Out["preempt"], b.Stats().In["preempt"])
	assert.Assert(t, a.Stats().Flushes < messages/2, "messages were not batched: %d flushes", a.Stats().Flushes)
}

// Guards against two sessions, or none, after both daemons dial each other
// simultaneously.
func TestSimultaneousDialsEndInOneSession(t *testing.T) {
	for round := range 20 {
		a, b := newNode(t, "a"), newNode(t, "b")
		a.SetPeers([]Address{b.address()})
		b.SetPeers([]Address{a.address()})
		var dials sync.WaitGroup
		dials.Go(func() { a.Connect("b") })
		dials.Go(func() { b.Connect("a") })
		dials.Wait()
		sameSession := func() bool {
			as, bs := a.Sessions(), b.Sessions()
			return len(as) == 1 && len(bs) == 1 && as[0].Dialled != bs[0].Dialled
		}
		waitFor(t, 3*time.Second, "both have the same session", sameSession)
		id := fmt.Sprint("round ", round)
		waitFor(t, 3*time.Second, "a message arrives", func() bool {
			_ = a.Send("b", preemptMessage(id))
			return len(b.receivedFrom("a")) > 0
		})
		checkUpDownAlternate(t, a)
		checkUpDownAlternate(t, b)
		a.Close()
		b.Close()
	}
}

// closedConn is the connection of a session that admit only compares and closes.
type closedConn struct{ net.Conn }

func (closedConn) Close() error { return nil }

// Guards against the two sides of simultaneous dials keeping different sessions.
// Both must keep the same one, whatever order each side sees the connections in.
func TestBothSidesOfSimultaneousDialsKeepTheSameSession(t *testing.T) {
	survivingDialler := func(self, other string, dialledFirst bool, delay time.Duration) (dialler string) {
		m := &Mesh{config: Config{Self: Identity{Name: self}}, peers: map[string]*peerState{}}
		now := time.Now()
		for i, dialled := range []bool{dialledFirst, !dialledFirst} {
			s := &session{
				mesh: m, hello: &peerpb.Hello{Name: other}, dialled: dialled,
				since:     now.Add(time.Duration(i) * delay),
				transport: &transport{wire: &wireConn{Conn: closedConn{}}},
				sendRing:  ring.New[*peerpb.Envelope](1), closed: make(chan struct{}),
			}
			_ = m.admit(s)
		}
		if m.peers[other].current.dialled {
			return self
		}
		return other
	}
	for _, first := range []bool{true, false} {
		assert.Equal(t, survivingDialler("a", "b", first, time.Millisecond), "a")
		assert.Equal(t, survivingDialler("b", "a", first, time.Millisecond), "a")
	}
	// When a peer dials although an older session is up, it has lost that session.
	assert.Equal(t, survivingDialler("a", "b", true, time.Minute), "b")
	assert.Equal(t, survivingDialler("a", "b", false, time.Minute), "a")
}

// checkUpDownAlternate guards against an "up" report for a session that is up
// already, and a "down" report without one.
func checkUpDownAlternate(t *testing.T, n *node) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, e := range n.events {
		up := i%2 == 0
		assert.Assert(t, e[len(e)-len(fmt.Sprint(up)):] == fmt.Sprint(up), "events of %s: %v", n.name, n.events)
	}
}

// blockWriter sends large messages to a peer that does not read, one at a time, until the
// connection's buffers are full and a message stays in the ring. It returns their number.
func blockWriter(t testing.TB, from *node, to string) (sent int) {
	t.Helper()
	large := preemptMessage(string(make([]byte, 64<<10)))
	var queuedSince time.Time
	for {
		switch queued := from.Sessions()[0].Queued; {
		case queued == 0:
			assert.NilError(t, from.Send(to, large))
			sent++
			queuedSince = time.Now()
		case time.Since(queuedSince) > 300*time.Millisecond:
			return sent
		default:
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a blocking Send, or an unbounded queue, when a peer does not read.
func TestFullRingRefusesNewestMessage(t *testing.T) {
	gate := make(chan struct{})
	openGate := sync.OnceFunc(func() { close(gate) })
	a := newNode(t, "a")
	b := newNode(t, "b", func(_ *Config, n *node) { n.preemptGate = gate })
	// This cleanup runs before those of the nodes, which wait for the blocked receiver.
	t.Cleanup(openGate)
	connect(t, a, b)
	queued := blockWriter(t, a, "b")
	refused := 0
	// The ring counts as full once Send has failed for 300 ms without a success.
	var fullSince time.Time
	for fullSince.IsZero() || time.Since(fullSince) < 300*time.Millisecond {
		assert.Assert(t, queued < 100_000, "the queue has no bound")
		err := a.Send("b", preemptMessage("x"))
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
	openGate()
	waitFor(t, 10*time.Second, "the queued messages arrive", func() bool { return len(b.receivedFrom("a")) == queued })
}

// Guards against messages to the daemon's own name being sent over the network or lost.
func TestMessageToSelfIsDeliveredLocally(t *testing.T) {
	a := newNode(t, "a")
	assert.NilError(t, a.Send("a", preemptMessage("x")))
	waitFor(t, time.Second, "the message arrives", func() bool { return len(a.receivedFrom("a")) == 1 })
	assert.Equal(t, a.Stats().WireOut, uint64(0))
}

// Guards against a Send that does not start dialling, against dials to names that are
// not listed, and against the loss of the first messages to a peer. With hundreds of
// daemons, most of the first requests after a start go to an owner with which no
// session is up yet.
func TestFirstMessagesWaitForTheSession(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	assert.ErrorIs(t, a.Send("b", preemptMessage("x")), ErrNoSession)
	a.SetPeers([]Address{b.address()})
	assert.NilError(t, a.Send("b", preemptMessage("1")))
	assert.NilError(t, a.Send("b", preemptMessage("2")))
	waitFor(t, 3*time.Second, "both messages arrive", func() bool { return len(b.receivedFrom("a")) == 2 })
	assert.Assert(t, a.hasSession("b"))
	assert.ErrorIs(t, a.Send("c", preemptMessage("x")), ErrNoSession)
}

// Guards against senders that wait for an unreachable peer with every message. Once a
// dial has failed or the session has ended, Send returns ErrNoSession immediately.
func TestUnreachablePeerHoldsNoMessages(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.SetPeers([]Address{{Name: "gone", Address: "127.0.0.1:1"}, b.address()})
	assert.NilError(t, a.Send("gone", preemptMessage("x")))
	waitFor(t, 3*time.Second, "Send reports the failed dial", func() bool {
		return errors.Is(a.Send("gone", preemptMessage("x")), ErrNoSession)
	})
	a.Connect("b")
	waitFor(t, 3*time.Second, "the session is up", func() bool { return a.hasSession("b") })
	b.Close()
	waitFor(t, 3*time.Second, "the ended session is removed", func() bool { return !a.hasSession("b") })
	assert.ErrorIs(t, a.Send("b", preemptMessage("x")), ErrNoSession)
}

// Guards against stale messages being delivered when the first session took long, and
// against unbounded memory for messages to a peer that does not answer.
func TestEarlyMessagesAreBounded(t *testing.T) {
	start := time.Now()
	var e earlyQueue
	for range maxEarlyMessages {
		assert.NilError(t, e.enqueue(start, preemptMessage("x")))
	}
	assert.ErrorIs(t, e.enqueue(start, preemptMessage("x")), ErrQueueFull)
	assert.ErrorIs(t, e.enqueue(start.Add(maxEarlyMessageAge+1), preemptMessage("x")), ErrNoSession)
	assert.Equal(t, len(e.drain(start.Add(maxEarlyMessageAge+1))), 0)
	assert.NilError(t, e.enqueue(start, preemptMessage("x")))
	assert.Equal(t, len(e.drain(start.Add(maxEarlyMessageAge))), 1)
}

// Guards against a session with the wrong daemon, when another daemon answers at a
// reused address.
func TestOtherNameAtAddressIsRefused(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.SetPeers([]Address{{Name: "c", Address: b.ListenAddress()}})
	a.Connect("c")
	waitFor(t, 3*time.Second, "a connection was tried", func() bool { return b.Stats().WireIn > 0 })
	waitFor(t, 3*time.Second, "the refused session is gone", func() bool { return !b.hasSession("a") })
	assert.Assert(t, !a.hasSession("c") && !a.hasSession("b"))
}

// Guards against a restarted daemon being refused because the session of the previous
// process is still up.
func TestHigherIncarnationReplacesSession(t *testing.T) {
	hub := newNode(t, "b")
	old := newNode(t, "a", func(c *Config, _ *node) { c.Self.Incarnation = 1 })
	connect(t, old, hub)
	restarted := newNode(t, "a", func(c *Config, _ *node) { c.Self.Incarnation = 2 })
	restarted.SetPeers([]Address{hub.address()})
	restarted.Connect("b")
	waitFor(t, 3*time.Second, "the new incarnation holds the session", func() bool {
		s := hub.Sessions()
		return len(s) == 1 && s[0].Incarnation == 2
	})
	old.Close()
}

// Guards against the loss of queued messages on a graceful stop, such as the
// announcement that the daemon leaves.
func TestCloseSendsQueuedMessages(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	connect(t, a, b)
	for i := range 500 {
		assert.NilError(t, a.Send("b", preemptMessage(fmt.Sprint(i))))
	}
	a.Close()
	waitFor(t, 3*time.Second, "all messages arrive", func() bool { return len(b.receivedFrom("a")) == 500 })
	assert.ErrorIs(t, a.Send("b", preemptMessage("late")), ErrClosed)
}

// Guards against a new configuration generation that no ping or pong carries while
// other traffic keeps the session busy, so that no idle ping is due.
func TestBusySessionSendsNewGeneration(t *testing.T) {
	var mu sync.Mutex
	generation := uint64(1)
	received := uint64(0)
	a := newNode(t, "a", func(c *Config, _ *node) {
		c.Generation = func() uint64 { mu.Lock(); defer mu.Unlock(); return generation }
	})
	b := newNode(t, "b", func(c *Config, _ *node) {
		c.OnMessage = func(_ string, m *peerpb.Envelope) {
			mu.Lock()
			defer mu.Unlock()
			received = max(received, m.GetPing().GetGeneration(), m.GetPong().GetGeneration())
		}
	})
	connect(t, a, b)
	mu.Lock()
	generation = 7
	mu.Unlock()
	waitFor(t, 4*time.Second, "the generation is received", func() bool {
		_, _ = a.Send("b", preemptMessage("traffic")), b.Send("a", preemptMessage("traffic"))
		mu.Lock()
		defer mu.Unlock()
		return received == 7
	})
}

// Guards against a generation that changes after the Hello was sent and before the session's
// writer starts: a busy session never told it.
func TestGenerationChangedDuringTheHandshakeIsSent(t *testing.T) {
	var calls, received atomic.Uint64
	a := newNode(t, "a", func(c *Config, _ *node) {
		c.Generation = func() uint64 {
			if calls.Add(1) == 1 {
				return 1
			}
			return 7
		}
	})
	b := newNode(t, "b", func(c *Config, _ *node) {
		c.OnMessage = func(_ string, m *peerpb.Envelope) {
			received.Store(max(received.Load(), m.GetPing().GetGeneration(), m.GetPong().GetGeneration()))
		}
	})
	connect(t, a, b)
	waitFor(t, 4*time.Second, "the generation is received", func() bool {
		_, _ = a.Send("b", preemptMessage("traffic")), b.Send("a", preemptMessage("traffic"))
		return received.Load() == 7
	})
}
