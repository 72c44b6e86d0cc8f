package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// relay forwards TCP connections and can make the ones that are open silent:
// their bytes vanish, and neither side sees an error.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	links  []*link
	opened int
	tasks  sync.WaitGroup
}

type link struct {
	a, b   net.Conn
	mu     sync.Mutex
	frozen [2]bool
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	r.tasks.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.cut()
		r.tasks.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		a, err := r.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		l := &link{a: a, b: b}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.opened++
		r.mu.Unlock()
		r.tasks.Go(func() { l.forward(a, b, 0) })
		r.tasks.Go(func() { l.forward(b, a, 1) })
	}
}

// forward copies one direction. A frozen direction is read and dropped, and the
// end of the connection is not passed on, as when a middlebox forgets it.
func (l *link) forward(from, to net.Conn, direction int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		frozen := l.frozen[direction]
		l.mu.Unlock()
		if err != nil && !frozen {
			_ = to.Close()
		}
		if err != nil {
			_ = from.Close()
			return
		}
		if !frozen {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// freeze makes the open connections silent in the given directions (0 from the
// dialling side, 1 toward it).
func (r *relay) freeze(directions ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		for _, d := range directions {
			l.frozen[d] = true
		}
		l.mu.Unlock()
	}
}

// cut closes the open connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		_ = l.a.Close()
		_ = l.b.Close()
	}
	r.links = nil
}

func connectThrough(t testing.TB, r *relay, a, b *node) {
	t.Helper()
	a.SetPeers([]Address{{Name: b.name, Address: r.listener.Addr().String()}})
	a.Connect(b.name)
	waitFor(t, 3*time.Second, "the session is up on both sides", func() bool { return a.has(b.name) && b.has(a.name) })
}

// replacedWithin waits until a message sent after the failure arrives.
func replacedWithin(t testing.TB, limit time.Duration, from, to *node) time.Duration {
	t.Helper()
	start := time.Now()
	waitFor(t, limit, "a message gets through again", func() bool {
		_ = from.Send(to.name, text("after"))
		return len(to.messages(from.name)) > 0
	})
	return time.Since(start)
}

// Guards against a connection that went silent and is kept (F9): it must be
// found and replaced within 4 s, whichever direction is silent and whichever
// side dialled.
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
			r.freeze(c.directions...)
			found := time.Now()
			var both sync.WaitGroup
			both.Go(func() { replacedWithin(t, 4*time.Second, a, b) })
			both.Go(func() { replacedWithin(t, 4*time.Second, b, a) })
			both.Wait()
			t.Logf("replaced after %v", time.Since(found).Round(time.Millisecond))
			checkAlternates(t, a)
			checkAlternates(t, b)
		})
	}
}

// Guards against an idle session that is taken for a silent one, and against
// pings that cost more than one frame a second in each direction.
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

// Guards against a lost connection that is not dialled again soon.
func TestCutConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	a, b := newNode(t, "a"), newNode(t, "b")
	r := newRelay(t, b.ListenAddress())
	connectThrough(t, r, a, b)
	for range 5 {
		r.cut()
		b.mu.Lock()
		b.received = map[string][]string{}
		b.mu.Unlock()
		replacedWithin(t, 2*time.Second, a, b)
	}
	checkAlternates(t, a)
	checkAlternates(t, b)
}

// Guards against a dial loop that stops, or that floods a peer, while the peer
// is unreachable.
func TestUnreachablePeerIsDialledWithBackoff(t *testing.T) {
	t.Parallel()
	a, b := newNode(t, "a"), newNode(t, "b")
	r := newRelay(t, "127.0.0.1:1")
	start := time.Now()
	a.SetPeers([]Address{{Name: "b", Address: r.listener.Addr().String()}})
	a.Connect("b")
	dropped := newRelay(t, b.ListenAddress())
	waitFor(t, 5*time.Second, "several dials failed", func() bool { return a.Stats().WireOut > 0 && time.Since(start) > time.Second })
	a.SetPeers([]Address{{Name: "b", Address: dropped.listener.Addr().String()}})
	waitFor(t, 4*time.Second, "the new address is used", func() bool { return a.has("b") })
}
