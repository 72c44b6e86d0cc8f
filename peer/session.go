package peer

import (
	"errors"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcwire"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/ring"
)

const (
	// crossingWindow is the age below which a session is taken for the other
	// half of two simultaneous dials. An older session that the peer dials
	// over is one that the peer has lost.
	crossingWindow = 3 * time.Second
	// crossedCode is the drpc error code of errCrossed, by which the other side
	// recognizes it.
	crossedCode = 1
	// pongBacklog bounds the pings that wait for an answer.
	pongBacklog = 4
)

var (
	errCrossed  = drpcerr.WithCode(errors.New("a session with the peer is up already"), crossedCode)
	errReplaced = errors.New("replaced by a newer session")
	errSilent   = errors.New("no bytes within the silence limit")
)

// rawStream is the part of a drpc stream that writes without flushing, so that
// several messages share one write to the connection.
type rawStream interface {
	RawWrite(kind drpcwire.Kind, data []byte) error
	RawFlush() error
}

// session is one stream with a peer. One goroutine reads it (runSession) and
// one writes it (write).
type session struct {
	mesh      *Mesh
	hello     *peerpb.Hello
	transport *transport
	stream    drpc.Stream
	raw       rawStream
	dialled   bool
	since     time.Time

	out   *ring.Ring[*peerpb.Envelope]
	pongs chan uint64

	closeOnce sync.Once
	closed    chan struct{}
	reason    error
	drainOnce sync.Once
	drain     chan struct{}
	// ended is closed after the session was reported as down. Predecessor is
	// the same channel of the peer's previous session, or nil.
	ended       chan struct{}
	predecessor <-chan struct{}
}

func (m *Mesh) newSession(hello *peerpb.Hello, tr *transport, stream drpc.Stream, dialled bool) *session {
	inner := stream.(interface{ GetStream() drpc.Stream }).GetStream()
	return &session{
		mesh:      m,
		hello:     hello,
		transport: tr,
		stream:    inner,
		raw:       inner.(rawStream),
		dialled:   dialled,
		since:     time.Now(),
		out:       ring.New[*peerpb.Envelope](sendRingSize),
		pongs:     make(chan uint64, pongBacklog),
		closed:    make(chan struct{}),
		drain:     make(chan struct{}),
		ended:     make(chan struct{}),
	}
}

// admit makes s the session of its peer, or refuses it. Both daemons apply the
// same rule, so two simultaneous dials end in the same session.
func (m *Mesh) admit(s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	r := m.remote(s.hello.Name)
	old := r.current
	if old != nil && !m.replaces(s, old) {
		return errCrossed
	}
	s.predecessor = r.lastEnded
	r.current, r.lastEnded = s, s.ended
	for _, message := range r.early.take(s.since) {
		s.out.TryPush(message)
	}
	if old != nil {
		old.close(errReplaced)
	}
	return nil
}

// replaces decides between a new session and the current one.
func (m *Mesh) replaces(s, old *session) bool {
	if s.hello.Incarnation != old.hello.Incarnation {
		return s.hello.Incarnation > old.hello.Incarnation
	}
	if m.preferred(old) && !m.preferred(s) {
		return s.since.Sub(old.since) > crossingWindow
	}
	return true
}

// preferred tells whether the daemon with the smaller name dialled the session.
func (m *Mesh) preferred(s *session) bool {
	return s.dialled == (m.config.Self.Name < s.hello.Name)
}

// runSession reads the session until it ends. It waits until the end of the
// peer's previous session was reported, so that reports are never out of order.
func (m *Mesh) runSession(s *session) {
	if s.predecessor != nil {
		<-s.predecessor
	}
	if s.isClosed() {
		m.retire(s)
	} else {
		m.config.Logger.Emit(eventlog.SessionUp, eventlog.Fields{"name": s.hello.Name, "dialled": s.dialled})
		m.config.OnSession(s.hello.Name, true, s.hello)
		s.readAndWrite()
		m.retire(s)
		m.config.Logger.EmitError(eventlog.SessionDown, s.reason, eventlog.Fields{"name": s.hello.Name})
		m.config.OnSession(s.hello.Name, false, nil)
	}
	close(s.ended)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.peers[s.hello.Name]; r != nil {
		m.forget(r)
	}
}

func (s *session) readAndWrite() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.close(s.write())
	}()
	s.close(s.read())
	<-written
}

// retire removes the session from its peer, so that Send reports ErrNoSession.
func (m *Mesh) retire(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.peers[s.hello.Name]; r != nil && r.current == s {
		r.current = nil
	}
}

// close ends the session. The first reason is kept.
func (s *session) close(reason error) {
	s.closeOnce.Do(func() {
		if errors.Is(reason, os.ErrDeadlineExceeded) {
			reason = errSilent
		}
		s.reason = fault.Wrap(reason, "peer.session", s.hello.Name)
		s.out.Close()
		close(s.closed)
		_ = s.transport.Close()
	})
}

func (s *session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// startDrain lets the writer send what is queued and then end the session.
func (s *session) startDrain() {
	s.drainOnce.Do(func() { close(s.drain) })
}

func (s *session) info() SessionInfo {
	return SessionInfo{
		Name:        s.hello.Name,
		Address:     s.transport.RemoteAddr().String(),
		DataCentre:  s.hello.DataCentre,
		Incarnation: s.hello.Incarnation,
		Dialled:     s.dialled,
		Since:       s.since,
		Queued:      s.out.Len(),
	}
}

// read delivers messages until the session ends.
func (s *session) read() error {
	decoder := &countingEncoding{stats: &s.mesh.stats}
	for {
		message := &peerpb.Envelope{}
		if err := s.stream.MsgRecv(message, decoder); err != nil {
			return err
		}
		if ping := message.GetPing(); ping != nil {
			select {
			case s.pongs <- ping.Sequence:
			default:
			}
		}
		s.mesh.config.OnMessage(s.hello.Name, message)
	}
}

// countingEncoding decodes envelopes and counts their bytes. Sending does not
// go through it.
type countingEncoding struct {
	stats *counters
}

// Marshal implements drpc.Encoding.
func (e *countingEncoding) Marshal(m drpc.Message) ([]byte, error) {
	return proto.Marshal(m.(proto.Message))
}

// Unmarshal implements drpc.Encoding.
func (e *countingEncoding) Unmarshal(data []byte, m drpc.Message) error {
	envelope := m.(*peerpb.Envelope)
	if err := proto.Unmarshal(data, envelope); err != nil {
		return err
	}
	count(&e.stats.in, envelope, len(data))
	return nil
}
