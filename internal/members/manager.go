// Package members runs the membership protocol of a daemon: one goroutine feeds the
// membership table with the VM list, sessions and gossip, executes the table's
// actions, and reports which daemons are live in each data centre.
//
// A daemon that is silent (membership.Silence), or whose session broke and was not restored
// within reconnectGrace, is removed from this daemon's live list before the membership table
// removes it, which it does after a longer grace period. Entry daemons then use the next
// owner within half a second.
// Daemons may briefly disagree about the live list. Two of them may then grant slots
// of the same target group; this exceeds the number of slots for a short time and
// violates no guarantee.
package members

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/ring"
)

const (
	// eventRingSize bounds the events that wait for Run. Events beyond it are dropped;
	// a dropped sign of life is repeated within a second.
	eventRingSize = 4096
	// vmListInterval is the time between reads of the VM list.
	vmListInterval = time.Second
	// vmListTimeout bounds one read of the VM list.
	vmListTimeout = 2 * time.Second
	// heardInterval is the minimum time between two events that report frames of the
	// same peer as signs of life.
	heardInterval = 500 * time.Millisecond
	// reconnectGrace is the time in which a broken session may be restored before its
	// daemon is excluded from the live list.
	reconnectGrace = 300 * time.Millisecond
)

// Mesh is the part of peer.Mesh that a Manager uses.
type Mesh interface {
	Send(to string, m *peerpb.Envelope) error
	SetPeers([]peer.Address)
	Connect(name string)
}

// Config holds the dependencies of a Manager. All are required.
type Config struct {
	Self   membership.Member
	VMs    provider.VMList
	Seeds  []peer.Address
	Logger *eventlog.Logger
	// OnLiveChanged is called from Run's goroutine when the live daemons of a data centre
	// changed.
	OnLiveChanged func(dataCentre string, daemons []string)
	// OnDaemonDead is called when the membership table declares a daemon dead, from Run's
	// goroutine, and when a session with a new process of the daemon is up, from the
	// goroutine of OnSession and before the first message of that process.
	OnDaemonDead func(daemon string)
	// OnVMList is called from Run's goroutine with each VM list, after the OnLiveChanged calls
	// that result from it.
	OnVMList func([]provider.VM)
}

// Manager drives the membership table. Only Run's goroutine accesses the table; the
// other methods queue their input in a ring and are safe for concurrent use.
type Manager struct {
	Config
	mesh   Mesh
	events *ring.Ring[func(now time.Time)]
	table  *membership.Table
	// sessionLostAt is the time, by daemon, at which its session broke or at which it was
	// first reported unreachable without a session.
	sessionLostAt map[string]time.Time
	sessionUp     map[string]bool
	// silence is accessed only by Run's goroutine; silenceTimer fires when it is due.
	silence      *membership.Silence
	silenceTimer *time.Timer
	// published holds the live list last passed to OnLiveChanged, by data centre.
	published map[string][]string

	mu sync.Mutex
	// heardAt is the time of the last reported sign of life, by peer.
	heardAt map[string]time.Time
	// questioned are the daemons that are asked for a sign of life or silent. Each of
	// their frames is reported.
	questioned map[string]bool
	// incarnations are those of the latest sessions, by daemon.
	incarnations map[string]uint64
	lastMembers  []membership.Member
}

// New returns a Manager. SetMesh must be called before Run.
func New(config Config) *Manager {
	return &Manager{
		Config:        config,
		events:        ring.New[func(time.Time)](eventRingSize),
		table:         membership.NewTable(membership.Config{Self: config.Self}, time.Now()),
		sessionLostAt: make(map[string]time.Time),
		sessionUp:     make(map[string]bool),
		incarnations:  make(map[string]uint64),
		silence:       membership.NewSilence(),
		questioned:    make(map[string]bool),
		published:     make(map[string][]string),
		heardAt:       make(map[string]time.Time),
	}
}

