package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// relay is a TCP proxy that can blackhole its open connections: their bytes are
// dropped, and neither side gets an error.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	links  []*link
	opened int
	tasks  sync.WaitGroup
}

// link is a dialler's connection and the matching connection to the target.
type link struct {
	diallerConn, targetConn net.Conn
	mu                      sync.Mutex
	blackholed              [2]bool
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	r.tasks.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeLinks()
		r.tasks.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		diallerConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = diallerConn.Close()
			continue
		}
		l := &link{diallerConn: diallerConn, targetConn: targetConn}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.opened++
		r.mu.Unlock()
		r.tasks.Go(func() { l.forward(diallerConn, targetConn, 0) })
		r.tasks.Go(func() { l.forward(targetConn, diallerConn, 1) })
	}
}

// forward copies one direction. In a blackholed direction, bytes are dropped and the
// end of the connection is not passed on, as if a stateful middlebox had lost its
// entry for the connection.
func (l *link) forward(from, to net.Conn, direction int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		blackholed := l.blackholed[direction]
		l.mu.Unlock()
		if err != nil && !blackholed {
			_ = to.Close()
		}
		if err != nil {
			_ = from.Close()
			return
		}
		if !blackholed {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// blackhole drops all further bytes of the open connections in the given directions:
// 0 from the dialling side, 1 toward it.
func (r *relay) blackhole(directions ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		for _, d := range directions {
			l.blackholed[d] = true
		}
		l.mu.Unlock()
	}
}

// closeLinks closes the open connections.
func (r *relay) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		_ = l.diallerConn.Close()
		_ = l.targetConn.Close()
	}
	r.links = nil
}

func connectThrough(t testing.TB, r *relay, a, b *node) {
	t.Helper()
	a.SetPeers([]Address{{Name: b.name, Address: r.listener.Addr().String()}})
	a.Connect(b.name)
	waitFor(t, 3*time.Second, "the session is up on both sides", func() bool { return a.hasSession(b.name) && b.hasSession(a.name) })
}

// waitUntilReplaced waits until a message sent after the failure arrives. It returns
// the time that took.
func waitUntilReplaced(t testing.TB, limit time.Duration, from, to *node) time.Duration {
	t.Helper()
	start := time.Now()
	waitFor(t, limit, "a message gets through again", func() bool {
		_ = from.Send(to.name, preemptMessage("after"))
		return len(to.receivedFrom(from.name)) > 0
	})
	return time.Since(start)
}

// Guards against a silent connection that stays in use (fault F9): it must be detected
// and replaced within 4 s, whichever direction drops its bytes and whichever side
// dialled.
func TestSilentConnectionIsReplaced(t *testing.T) {
	cases := map[string]struct {
		names      [2]string
		directions []int
	}{
		"both directions":             {[2]string{"a", "b"}, []int{0, 1}},
		"from the dialling side":      {[2]string{"a", "b"}, []int{0}},
		"toward the dialling side":    {[2]string{"a", "b"}, []int{1}},
		"both, larger name dialled":   {[2]string{"b", "a"}, []int{0, 1}},
		"toward, larger name dialled": {[2]string{"b", "a"}, []int{1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newNode(t, c.names[0]), newNode(t, c.names[1])
			r := newRelay(t, b.ListenAddress())
			connectThrough(t, r, a, b)
			r.blackhole(c.directions...)
			start := time.Now()
			var both sync.WaitGroup
			both.Go(func() { waitUntilReplaced(t, 4*time.Second, a, b) })
			both.Go(func() { waitUntilReplaced(t, 4*time.Second, b, a) })
			both.Wait()
			t.Logf("replaced after %v", time.Since(start).Round(time.Millisecond))
			checkUpDownAlternate(t, a)
			checkUpDownAlternate(t, b)
		})
	}
}

// Guards against closing an idle session as silent, and against more than one ping or
// pong frame a second in each direction.
func TestIdleSessionStaysUp(t *testing.T) {
	t.Parallel()
	a, b := newNode(t, "a"), newNode(t, "b")
	connect(t, a, b)
	start := time.Now()
	waitFor(t, 8*time.Second, "five pings were sent", func() bool { return a.Stats().Out["ping"].Messages >= 5 })
	elapsed := time.Since(start).Seconds()
	out := a.Stats().Out
	sent := out["ping"].Messages + out["pong"].Messages
	assert.Assert(t, float64(sent) <= elapsed+2, "%d frames in %.1f s", sent, elapsed)
	assert.DeepEqual(t, a.events, []string{"b:true"})
}

// Guards against a closed connection that is not dialled again within 2 s.
func TestCutConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	a, b := newNode(t, "a"), newNode(t, "b")
	r := newRelay(t, b.ListenAddress())
	connectThrough(t, r, a, b)
	for range 5 {
		r.closeLinks()
		b.mu.Lock()
		b.received = map[string][]string{}
		b.mu.Unlock()
		waitUntilReplaced(t, 2*time.Second, a, b)
	}
	checkUpDownAlternate(t, a)
	checkUpDownAlternate(t, b)
}

// Guards against a dial loop that stops while the peer is unreachable, or that dials
// it too often.
func TestUnreachablePeerIsDialledWithBackoff(t *testing.T) {
	t.Parallel()
	a, b := newNode(t, "a"), newNode(t, "b")
	r := newRelay(t, "127.0.0.1:1")
	start := time.Now()
	a.SetPeers([]Address{{Name: "b", Address: r.listener.Addr().String()}})
	a.Connect("b")
	working := newRelay(t, b.ListenAddress())
	waitFor(t, 5*time.Second, "several dials failed", func() bool { return a.Stats().WireOut > 0 && time.Since(start) > time.Second })
	a.SetPeers([]Address{{Name: "b", Address: working.listener.Addr().String()}})
	waitFor(t, 4*time.Second, "the new address is used", func() bool { return a.hasSession("b") })
}
