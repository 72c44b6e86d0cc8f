package confsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/ring"
)

const (
	// inboxSize is the largest number of messages that wait for the syncer.
	// Further ones are dropped; the next ping of a peer then starts a pull.
	inboxSize = 256
	// pullTimeout is how long the syncer waits for the answer to a pull before
	// it asks the next peer.
	pullTimeout = 500 * time.Millisecond
	// pullCheckInterval is the time between checks for a pull without an answer.
	pullCheckInterval = 250 * time.Millisecond
)

// Sender sends messages to peers without blocking. *peer.Mesh implements it.
type Sender interface {
	Send(to string, m *peerpb.Envelope) error
}

// Config configures a Syncer.
type Config struct {
	// Self is the name of this daemon, and DataCentre that of its data centre.
	Self       string
	DataCentre string
	Sender     Sender
	// LiveLocal returns the live daemons of this data centre in a stable order,
	// and a version that changes when the list does.
	LiveLocal func() ([]string, uint64)
	Table     provider.Table
	Objects   provider.Objects
	// Codec encodes sets; nil selects JSON.
	Codec Codec
	// Logger receives events; nil discards them.
	Logger *eventlog.Logger
}

// installedSet is one generation of the configuration. It is immutable after
// installation.
type installedSet struct {
	generation uint64
	set        *object.Set
	digest     string
}

// inboxItem is a message from a peer or, if message is nil, the generation that
// the peer reported.
type inboxItem struct {
	from       string
	message    *peerpb.Envelope
	generation uint64
}

// Stats are totals since the syncer was created. Dropped counts messages that
// found the inbox full; DigestErrors counts received data that could not be
// decoded or that does not have the digest sent with it.
type Stats struct {
	RowReads, ObjectReads    uint64
	PullsSent, WholeSetsSent uint64
	DeltasSent, Dropped      uint64
	DigestErrors, Installed  uint64
}

// Syncer holds the configuration in force on one daemon. Its methods are safe
// for concurrent use. No method but Run blocks, except that Subscribe waits for
// an installation in progress.
type Syncer struct {
	config  Config
	codec   Codec
	inbox   *ring.Ring[inboxItem]
	current atomic.Pointer[installedSet]
	pollNow chan struct{}
	// lastMessageNanos is the time of the last message from a peer, in Unix
	// nanoseconds.
	lastMessageNanos atomic.Int64
	// rowRead is set after the first successful read of the row.
	rowRead atomic.Bool
	// storeFailed reports whether the last read of the store failed.
	storeFailed atomic.Bool

	// installMu is held while a generation is installed and the subscribers are
	// called.
	installMu   sync.Mutex
	subscribers []func(generation uint64, set *object.Set)

	mu       sync.Mutex
	history  history
	position treePosition
	// digests holds those of the last generations in force.
	digests map[uint64]string
	// peersAhead holds the generation of each peer that reported a higher one
	// than the one in force and has not been asked for it yet.
	peersAhead map[string]uint64
	lastPull   time.Time
	stats      Stats
}

// NewSyncer returns a syncer without a configuration.
func NewSyncer(config Config) *Syncer {
	if config.Codec == nil {
		config.Codec = jsonCodec{}
	}
	if config.Logger == nil {
		config.Logger = eventlog.Discard()
	}
	s := &Syncer{
		config:     config,
		codec:      config.Codec,
		inbox:      ring.New[inboxItem](inboxSize),
		pollNow:    make(chan struct{}, 1),
		peersAhead: map[string]uint64{},
		digests:    map[uint64]string{},
	}
	s.current.Store(&installedSet{set: &object.Set{}})
	return s
}

// Current returns the generation in force and its set, which must not be
// changed. Before the first installation it returns 0 and an empty set.
func (s *Syncer) Current() (uint64, *object.Set) {
	c := s.current.Load()
	return c.generation, c.set
}

// Generation returns the generation in force, or 0 before the first
// installation.
func (s *Syncer) Generation() uint64 {
	return s.current.Load().generation
}