// SetMesh installs the mesh.
func (m *Manager) SetMesh(mesh Mesh) {
	m.mesh = mesh
}

// Run drives the table until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	m.silenceTimer = time.NewTimer(membership.TickInterval)
	defer m.silenceTimer.Stop()
	m.applySeeds()
	m.publish(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case handle := <-m.events.Items():
			handle(time.Now())
		case now := <-m.silenceTimer.C:
			m.checkSilence(now)
		case now := <-ticker.C:
			m.perform(m.table.Tick(now))
			m.publish(now)
		}
	}
}

// RunVMList reads the VM list every vmListInterval until the context ends. If a read
// fails, the last list stays in force; the first of several failures is logged.
func (m *Manager) RunVMList(ctx context.Context) error {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	failing := false
	for {
		failing = m.readVMList(ctx, failing)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readVMList reads the VM list once and reports whether that failed. It logs the error
// unless the previous read failed as well.
func (m *Manager) readVMList(ctx context.Context, failing bool) bool {
	callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	list, err := m.VMs.List(callCtx)
	if err != nil {
		if !failing && ctx.Err() == nil {
			m.Logger.EmitError(eventlog.PlatformUnavailable, err, nil)
		}
		return true
	}
	m.events.TryPush(func(now time.Time) {
		m.perform(m.table.SetVMList(now, list))
		m.setPeers()
		m.publish(now)
		m.OnVMList(list)
	})
	return false
}

// OnSession reports that the session with a daemon was established or broke. The hello
// may be nil when it broke.
func (m *Manager) OnSession(name string, up bool, hello *peerpb.Hello) {
	if up {
		m.noteProcess(name, hello.Incarnation)
	}
	m.events.TryPush(func(now time.Time) {
		m.sessionUp[name] = up
		if !up {
			m.sessionLostAt[name] = now
			m.perform(m.table.SessionDown(now, name))
			m.redial(name)
			return
		}
		delete(m.sessionLostAt, name)
		m.silence.Restarted(name)
		m.setQuestioned(name, false)
		m.perform(m.table.SessionUp(now, membership.Member{
			Name:        name,
			DataCentre:  hello.DataCentre,
			Incarnation: hello.Incarnation,
		}))
		m.publish(now)
	})
}

// OnMessage handles a frame of a peer: gossip is merged, and any other frame counts as a
// sign of life. It reports whether the frame was gossip.
func (m *Manager) OnMessage(from string, message *peerpb.Envelope) bool {
	if m.shouldReportHeard(from) {
		m.events.TryPush(func(now time.Time) { m.onFrame(now, from) })
	}
	switch body := message.Body.(type) {
	case *peerpb.Envelope_Members:
		members := membership.FromProto(body.Members)
		m.events.TryPush(func(now time.Time) { m.perform(m.table.Merge(now, from, members)) })
		return true
	case *peerpb.Envelope_Unanswered:
		m.events.TryPush(func(now time.Time) { m.onUnansweredReport(now, from, body.Unanswered.Daemon) })
		return true
	}
	return false
}

// shouldReportHeard limits the signs of life of one peer to one per heardInterval, except
// for a peer that is questioned.
func (m *Manager) shouldReportHeard(from string) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.heardAt[from]) < heardInterval && !m.questioned[from] {
		return false
	}
	m.heardAt[from] = now
	return true
}

// ReportUnreachable reports that a daemon could not be reached or did not answer. The
// daemon is dialled again.
func (m *Manager) ReportUnreachable(name string) {
	m.mesh.Connect(name)
	m.events.TryPush(func(now time.Time) {
		if _, known := m.sessionLostAt[name]; !known && !m.sessionUp[name] && name != m.Self.Name {
			m.sessionLostAt[name] = now
		}
	})
}

