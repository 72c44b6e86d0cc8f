package peer

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/ring"
)

const (
	// protocolVersion is sent in Hello. Daemons with another version refuse
	// the session.
	protocolVersion = 1
	// sendRingSize is the number of messages that may be queued for one peer.
	sendRingSize = 1024
	// drainTimeout bounds how long Close waits until queued messages are sent.
	drainTimeout = time.Second
)

var (
	// ErrNoSession is returned by Send when no session with the peer is up. If the
	// peer is listed, dialling has been started.
	ErrNoSession = errors.New("no session with the peer")
	// ErrQueueFull is returned by Send when the peer's send ring is full. The
	// message was not queued.
	ErrQueueFull = errors.New("send ring of the peer is full")
	// ErrClosed is returned by Send and Run after Close.
	ErrClosed = errors.New("mesh is closed")
)

// Identity names a daemon. Incarnation grows with each start of the process.
type Identity struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
}

// Address is the name of a peer and the address (IP:port) at which it is dialled.
type Address struct {
	Name       string
	Address    string
	DataCentre string
}

// Config configures a Mesh.
type Config struct {
	Self Identity
	// Listen is the IP:port that the mesh accepts sessions on.
	Listen string
	// TLS holds the files for mutual TLS; nil means plain TCP.
	TLS *TLSFiles
	// Generation returns the configuration generation in force. Hello, Ping
	// and Pong carry it. It may be nil.
	Generation func() uint64
	// OnMessage is called for every received message, Ping and Pong included,
	// in order per sender, from one goroutine per session. It must not block,
	// because nothing else is read from that peer while it runs. It must not
	// change the message.
	OnMessage func(from string, m *peerpb.Envelope)
	// OnSession is called when a session is up, before its first message, and
	// when it is down, after its last message. Hello is nil when up is false.
	// A replaced session is reported as down before its successor is reported
	// as up.
	OnSession func(name string, up bool, hello *peerpb.Hello)
	Logger    *eventlog.Logger
}

// SessionInfo describes one session that is up.
type SessionInfo struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	// Dialled is true when this daemon opened the connection.
	Dialled bool
	Since   time.Time
	// Queued is the number of messages that wait in the send ring.
	Queued int
}

// Mesh holds the sessions of one daemon. All methods are safe for concurrent
// use.
type Mesh struct {
	config     Config
	listener   net.Listener
	tls        *tlsReloader
	localQueue *ring.Ring[*peerpb.Envelope]
	stats      counters

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[string]*peerState
}

// peerState is the state of one peer. It is guarded by Mesh.mu.
type peerState struct {
	name    string
	address Address
	// dialable is true while the peer is in the list given to SetPeers.
	dialable bool
	// wanted is true after Connect or Send asked for a session.
	wanted bool
	// dialLoopRunning is true while a dial loop runs for the peer.
	dialLoopRunning bool
	// current is the session that is up, or nil.
	current *session
	// early holds the messages that wait for the first session.
	early earlyQueue
	// newestEnded is the ended channel of the newest session, which may be up; nil
	// before the first session.
	newestEnded <-chan struct{}
}

// New opens the listener and reads the TLS files. It returns an error when the
// daemon has no name or either fails. Sessions are accepted once Run is called.
func New(config Config) (*Mesh, error) {
	if config.Self.Name == "" {
		return nil, fault.New("peer.new", "", "the daemon has no name")
	}
	if config.Logger == nil {
		config.Logger = eventlog.Discard()
	}
	if config.Generation == nil {
		config.Generation = func() uint64 { return 0 }
	}
	if config.OnMessage == nil {
		config.OnMessage = func(string, *peerpb.Envelope) {}
	}
	if config.OnSession == nil {
		config.OnSession = func(string, bool, *peerpb.Hello) {}
	}
	m := &Mesh{
		config:     config,
		localQueue: ring.New[*peerpb.Envelope](sendRingSize),
		peers:      map[string]*peerState{},
	}
	if config.TLS != nil {
		reloader, err := newTLSReloader(*config.TLS, config.Logger)
		if err != nil {
			return nil, err
		}
		m.tls = reloader
	}
	// TCP keep-alive is disabled because pings detect silent connections sooner.
	listen := net.ListenConfig{KeepAlive: -1}
	listener, err := listen.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, fault.Wrap(err, "peer.listen", config.Listen)
	}
	m.listener = listener
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// ListenAddress returns the address that the mesh listens on.
func (m *Mesh) ListenAddress() string {
	return m.listener.Addr().String()
}

// Run accepts sessions and delivers the messages that the daemon sends to itself,
// until ctx ends or Close is called. It returns after all sessions have ended. If
// the mesh was closed before Run, it returns ErrClosed.
func (m *Mesh) Run(ctx context.Context) error {
	if !m.startTask(m.deliverLocal) {
		return ErrClosed
	}
	stop := context.AfterFunc(ctx, m.Close)
	defer stop()
	err := m.accept()
	m.Close()
	m.tasks.Wait()
	return err
}

