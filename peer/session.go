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
	// simultaneousDialWindow is the age up to which the current session may come
	// from the same two simultaneous dials as a new one. When the peer dials
	// although an older session is up here, the peer has lost that session.
	simultaneousDialWindow = 3 * time.Second
	// duplicateSessionCode is the drpc error code by which the other side
	// recognizes errDuplicateSession.
	duplicateSessionCode = 1
	// maxPendingPongs bounds the received pings that wait for their pong. Further
	// pings get none.
	maxPendingPongs = 4
)

var (
	errDuplicateSession = drpcerr.WithCode(errors.New("a session with the peer is up already"), duplicateSessionCode)
	errReplaced         = errors.New("replaced by a newer session")
	errIOTimeout        = errors.New("the connection received or accepted no bytes within the I/O timeout")
)

// rawStream is the part of a drpc stream that writes without flushing, so that
// several messages share one write to the connection.
type rawStream interface {
	RawWrite(kind drpcwire.Kind, data []byte) error
	RawFlush() error
}

// session is one drpc stream with a peer. One goroutine reads it (runSession) and
// one writes it (writeLoop).
type session struct {
	mesh  *Mesh
	hello *peerpb.Hello
	// ownGeneration is the configuration generation in the Hello of this daemon.
	ownGeneration uint64

	transport *transport
	stream    drpc.Stream
	raw       rawStream
	dialled   bool
	since     time.Time

	sendRing     *ring.Ring[*peerpb.Envelope]
	pendingPongs chan uint64

	closeOnce      sync.Once
	closed         chan struct{}
	closeReason    error
	drainOnce      sync.Once
	drainRequested chan struct{}
	// ended is closed after the session was reported as down. predecessorEnded is
	// the ended channel of the peer's previous session, or nil.
	ended            chan struct{}
	predecessorEnded <-chan struct{}
}

// newSession returns a session on an open stream, with the Hello of the peer and that of
// this daemon. It becomes the session of its peer in admit.
func (m *Mesh) newSession(hello, own *peerpb.Hello, tr *transport, stream drpc.Stream, dialled bool) *session {
	inner := stream.(interface{ GetStream() drpc.Stream }).GetStream()
	return &session{
		mesh:           m,
		hello:          hello,
		ownGeneration:  own.Generation,
		transport:      tr,
		stream:         inner,
		raw:            inner.(rawStream),
		dialled:        dialled,
		since:          time.Now(),
		sendRing:       ring.New[*peerpb.Envelope](sendRingSize),
		pendingPongs:   make(chan uint64, maxPendingPongs),
		closed:         make(chan struct{}),
		drainRequested: make(chan struct{}),
		ended:          make(chan struct{}),
	}
}

// admit makes s the current session of its peer and queues the early messages. It
// returns errDuplicateSession when the current session stays, and ErrClosed after
// Close. Both daemons apply the same rule, so that two simultaneous dials leave the
// same session on both sides.
func (m *Mesh) admit(s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	p := m.getOrCreatePeer(s.hello.Name)
	old := p.current
	if old != nil && !m.shouldReplace(s, old) {
		return errDuplicateSession
	}
	s.predecessorEnded = p.newestEnded
	p.current, p.newestEnded = s, s.ended
	for _, message := range p.early.drain(s.since) {
		s.sendRing.TryPush(message)
	}
	if old != nil {
		old.close(errReplaced)
	}
	return nil
}

// shouldReplace reports whether the new session s replaces the current session old.
// The higher incarnation of the peer wins. Within one incarnation, s wins unless
// the smaller name dialled only old and old is at most simultaneousDialWindow older.
func (m *Mesh) shouldReplace(s, old *session) bool {
	if s.hello.Incarnation != old.hello.Incarnation {
		return s.hello.Incarnation > old.hello.Incarnation
	}
	if m.dialledBySmallerName(old) && !m.dialledBySmallerName(s) {
		return s.since.Sub(old.since) > simultaneousDialWindow
	}
	return true
}

// dialledBySmallerName reports whether the daemon with the smaller name dialled the
// session.
func (m *Mesh) dialledBySmallerName(s *session) bool {
	return s.dialled == (m.config.Self.Name < s.hello.Name)
}

// runSession reports the session as up, runs it until it ends and reports it as
// down. It first waits until the peer's previous session was reported as down, so
// that the reports of a peer are in order.
func (m *Mesh) runSession(s *session) {
	if s.predecessorEnded != nil {
		<-s.predecessorEnded
	}
	if s.isClosed() {
		m.detach(s)
	} else {
		m.config.Logger.Emit(eventlog.SessionUp, eventlog.Fields{"name": s.hello.Name, "dialled": s.dialled})
		m.config.OnSession(s.hello.Name, true, s.hello)
		s.runLoops()
		m.detach(s)
		m.config.Logger.EmitError(eventlog.SessionDown, s.closeReason, eventlog.Fields{"name": s.hello.Name})
		m.config.OnSession(s.hello.Name, false, nil)
	}
	close(s.ended)
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[s.hello.Name]; p != nil {
		m.removeIfUnused(p)
	}
}

// runLoops runs the reader and the writer until both have ended. The end of either
// closes the session.
func (s *session) runLoops() {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		s.close(s.writeLoop())
	}()
	s.close(s.readLoop())
	<-writerDone
}

// detach removes the session from its peer, unless another one has replaced it, so
// that Send returns ErrNoSession.
func (m *Mesh) detach(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[s.hello.Name]; p != nil && p.current == s {
		p.current = nil
	}
}

// close ends the session and its connection. Only the first call has an effect;
// its reason is logged.
func (s *session) close(reason error) {
	s.closeOnce.Do(func() {
		if errors.Is(reason, os.ErrDeadlineExceeded) {
			reason = errIOTimeout
		}
		s.closeReason = fault.Wrap(reason, "peer.session", s.hello.Name)
		s.sendRing.Close()
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

// startDrain makes the writer send the queued messages and then end the session.
func (s *session) startDrain() {
	s.drainOnce.Do(func() { close(s.drainRequested) })
}

func (s *session) info() SessionInfo {
	return SessionInfo{
		Name:        s.hello.Name,
		Address:     s.transport.RemoteAddr().String(),
		DataCentre:  s.hello.DataCentre,
		Incarnation: s.hello.Incarnation,
		Dialled:     s.dialled,
		Since:       s.since,
		Queued:      s.sendRing.Len(),
	}
}

// readLoop passes received messages to OnMessage and queues a pong for each ping,
// until the session ends.
func (s *session) readLoop() error {
	decoder := &countingEncoding{stats: &s.mesh.stats}
	for {
		message := &peerpb.Envelope{}
		if err := s.stream.MsgRecv(message, decoder); err != nil {
			return err
		}
		if ping := message.GetPing(); ping != nil {
			select {
			case s.pendingPongs <- ping.Sequence:
			default:
			}
		}
		s.mesh.config.OnMessage(s.hello.Name, message)
	}
}

// countingEncoding decodes envelopes and counts their bytes. The writer encodes
// envelopes without it.
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
	countMessage(&e.stats.in, envelope, len(data))
	return nil
}
