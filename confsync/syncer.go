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
	// inboxSize bounds the messages that wait for the syncer. More are dropped;
	// the next ping of a peer starts a pull.
	inboxSize = 256
	// pullTimeout is the time without an answer after which the next peer is
	// asked.
	pullTimeout = 500 * time.Millisecond
	// checkInterval is how often the syncer looks for an overdue pull.
	checkInterval = 250 * time.Millisecond
)

// Sender sends messages to peers without blocking. *peer.Mesh implements it.
type Sender interface {
	Send(to string, m *peerpb.Envelope) error
}

// Config configures a Syncer.
type Config struct {
	// Self is this daemon's name, DataCentre its place.
	Self       string
	DataCentre string
	Sender     Sender
	// LiveLocal returns the live daemons of the own data centre in a stable order,
	// with a version that changes with the list.
	LiveLocal func() ([]string, uint64)
	Table     provider.Table
	Objects   provider.Objects
	// Codec encodes sets; nil takes the default one.
	Codec  Codec
	Logger *eventlog.Logger
}

// inForce is one installed generation. It is not changed after installation.
type inForce struct {
	generation uint64
	set        *object.Set
	digest     string
}

// inbound is a message from a peer, or the generation that a peer has told.
type inbound struct {
	from       string
	message    *peerpb.Envelope
	generation uint64
}

// Stats are totals since the syncer was created.
type Stats struct {
	RowReads, ObjectReads   uint64
	PullsSent, WholeSent    uint64
	DeltasSent, Dropped     uint64
	DigestErrors, Installed uint64
}

// Syncer holds the configuration in force on one daemon. Its methods are safe
// for concurrent use; none but Run blocks.
type Syncer struct {
	config  Config
	codec   Codec
	inbox   *ring.Ring[inbound]
	current atomic.Pointer[inForce]
	pollNow chan struct{}
	// heard is the time of the last message from a peer in nanoseconds.
	heard atomic.Int64
	// rowRead is set after the row was read once.
	rowRead atomic.Bool
	// storeFailed is set while the last read of the store failed.
	storeFailed atomic.Bool

	// installing is held while a generation is installed and reported.
	installing  sync.Mutex
	subscribers []func(generation uint64, set *object.Set)

	mu      sync.Mutex
	history history
	place   place
	// ahead holds the generations that peers have told, while they are higher
	// than the one in force.
	ahead  map[string]uint64
	pulled time.Time
	stats  Stats
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
		config:  config,
		codec:   config.Codec,
		inbox:   ring.New[inbound](inboxSize),
		pollNow: make(chan struct{}, 1),
		ahead:   map[string]uint64{},
	}
	s.current.Store(&inForce{set: &object.Set{}})
	return s
}

// Current returns the generation in force and its set, which must not be
// changed. Before the first one it returns 0 and an empty set.
func (s *Syncer) Current() (uint64, *object.Set) {
	c := s.current.Load()
	return c.generation, c.set
}

// Generation returns the generation in force, or 0.
func (s *Syncer) Generation() uint64 {
	return s.current.Load().generation
}

// Ready tells whether this daemon may serve: it has a configuration, it has not
// heard of a newer one that it lacks, and the store has been read or cannot be.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.rowRead.Load() || s.storeFailed.Load() || s.placeLocked().rank >= pollers
	return s.Generation() > 0 && len(s.ahead) == 0 && known
}

// Subscribe adds a function that is called after each installation, with rising
// generations, one call at a time. It must not block. When a configuration is
// in force already, it is called at once.
func (s *Syncer) Subscribe(f func(generation uint64, set *object.Set)) {
	s.installing.Lock()
	defer s.installing.Unlock()
	s.subscribers = append(s.subscribers, f)
	if c := s.current.Load(); c.generation > 0 {
		f(c.generation, c.set)
	}
}

// OnMessage takes a message of kind ConfigAnnounce, ConfigPull or ConfigData, and
// the generation in Hello, Ping and Pong. Other kinds are ignored.
func (s *Syncer) OnMessage(from string, m *peerpb.Envelope) {
	s.heard.Store(time.Now().UnixNano())
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
		s.enqueue(inbound{from: from, message: m})
	}
}

// OnPeerGeneration tells which generation a peer has in force. A higher one than
// the own one starts a pull from that peer.
func (s *Syncer) OnPeerGeneration(from string, generation uint64) {
	s.heard.Store(time.Now().UnixNano())
	if generation > s.Generation() {
		s.enqueue(inbound{from: from, generation: generation})
	}
}

