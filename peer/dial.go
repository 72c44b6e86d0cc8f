package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// handshakeTimeout bounds the TLS handshake and the Hello exchange of an
	// accepted connection together. On a dialled connection it bounds connecting
	// with the TLS handshake, and then once more the Hello exchange.
	handshakeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay between dials to one peer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// acceptRetryDelay is the pause after a failed accept, for example when
	// the process has no free file descriptor.
	acceptRetryDelay = 50 * time.Millisecond
	// maxMessageBytes bounds one message. A complete configuration of the size
	// planned for in two years has about 3 MB.
	maxMessageBytes = 16 << 20
	// maxFrameBytes is the frame size into which large messages are split, so
	// that the buffers that drpc keeps for each session stay small.
	maxFrameBytes = 8 << 10
	// maxRetainedBufferBytes is the largest encoding buffer that a session keeps
	// for reuse.
	maxRetainedBufferBytes = 16 << 10
)

// managerOptions returns the drpc options, which both sides of a session use.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{SplitSize: maxFrameBytes, MaximumBufferSize: maxRetainedBufferBytes},
	}
}

// accept accepts connections and serves each in its own goroutine until the
// listener is closed. A failed accept is logged and retried.
func (m *Mesh) accept() error {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.config.Logger.EmitError(eventlog.SessionDown, fault.Wrap(err, "peer.accept", ""), nil)
			if !m.sleep(acceptRetryDelay) {
				return nil
			}
			continue
		}
		if !m.startTask(func() { m.serve(conn) }) {
			_ = conn.Close()
		}
	}
}

