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
	// handshakeTimeout bounds the time from connecting to the end of the Hello
	// exchange.
	handshakeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay between dials to one peer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// acceptRetryDelay is the pause after a failed accept, for example when
	// the process has no free file descriptor.
	acceptRetryDelay = 50 * time.Millisecond
	// maxMessageBytes bounds one message. A whole configuration of the
	// two-year size has about 3 MB.
	maxMessageBytes = 16 << 20
	// frameBytes splits large messages, so that the buffers that drpc keeps
	// for each session stay small.
	frameBytes = 8 << 10
	// keptBufferBytes is the largest encoding buffer that a session keeps.
	keptBufferBytes = 16 << 10
)

// managerOptions returns the drpc options of both sides.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{SplitSize: frameBytes, MaximumBufferSize: keptBufferBytes},
	}
}

// accept serves connections until the listener is closed.
func (m *Mesh) accept() error {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.config.Logger.EmitError(eventlog.SessionDown, fault.Wrap(err, "peer.accept", ""), nil)
			if !m.pause(acceptRetryDelay) {
				return nil
			}
			continue
		}
		if !m.startTask(func() { m.serve(conn) }) {
			_ = conn.Close()
		}
	}
}

// serve runs one accepted connection until it ends.
func (m *Mesh) serve(raw net.Conn) {
	tr := m.wrap(raw)
	defer tr.Close()
	hello := time.AfterFunc(handshakeTimeout, func() { _ = tr.Close() })
	defer hello.Stop()
	var state *tls.ConnectionState
	if m.tls != nil {
		conn := tls.Server(tr.wire, m.tls.server())
		if err := conn.HandshakeContext(m.ctx); err != nil {
			m.logRefused(err, raw.RemoteAddr().String())
			return
		}
		tr.Conn = conn
		s := conn.ConnectionState()
		state = &s
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &acceptor{mesh: m, transport: tr, state: state, hello: hello}); err != nil {
		m.logRefused(err, raw.RemoteAddr().String())
		return
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	_ = server.ServeOne(m.ctx, tr)
}

// acceptor handles the one stream of an accepted connection.
type acceptor struct {
	mesh      *Mesh
	transport *transport
	state     *tls.ConnectionState
	hello     *time.Timer
}

// Session implements peerpb.DRPCPeerServer. It returns when the session ends.
func (a *acceptor) Session(stream peerpb.DRPCPeer_SessionStream) error {
	m := a.mesh
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if err := m.checkHello(hello, "", a.state); err != nil {
		m.logRefused(err, a.transport.RemoteAddr().String())
		return err
	}
	s := m.newSession(hello, a.transport, stream, false)
	if err := m.admit(s); err != nil {
		return err
	}
	if err := stream.Send(m.helloMessage()); err != nil {
		s.close(err)
	}
	a.hello.Stop()
	m.runSession(s)
	return nil
}

// startDialling starts the dial loop of a peer unless it runs. The caller
// holds mu.
func (m *Mesh) startDialling(r *remote) {
	if m.closed || r.dialling || !r.wanted || !r.dialable {
		return
	}
	r.dialling = true
	m.tasks.Go(func() { m.dialLoop(r) })
}

// dialLoop keeps a session with the peer up while the peer is wanted. The
// delay starts again at its minimum after every session that came up.
func (m *Mesh) dialLoop(r *remote) {
	backoff := minBackoff
	for {
		address, current, ok := m.nextDial(r)
		if !ok {
			return
		}
		if current != nil {
			if !m.waitEnd(current) || !m.pause(m.redialDelay(r.name)) {
				continue
			}
			backoff = minBackoff
			continue
		}
		up, err := m.dial(address)
		if up {
			backoff = minBackoff
			m.pause(m.redialDelay(r.name))
			continue
		}
		m.noteFailedDial(r)
		if backoff == minBackoff {
			// Further failures of the same peer are not logged.
			m.logRefused(err, address.Name)
		}
		m.pause(backoff/2 + rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextDial returns the address to dial, or the session to wait for. It ends
// the dial loop when the peer is not wanted any more.
func (m *Mesh) nextDial(r *remote) (Address, *session, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || !r.wanted || !r.dialable {
		r.dialling = false
		m.forget(r)
		return Address{}, nil, false
	}
	return r.address, r.current, true
}

// noteFailedDial drops what waits for the session, unless the peer has dialled this
// daemon meanwhile.
func (m *Mesh) noteFailedDial(r *remote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.current == nil {
		r.early.dialFailed()
	}
}

func (m *Mesh) waitEnd(s *session) bool {
	select {
	case <-s.ended:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// redialDelay spreads the redials after a loss. The daemon with the larger name
// waits longer, so that the two sides rarely dial at the same moment.
func (m *Mesh) redialDelay(peer string) time.Duration {
	delay := rand.N(minBackoff)
	if peer < m.config.Self.Name {
		delay += minBackoff
	}
	return delay
}

// pause waits and reports false when the mesh is closed.
func (m *Mesh) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// dial opens a connection and runs its session until it ends. Up tells whether
// the session was admitted.
func (m *Mesh) dial(address Address) (up bool, err error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address.Address)
	if err != nil {
		return false, fault.Wrap(err, "peer.dial", address.Name)
	}
	tr := m.wrap(raw)
	defer tr.Close()
	var state *tls.ConnectionState
	if m.tls != nil {
		conn := tls.Client(tr.wire, m.tls.client(address.Name))
		if err := conn.HandshakeContext(ctx); err != nil {
			return false, fault.Wrap(err, "peer.tls", address.Name)
		}
		tr.Conn = conn
		s := conn.ConnectionState()
		state = &s
	}
	late := time.AfterFunc(handshakeTimeout, func() { _ = tr.Close() })
	defer late.Stop()
	conn := drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: managerOptions()})
	defer conn.Close()
	s, err := m.openSession(conn, address, tr, state)
	if err != nil {
		return false, err
	}
	late.Stop()
	m.runSession(s)
	return true, nil
}

// openSession exchanges Hello on a dialled connection.
func (m *Mesh) openSession(conn *drpcconn.Conn, address Address, tr *transport, state *tls.ConnectionState) (*session, error) {
	stream, err := peerpb.NewDRPCPeerClient(conn).Session(m.ctx)
	if err != nil {
		return nil, fault.Wrap(err, "peer.hello", address.Name)
	}
	if err := stream.Send(m.helloMessage()); err != nil {
		return nil, fault.Wrap(err, "peer.hello", address.Name)
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, fault.Wrap(err, "peer.hello", address.Name)
	}
	hello := first.GetHello()
	if err := m.checkHello(hello, address.Name, state); err != nil {
		return nil, err
	}
	s := m.newSession(hello, tr, stream, true)
	return s, m.admit(s)
}

func (m *Mesh) wrap(raw net.Conn) *transport {
	wire := &wireConn{Conn: raw, stats: &m.stats}
	return &transport{Conn: wire, wire: wire}
}

func (m *Mesh) helloMessage() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Name:        m.config.Self.Name,
		DataCentre:  m.config.Self.DataCentre,
		Incarnation: m.config.Self.Incarnation,
		Generation:  m.config.Generation(),
		Protocol:    protocolVersion,
	}}}
}

// checkHello refuses a peer that speaks another protocol or is not who was
// dialled, and a name that its certificate does not hold.
func (m *Mesh) checkHello(hello *peerpb.Hello, dialled string, state *tls.ConnectionState) error {
	switch {
	case hello == nil:
		return fault.New("peer.hello", dialled, "the first message is not Hello")
	case hello.Protocol != protocolVersion:
		return fault.New("peer.hello", hello.Name, "the peer speaks another protocol version")
	case hello.Name == "" || hello.Name == m.config.Self.Name:
		return fault.New("peer.hello", hello.Name, "the peer has no name or the name of this daemon")
	case dialled != "" && hello.Name != dialled:
		return fault.New("peer.hello", dialled, "another daemon answers at the address: "+hello.Name)
	case state != nil:
		return m.tls.checkName(*state, hello.Name)
	}
	return nil
}

func (m *Mesh) logRefused(err error, peer string) {
	if m.ctx.Err() != nil || drpcerr.Code(err) == crossedCode {
		return
	}
	m.config.Logger.EmitError(eventlog.SessionDown, err, eventlog.Fields{"name": peer, "reason": "not established"})
}