// Ready reports whether this daemon may serve: a configuration is in force, no
// peer is recorded as having a newer one, and, on a poller, the store has been
// read or the last read of it failed.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	storeChecked := s.rowRead.Load() || s.storeFailed.Load() || s.treePositionLocked().rank >= pollerCount
	return s.Generation() > 0 && len(s.peersAhead) == 0 && storeChecked
}

// Subscribe adds a function that is called after each installation, with rising
// generations, one call at a time. The function must not block. If a
// configuration is already in force, the function is called before Subscribe
// returns.
func (s *Syncer) Subscribe(f func(generation uint64, set *object.Set)) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.subscribers = append(s.subscribers, f)
	if c := s.current.Load(); c.generation > 0 {
		f(c.generation, c.set)
	}
}

// OnMessage handles a message from a peer: ConfigAnnounce, ConfigPull and
// ConfigData, and the generation in Hello, Ping and Pong. It ignores other
// kinds.
func (s *Syncer) OnMessage(from string, m *peerpb.Envelope) {
	s.lastMessageNanos.Store(time.Now().UnixNano())
	switch body := m.Body.(type) {
	case *peerpb.Envelope_Hello:
		s.OnPeerGeneration(from, body.Hello.Generation)
	case *peerpb.Envelope_Ping:
		s.OnPeerGeneration(from, body.Ping.Generation)
	case *peerpb.Envelope_Pong:
		s.OnPeerGeneration(from, body.Pong.Generation)
	case *peerpb.Envelope_ConfigAnnounce:
		s.OnPeerGeneration(from, body.ConfigAnnounce.Generation)
	case *peerpb.Envelope_ConfigPull, *peerpb.Envelope_ConfigData:
		s.enqueue(inboxItem{from: from, message: m})
	}
}

// OnPeerGeneration reports the generation that a peer has in force. If it is
// higher than the one in force here, the syncer pulls the change.
func (s *Syncer) OnPeerGeneration(from string, generation uint64) {
	s.lastMessageNanos.Store(time.Now().UnixNano())
	if generation > s.Generation() {
		s.enqueue(inboxItem{from: from, generation: generation})
	}
}

// PollNow makes the poll loop read the row without waiting for the next poll,
// for example after this daemon has published. It does not wait for the read.
func (s *Syncer) PollNow() {
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// Neighbours returns the daemons with which this one should keep sessions up:
// its parent and children in the push tree. Callers must not change the slice.
func (s *Syncer) Neighbours() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.treePositionLocked().neighbours
}

// Stats returns the totals.
func (s *Syncer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run polls the store and handles the messages of peers until ctx ends. It
// returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.pollLoop(ctx) })
	s.messageLoop(ctx)
	tasks.Wait()
	return nil
}

// enqueue adds an item to the inbox, or counts it as dropped if the inbox is
// full.
func (s *Syncer) enqueue(item inboxItem) {
	if !s.inbox.TryPush(item) {
		s.mu.Lock()
		s.stats.Dropped++
		s.mu.Unlock()
	}
}

func (s *Syncer) messageLoop(ctx context.Context) {
	ticker := time.NewTicker(pullCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.pullIfDue()
		case item := <-s.inbox.Items():
			s.handle(item)
		}
	}
}

func (s *Syncer) handle(item inboxItem) {
	switch {
	case item.message == nil:
		s.recordPeerAhead(item.from, item.generation)
		s.pullIfDue()
	case item.message.GetConfigPull() != nil:
		s.handlePull(item.from, item.message.GetConfigPull().Have)
	case item.message.GetConfigData() != nil:
		s.handleData(item.from, item.message.GetConfigData())
	}
}

// recordPeerAhead adds a peer to peersAhead if its generation is above the one
// in force.
func (s *Syncer) recordPeerAhead(from string, generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation > s.Generation() {
		s.peersAhead[from] = max(s.peersAhead[from], generation)
	}
}