// serve performs the TLS handshake of an accepted connection and runs its
// session until the connection ends.
func (m *Mesh) serve(raw net.Conn) {
	tr := m.newTransport(raw)
	defer tr.Close()
	helloTimer := time.AfterFunc(handshakeTimeout, func() { _ = tr.Close() })
	defer helloTimer.Stop()
	var tlsState *tls.ConnectionState
	if m.tls != nil {
		conn := tls.Server(tr.wire, m.tls.serverConfig())
		if err := conn.HandshakeContext(m.ctx); err != nil {
			m.logNotEstablished(err, raw.RemoteAddr().String())
			return
		}
		tr.Conn = conn
		s := conn.ConnectionState()
		tlsState = &s
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &acceptor{mesh: m, transport: tr, tlsState: tlsState, helloTimer: helloTimer}); err != nil {
		m.logNotEstablished(err, raw.RemoteAddr().String())
		return
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	_ = server.ServeOne(m.ctx, tr)
}

// acceptor handles the single drpc stream of an accepted connection.
type acceptor struct {
	mesh       *Mesh
	transport  *transport
	tlsState   *tls.ConnectionState
	helloTimer *time.Timer
}

// Session implements peerpb.DRPCPeerServer. It exchanges Hello with the peer that
// dialled and returns when the session ends.
func (a *acceptor) Session(stream peerpb.DRPCPeer_SessionStream) error {
	m := a.mesh
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if err := m.checkHello(hello, "", a.tlsState); err != nil {
		m.logNotEstablished(err, a.transport.RemoteAddr().String())
		return err
	}
	own := m.newHello()
	s := m.newSession(hello, own.GetHello(), a.transport, stream, false)
	if err := m.admit(s); err != nil {
		return err
	}
	if err := stream.Send(own); err != nil {
		s.close(err)
	}
	a.helloTimer.Stop()
	m.runSession(s)
	return nil
}

// startDialLoop starts the dial loop of a peer unless it is running, or the peer
// is not wanted or not dialable. The caller holds mu.
func (m *Mesh) startDialLoop(p *peerState) {
	if m.closed || p.dialLoopRunning || !p.wanted || !p.dialable {
		return
	}
	p.dialLoopRunning = true
	m.tasks.Go(func() { m.dialLoop(p) })
}

// dialLoop keeps a session with the peer up while the peer is wanted. The
// backoff is reset to its minimum after every session that came up.
func (m *Mesh) dialLoop(p *peerState) {
	backoff := minBackoff
	for {
		address, current, ok := m.nextDial(p)
		if !ok {
			return
		}
		if current != nil {
			if !m.waitUntilEnded(current) || !m.sleep(m.redialDelay(p.name)) {
				continue
			}
			backoff = minBackoff
			continue
		}
		up, err := m.dial(address)
		if up {
			backoff = minBackoff
			m.sleep(m.redialDelay(p.name))
			continue
		}
		m.discardEarlyMessages(p)
		if backoff == minBackoff {
			// Only the first of several failed dials in a row is logged.
			m.logNotEstablished(err, address.Name)
		}
		m.sleep(backoff/2 + rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextDial returns the address to dial and the current session, whose end has to
// be awaited before dialling. It returns false when the peer is no longer wanted
// or the mesh is closed, and then marks the dial loop as ended.
func (m *Mesh) nextDial(p *peerState) (Address, *session, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || !p.wanted || !p.dialable {
		p.dialLoopRunning = false
		m.removeIfUnused(p)
		return Address{}, nil, false
	}
	return p.address, p.current, true
}

// discardEarlyMessages drops the messages that wait for a session after a failed
// dial, unless the peer has dialled this daemon in the meantime.
func (m *Mesh) discardEarlyMessages(p *peerState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.current == nil {
		p.early.discardAfterFailedDial()
	}
}

// waitUntilEnded waits until the session was reported as down. It returns false
// when the mesh is closed first.
func (m *Mesh) waitUntilEnded(s *session) bool {
	select {
	case <-s.ended:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// redialDelay returns a random delay before a lost session is dialled again. The
// daemon with the larger name waits longer, so that the two sides rarely dial at
// the same moment.
func (m *Mesh) redialDelay(peer string) time.Duration {
	delay := rand.N(minBackoff)
	if peer < m.config.Self.Name {
		delay += minBackoff
	}
	return delay
}

// sleep waits for d. It returns false when the mesh is closed first.
func (m *Mesh) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// dial opens a connection and runs its session until it ends. The result up is
// true when a session was established; otherwise err tells why not.
func (m *Mesh) dial(address Address) (up bool, err error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address.Address)
	if err != nil {
		return false, fault.Wrap(err, "peer.dial", address.Name)
	}
	tr := m.newTransport(raw)
	defer tr.Close()
	var tlsState *tls.ConnectionState
	if m.tls != nil {
		conn := tls.Client(tr.wire, m.tls.clientConfig(address.Name))
		if err := conn.HandshakeContext(ctx); err != nil {
			return false, fault.Wrap(err, "peer.tls", address.Name)
		}
		tr.Conn = conn
		s := conn.ConnectionState()
		tlsState = &s
	}
	helloTimer := time.AfterFunc(handshakeTimeout, func() { _ = tr.Close() })
	defer helloTimer.Stop()
	conn := drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: managerOptions()})
	defer conn.Close()
	s, err := m.openSession(conn, address, tr, tlsState)
	if err != nil {
		return false, err
	}
	helloTimer.Stop()
	m.runSession(s)
	return true, nil
}

// openSession opens the drpc stream of a dialled connection, exchanges Hello and
// makes the stream the peer's session.
func (m *Mesh) openSession(conn *drpcconn.Conn, address Address, tr *transport, tlsState *tls.ConnectionState) (*session, error) {
	stream, err := peerpb.NewDRPCPeerClient(conn).Session(m.ctx)
	if err != nil {
		return nil, fault.Wrap(err, "peer.hello", address.Name)
	}
	own := m.newHello()
	if err := stream.Send(own); err != nil {
		return nil, fault.Wrap(err, "peer.hello", address.Name)
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, fault.Wrap(err, "peer.hello", address.Name)
	}
	hello := first.GetHello()
	if err := m.checkHello(hello, address.Name, tlsState); err != nil {
		return nil, err
	}
	s := m.newSession(hello, own.GetHello(), tr, stream, true)
	return s, m.admit(s)
}

// newTransport wraps a TCP connection so that its bytes are counted and its reads
// and writes have deadlines. The caller adds TLS.
func (m *Mesh) newTransport(raw net.Conn) *transport {
	wire := &wireConn{Conn: raw, stats: &m.stats}
	return &transport{Conn: wire, wire: wire}
}

// newHello returns the Hello message of this daemon.
func (m *Mesh) newHello() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Name:        m.config.Self.Name,
		DataCentre:  m.config.Self.DataCentre,
		Incarnation: m.config.Self.Incarnation,
		Generation:  m.config.Generation(),
		Protocol:    protocolVersion,
	}}}
}

// checkHello returns an error when the peer uses another protocol version, has no
// valid name, has another name than the dialled one, or is not authenticated for
// its name by its certificate. dialledName is empty for accepted connections;
// tlsState is nil without TLS.
func (m *Mesh) checkHello(hello *peerpb.Hello, dialledName string, tlsState *tls.ConnectionState) error {
	switch {
	case hello == nil:
		return fault.New("peer.hello", dialledName, "the first message is not Hello")
	case hello.Protocol != protocolVersion:
		return fault.New("peer.hello", hello.Name, "the peer speaks another protocol version")
	case hello.Name == "" || hello.Name == m.config.Self.Name:
		return fault.New("peer.hello", hello.Name, "the peer has no name or the name of this daemon")
	case dialledName != "" && hello.Name != dialledName:
		return fault.New("peer.hello", dialledName, "another daemon answers at the address: "+hello.Name)
	case tlsState != nil:
		return m.tls.checkName(*tlsState, hello.Name)
	}
	return nil
}

// logNotEstablished logs why a connection did not become a session. Errors after
// the mesh was closed, and duplicate sessions of simultaneous dials, are expected
// and not logged.
func (m *Mesh) logNotEstablished(err error, peer string) {
	if m.ctx.Err() != nil || drpcerr.Code(err) == duplicateSessionCode {
		return
	}
	m.config.Logger.EmitError(eventlog.SessionDown, err, eventlog.Fields{"name": peer, "reason": "not established"})
}