// PollNow reads the row without waiting for the next poll, for example after
// this daemon has published.
func (s *Syncer) PollNow() {
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// Neighbours returns the daemons with which this one should keep sessions up:
// its parent and children in the push tree.
func (s *Syncer) Neighbours() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placeLocked().neighbours
}

// Stats returns the totals.
func (s *Syncer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.pollLoop(ctx) })
	s.messageLoop(ctx)
	tasks.Wait()
	return nil
}

func (s *Syncer) enqueue(in inbound) {
	if !s.inbox.TryPush(in) {
		s.mu.Lock()
		s.stats.Dropped++
		s.mu.Unlock()
	}
}

func (s *Syncer) messageLoop(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.pullWhenDue()
		case in := <-s.inbox.Items():
			s.handle(in)
		}
	}
}

func (s *Syncer) handle(in inbound) {
	switch {
	case in.message == nil:
		s.noteAhead(in.from, in.generation)
		s.pullWhenDue()
	case in.message.GetConfigPull() != nil:
		s.serve(in.from, in.message.GetConfigPull().Have)
	case in.message.GetConfigData() != nil:
		s.receive(in.from, in.message.GetConfigData())
	}
}

func (s *Syncer) noteAhead(from string, generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation > s.Generation() {
		s.ahead[from] = max(s.ahead[from], generation)
	}
}

// pullWhenDue asks a peer that is ahead, unless one was asked a moment ago. A
// peer that was asked is asked again only after it tells its generation again.
func (s *Syncer) pullWhenDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ahead) == 0 || time.Since(s.pulled) < pullTimeout {
		return
	}
	have := s.Generation()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPull{ConfigPull: &peerpb.ConfigPull{Have: have}}}
	for _, peer := range s.bestAhead() {
		delete(s.ahead, peer)
		if s.config.Sender.Send(peer, message) == nil {
			s.pulled = time.Now()
			s.stats.PullsSent++
			return
		}
	}
}

// bestAhead returns the peers that are ahead in random order, so that many
// daemons that are behind do not all ask the same peer.
func (s *Syncer) bestAhead() []string {
	peers := make([]string, 0, len(s.ahead))
	for peer := range s.ahead {
		peers = append(peers, peer)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// serve answers a pull with the deltas from the peer's generation, or with the
// whole set when the history does not reach back that far.
func (s *Syncer) serve(to string, have uint64) {
	current := s.current.Load()
	if have >= current.generation {
		return
	}
	s.mu.Lock()
	links := s.history.from(have)
	s.mu.Unlock()
	if len(links) > 0 && links[len(links)-1].Generation >= current.generation {
		for _, link := range links {
			s.sendData(to, link)
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

func (s *Syncer) sendData(to string, data *peerpb.ConfigData) {
	err := s.config.Sender.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigData{ConfigData: data}})
	if err != nil {
		// The peer learns of the generation from the next ping and pulls it.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if data.Base > 0 {
		s.stats.DeltasSent++
	} else {
		s.stats.WholeSent++
	}
}

var errDigest = errors.New("the digest of the received set differs")

// receive installs a delta or a whole set. What does not fit starts a pull from
// the sender: of the missing deltas, or of the whole set after a wrong digest.
func (s *Syncer) receive(from string, data *peerpb.ConfigData) {
	current := s.current.Load()
	if data.Generation <= current.generation {
		return
	}
	if data.Base > 0 && data.Base != current.generation {
		s.noteAhead(from, data.Generation)
		s.pullWhenDue()
		return
	}
	set, err := s.decode(current, data)
	if err != nil {
		s.config.Logger.EmitError(eventlog.ConfigReadFailed, fault.Wrap(err, "config.receive", from),
			eventlog.Fields{"generation": data.Generation})
		s.pullWhole(from)
		return
	}
	s.install(from, &inForce{generation: data.Generation, set: set, digest: data.Digest}, data)
}

func (s *Syncer) decode(current *inForce, data *peerpb.ConfigData) (*object.Set, error) {
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

// pullWhole asks for the whole set after a delta did not lead to its digest.
func (s *Syncer) pullWhole(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.DigestErrors++
	if time.Since(s.pulled) < pullTimeout {
		return
	}
	s.pulled = time.Now()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPull{ConfigPull: &peerpb.ConfigPull{}}}
	_ = s.config.Sender.Send(from, message)
}