// pullIfDue sends a pull to a peer that is ahead, unless one was sent within
// pullTimeout. A peer that was asked is asked again only after it has reported
// its generation again.
func (s *Syncer) pullIfDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peersAhead) == 0 || time.Since(s.lastPull) < pullTimeout {
		return
	}
	generation := s.Generation()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPull{ConfigPull: &peerpb.ConfigPull{Have: generation}}}
	for _, peer := range s.shuffledPeersAhead() {
		delete(s.peersAhead, peer)
		if s.config.Sender.Send(peer, message) == nil {
			s.lastPull = time.Now()
			s.stats.PullsSent++
			return
		}
	}
}

// shuffledPeersAhead returns the peers that are ahead in random order, so that
// many daemons that are behind do not all ask the same peer. The caller holds
// mu.
func (s *Syncer) shuffledPeersAhead() []string {
	peers := make([]string, 0, len(s.peersAhead))
	for peer := range s.peersAhead {
		peers = append(peers, peer)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// handlePull answers a pull with the deltas from the peer's generation to the
// one in force, or with the whole set if the history does not reach back that
// far.
func (s *Syncer) handlePull(to string, peerGeneration uint64) {
	current := s.current.Load()
	if peerGeneration >= current.generation {
		return
	}
	s.mu.Lock()
	deltas := s.history.since(peerGeneration)
	s.mu.Unlock()
	if len(deltas) > 0 && deltas[len(deltas)-1].Generation >= current.generation {
		for _, delta := range deltas {
			s.sendData(to, delta)
		}
		return
	}
	data, err := s.codec.Encode(current.set)
	if err != nil {
		s.config.Logger.EmitError(eventlog.ConfigReadFailed, err, nil)
		return
	}
	s.sendData(to, &peerpb.ConfigData{Generation: current.generation, Data: data, Digest: current.digest})
}

// sendData sends a delta or a whole set to a peer and counts it if it was sent.
func (s *Syncer) sendData(to string, data *peerpb.ConfigData) {
	err := s.config.Sender.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigData{ConfigData: data}})
	if err != nil {
		// The next ping carries the generation, and the peer then pulls it.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if data.Base > 0 {
		s.stats.DeltasSent++
	} else {
		s.stats.WholeSetsSent++
	}
}

var errDigest = errors.New("the received set does not have the digest that was sent with it")

// handleData installs a received delta or whole set, unless its generation is
// not above the one in force. A delta that starts from another generation starts
// a pull of the missing deltas. Data that cannot be decoded or has a wrong
// digest starts a pull of the whole set from the sender.
func (s *Syncer) handleData(from string, data *peerpb.ConfigData) {
	current := s.current.Load()
	if data.Generation <= current.generation {
		return
	}
	if data.Base > 0 && data.Base != current.generation {
		s.recordPeerAhead(from, data.Generation)
		s.pullIfDue()
		return
	}
	set, err := s.decode(current, data)
	if err != nil {
		s.config.Logger.EmitError(eventlog.ConfigReadFailed, fault.Wrap(err, "config.receive", from),
			eventlog.Fields{"generation": data.Generation})
		s.pullWholeSet(from)
		return
	}
	s.install(from, &installedSet{generation: data.Generation, set: set, digest: data.Digest}, data)
}

// decode returns the set that data leads to from current. It returns errDigest
// if the set does not have the digest in data.
func (s *Syncer) decode(current *installedSet, data *peerpb.ConfigData) (*object.Set, error) {
	var set *object.Set
	var err error
	if data.Base > 0 {
		set, err = s.codec.Apply(current.set, data.Data)
	} else {
		set, err = s.codec.Decode(data.Data)
	}
	if err != nil {
		return nil, err
	}
	digest, err := s.codec.Digest(set)
	if err != nil {
		return nil, err
	}
	if digest != data.Digest {
		return nil, errDigest
	}
	return set, nil
}

// pullWholeSet asks a peer for the whole set after its data could not be decoded
// or had a wrong digest, unless a pull was sent within pullTimeout.
func (s *Syncer) pullWholeSet(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.DigestErrors++
	if time.Since(s.lastPull) < pullTimeout {
		return
	}
	s.lastPull = time.Now()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPull{ConfigPull: &peerpb.ConfigPull{}}}
	_ = s.config.Sender.Send(from, message)
}
