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
	// sendRingSize is the number of messages that may wait for one peer.
	sendRingSize = 1024
	// drainTimeout bounds how long Close waits for queued messages.
	drainTimeout = time.Second
)

var (
	// ErrNoSession is returned by Send when no session with the peer is up.
	// Dialling has been started when the peer is known.
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

// Address tells where a peer can be dialled (IP:port).
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
	// in order per sender, from one goroutine per session. It must not block:
	// while it runs, nothing more is read from that peer. Received messages
	// must not be changed.
	OnMessage func(from string, m *peerpb.Envelope)
	// OnSession is called when a session is up, before its first message, and
	// when it is down, after its last message. Hello is nil when up is false.
	// A replaced session is reported as down before its successor is up.
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
	// Queued is the number of messages in the send ring.
	Queued int
}

// Mesh holds the sessions of one daemon. All methods are safe for concurrent
// use.
type Mesh struct {
	config   Config
	listener net.Listener
	tls      *tlsStore
	local    *ring.Ring[*peerpb.Envelope]
	stats    counters

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[string]*remote
}

// remote is what the mesh knows about one peer. It is guarded by Mesh.mu.
type remote struct {
	name    string
	address Address
	// dialable is true while the peer is in the list given to SetPeers.
	dialable bool
	// wanted is true after Connect or Send asked for a session.
	wanted bool
	// dialling is true while a dial loop runs for the peer.
	dialling bool
	current  *session
	// early holds messages for the first session.
	early early
	// lastEnded is the ended channel of the newest session.
	lastEnded <-chan struct{}
}

// New opens the listener and reads the TLS files. Sessions are accepted once
// Run is called.
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
		config: config,
		local:  ring.New[*peerpb.Envelope](sendRingSize),
		peers:  map[string]*remote{},
	}
	if config.TLS != nil {
		store, err := newTLSStore(*config.TLS, config.Logger)
		if err != nil {
			return nil, err
		}
		m.tls = store
	}
	// Keep-alive probes of TCP are off: pings find silent connections sooner.
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

// Run accepts sessions and delivers local messages until ctx ends or Close is
// called. It returns after all sessions have ended.
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

// Close sends what is queued, for at most a second, ends all sessions and
// stops Run. It may be called more than once.
func (m *Mesh) Close() {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.closed = true
	open := m.openSessions()
	m.mu.Unlock()

	_ = m.listener.Close()
	for _, s := range open {
		s.startDrain()
	}
	deadline := time.NewTimer(drainTimeout)
	defer deadline.Stop()
	for _, s := range open {
		select {
		case <-s.closed:
		case <-deadline.C:
			deadline.Reset(0)
			s.close(ErrClosed)
		}
	}
	m.cancel()
	m.local.Close()
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
		r := m.remote(a.Name)
		r.address = a
		r.dialable = true
		m.startDialling(r)
	}
	for name, r := range m.peers {
		if listed[name] {
			continue
		}
		r.dialable = false
		r.wanted = false
		m.forget(r)
	}
}

// Connect asks for a session with a listed peer and keeps it up: when the
// session ends, the peer is dialled again while it is listed. Names that are
// not listed are ignored.
func (m *Mesh) Connect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.peers[name]; r != nil && r.dialable {
		r.wanted = true
		m.startDialling(r)
	}
}

// Send queues a message for a peer and never blocks. The message must not be
// changed afterwards. While a listed peer is dialled, its messages wait for the
// session for a moment. It returns ErrNoSession, ErrQueueFull or ErrClosed when
// the message was not queued; nil does not mean that it was delivered.
func (m *Mesh) Send(to string, message *peerpb.Envelope) error {
	if to == m.config.Self.Name {
		if !m.local.TryPush(message) {
			return ErrQueueFull
		}
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	r := m.peers[to]
	if r == nil {
		return ErrNoSession
	}
	if r.current == nil {
		return m.sendEarly(r, message)
	}
	if !r.current.out.TryPush(message) {
		m.stats.refused.Add(1)
		return ErrQueueFull
	}
	return nil
}

// sendEarly dials a peer and holds its message until the first session is up. A peer
// whose session broke counts as unreachable at once. The caller holds mu.
func (m *Mesh) sendEarly(r *remote, message *peerpb.Envelope) error {
	r.wanted = r.dialable
	m.startDialling(r)
	if !r.dialable || r.lastEnded != nil {
		return ErrNoSession
	}
	return r.early.hold(time.Now(), message)
}

// Sessions lists the sessions that are up, by name.
func (m *Mesh) Sessions() []SessionInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []SessionInfo
	for _, s := range m.openSessions() {
		list = append(list, s.info())
	}
	slices.SortFunc(list, func(a, b SessionInfo) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// openSessions returns the current sessions. The caller holds mu.
func (m *Mesh) openSessions() []*session {
	var open []*session
	for _, r := range m.peers {
		if r.current != nil {
			open = append(open, r.current)
		}
	}
	return open
}

// remote returns the entry of a peer and creates it. The caller holds mu.
func (m *Mesh) remote(name string) *remote {
	r := m.peers[name]
	if r == nil {
		r = &remote{name: name}
		m.peers[name] = r
	}
	return r
}

// forget removes an entry that nothing uses. The caller holds mu.
func (m *Mesh) forget(r *remote) {
	if r.dialable || r.dialling || r.current != nil {
		return
	}
	if r.lastEnded != nil {
		select {
		case <-r.lastEnded:
		default:
			// The end of the session is not reported yet; a successor has to
			// find the entry to wait for that.
			return
		}
	}
	delete(m.peers, r.name)
}

// startTask runs a function until the mesh is closed; Run waits for it. It
// reports false when the mesh is closed already.
func (m *Mesh) startTask(task func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Go(task)
	return true
}

func (m *Mesh) deliverLocal() {
	for {
		message, err := m.local.Pop(m.ctx)
		if err != nil {
			return
		}
		m.config.OnMessage(m.config.Self.Name, message)
	}
}