// Leave announces to the peers that this daemon stops. It returns when the gossip was
// passed to the mesh, or when the context ends. If the event ring is full, it returns at
// once and announces nothing.
func (m *Manager) Leave(ctx context.Context) {
	done := make(chan struct{})
	pushed := m.events.TryPush(func(now time.Time) {
		m.perform(m.table.Leave(now))
		m.publish(now)
		close(done)
	})
	if !pushed {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Members returns the members as of the last update by Run.
func (m *Manager) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.lastMembers)
}

// redial dials a daemon whose session broke, if it is alive or suspect. A daemon that was
// restarted has no reason to dial this one; without the redial, this daemon would exclude
// it from the live list permanently.
func (m *Manager) redial(name string) {
	for _, member := range m.table.Members() {
		if member.Name == name && (member.State == membership.Alive || member.State == membership.Suspect) {
			m.mesh.Connect(name)
		}
	}
}

// perform executes the actions of the table. It applies membership changes first, so that
// the mesh knows the new addresses before it is asked to connect or send.
func (m *Manager) perform(actions []membership.Action) {
	changed := false
	for _, action := range actions {
		if change, ok := action.(membership.MemberChanged); ok {
			m.applyChange(change)
			changed = true
		}
	}
	if changed {
		m.setPeers()
	}
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Probe:
			m.mesh.Connect(a.To)
		case membership.Gossip:
			m.gossip(a)
		}
	}
}

func (m *Manager) gossip(a membership.Gossip) {
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Members{Members: membership.ToProto(a.Members)}}
	for _, to := range a.To {
		// Gossip that cannot be sent is repeated by the table's periodic sync.
		_ = m.mesh.Send(to, message)
	}
}

func (m *Manager) applyChange(change membership.MemberChanged) {
	m.Logger.Emit(eventlog.MemberChanged, eventlog.Fields{
		"member": change.Member.Name,
		"from":   change.Previous.String(),
		"to":     change.Member.State.String(),
	})
	switch change.Member.State {
	case membership.Dead:
		m.OnDaemonDead(change.Member.Name)
	case membership.Alive:
		if change.Previous == membership.Leaving || change.Previous == membership.Dead {
			// The broken session belonged to an earlier run of the daemon.
			delete(m.sessionLostAt, change.Member.Name)
		}
	}
}

// applySeeds connects to the seeds, which are the only known peers until the first VM
// list arrives.
func (m *Manager) applySeeds() {
	m.mesh.SetPeers(m.Seeds)
	for _, s := range m.Seeds {
		m.mesh.Connect(s.Name)
	}
}

// setPeers gives the mesh the addresses that it may dial: the seeds and all members.
func (m *Manager) setPeers() {
	addresses := slices.Clone(m.Seeds)
	for _, member := range m.table.Members() {
		if member.Name == m.Self.Name || member.Address == "" {
			continue
		}
		addresses = append(addresses, peer.Address{Name: member.Name, Address: member.Address, DataCentre: member.DataCentre})
	}
	m.mesh.SetPeers(addresses)
}

// publish calls OnLiveChanged for each data centre whose live list changed, and updates the
// result of Members.
func (m *Manager) publish(now time.Time) {
	for _, dataCentre := range m.table.DataCentres() {
		names, _ := m.table.Live(dataCentre)
		live := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return m.isExcluded(now, n) })
		if slices.Equal(live, m.published[dataCentre]) {
			continue
		}
		m.published[dataCentre] = live
		m.OnLiveChanged(dataCentre, live)
	}
	m.mu.Lock()
	m.lastMembers = m.table.Members()
	m.mu.Unlock()
}

// isExcluded reports whether a daemon is left out of the live list because it is silent, or
// because its session was not restored within reconnectGrace.
func (m *Manager) isExcluded(now time.Time, name string) bool {
	if m.silence.IsSilent(name) {
		return true
	}
	lostAt, lost := m.sessionLostAt[name]
	return lost && now.Sub(lostAt) >= reconnectGrace
}