// Close sends the queued messages for at most drainTimeout, ends all sessions and
// stops Run. It may be called more than once.
func (m *Mesh) Close() {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.closed = true
	sessions := m.currentSessions()
	m.mu.Unlock()

	_ = m.listener.Close()
	for _, s := range sessions {
		s.startDrain()
	}
	deadline := time.NewTimer(drainTimeout)
	defer deadline.Stop()
	for _, s := range sessions {
		select {
		case <-s.closed:
		case <-deadline.C:
			deadline.Reset(0)
			s.close(ErrClosed)
		}
	}
	m.cancel()
	m.localQueue.Close()
}

// SetPeers replaces the list of peers that may be dialled. Sessions with peers
// that are no longer listed stay until they end, but are not dialled again.
func (m *Mesh) SetPeers(list []Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, a := range list {
		if a.Name == m.config.Self.Name {
			continue
		}
		listed[a.Name] = true
		p := m.getOrCreatePeer(a.Name)
		p.address = a
		p.dialable = true
		m.startDialLoop(p)
	}
	for name, p := range m.peers {
		if listed[name] {
			continue
		}
		p.dialable = false
		p.wanted = false
		m.removeIfUnused(p)
	}
}

// Connect starts a session with a listed peer and keeps it up: when the session
// ends, the peer is dialled again as long as it is listed. Names that are not
// listed are ignored. It does not wait for the session.
func (m *Mesh) Connect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[name]; p != nil && p.dialable {
		p.wanted = true
		m.startDialLoop(p)
	}
}

// Send queues a message for a peer and never blocks. The message must not be
// changed afterwards. While the first session with a listed peer is dialled, its
// messages are held; they are dropped when the dial fails or when they are older
// than maxEarlyMessageAge once the session is up. Send returns ErrNoSession,
// ErrQueueFull or ErrClosed when the message was not queued; nil does not mean
// that it was delivered. A message to the daemon's own name is delivered locally.
func (m *Mesh) Send(to string, message *peerpb.Envelope) error {
	if to == m.config.Self.Name {
		if !m.localQueue.TryPush(message) {
			return ErrQueueFull
		}
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	p := m.peers[to]
	if p == nil {
		return ErrNoSession
	}
	if p.current == nil {
		return m.sendEarly(p, message)
	}
	if !p.current.sendRing.TryPush(message) {
		m.stats.refused.Add(1)
		return ErrQueueFull
	}
	return nil
}

// sendEarly dials a peer and holds the message until the first session is up. It
// returns ErrNoSession for a peer that is not listed or has had a session before:
// a peer whose session ended counts as unreachable at once. The caller holds mu.
func (m *Mesh) sendEarly(p *peerState, message *peerpb.Envelope) error {
	p.wanted = p.dialable
	m.startDialLoop(p)
	if !p.dialable || p.newestEnded != nil {
		return ErrNoSession
	}
	return p.early.enqueue(time.Now(), message)
}

// Sessions returns the sessions that are up, sorted by peer name.
func (m *Mesh) Sessions() []SessionInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []SessionInfo
	for _, s := range m.currentSessions() {
		list = append(list, s.info())
	}
	slices.SortFunc(list, func(a, b SessionInfo) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// currentSessions returns the current sessions. The caller holds mu.
func (m *Mesh) currentSessions() []*session {
	var sessions []*session
	for _, p := range m.peers {
		if p.current != nil {
			sessions = append(sessions, p.current)
		}
	}
	return sessions
}

// getOrCreatePeer returns the state of a peer and creates it if it is missing. The
// caller holds mu.
func (m *Mesh) getOrCreatePeer(name string) *peerState {
	p := m.peers[name]
	if p == nil {
		p = &peerState{name: name}
		m.peers[name] = p
	}
	return p
}

// removeIfUnused removes the state of a peer that is neither listed, dialled nor
// connected. The caller holds mu.
func (m *Mesh) removeIfUnused(p *peerState) {
	if p.dialable || p.dialLoopRunning || p.current != nil {
		return
	}
	if p.newestEnded != nil {
		select {
		case <-p.newestEnded:
		default:
			// The newest session has not been reported as down yet. A successor
			// finds that session through this state and waits for its report.
			return
		}
	}
	delete(m.peers, p.name)
}

// startTask runs task in a goroutine that Run waits for. It returns false without
// starting it when the mesh is already closed. The task has to return once the
// mesh is closed.
func (m *Mesh) startTask(task func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Go(task)
	return true
}

// deliverLocal passes the messages that the daemon sent to itself to OnMessage until
// the mesh is closed.
func (m *Mesh) deliverLocal() {
	for {
		message, err := m.localQueue.Pop(m.ctx)
		if err != nil {
			return
		}
		m.config.OnMessage(m.config.Self.Name, message)
	}
}
