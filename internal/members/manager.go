// Package members runs the membership duty of a daemon: one goroutine feeds the
// membership table with the VM list, sessions and gossip, performs its actions,
// and tells the rest of the daemon which daemons are live in each data centre.
//
// A daemon whose session broke and does not come back is left out of the live
// list of this daemon at once, before the membership table removes it after its
// grace period. Entries then turn to the next owner within a second. Daemons may
// disagree about this for a moment; then two of them grant slots of one target
// group, which exceeds the slots briefly and breaks no promise.
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
	// ringSize bounds events that wait for the duty; a lost sign of life is
	// repeated within a second.
	ringSize = 4096
	// listInterval is the time between reads of the VM list.
	listInterval = time.Second
	// listTimeout bounds one read.
	listTimeout = 2 * time.Second
	// heardInterval bounds how often one peer's frames reach the duty.
	heardInterval = 500 * time.Millisecond
	// reconnectTime is left to a broken session before its daemon is left out.
	reconnectTime = 300 * time.Millisecond
)

// Mesh is the part of peer.Mesh that the duty uses.
type Mesh interface {
	Send(to string, m *peerpb.Envelope) error
	SetPeers([]peer.Address)
	Connect(name string)
}

// Config holds the parts of a Manager. All are required.
type Config struct {
	Self   membership.Member
	VMs    provider.VMList
	Seeds  []peer.Address
	Logger *eventlog.Logger
	// OnLive is called from the duty's goroutine when the live daemons of a data
	// centre changed.
	OnLive func(dataCentre string, daemons []string)
	// OnGone is called when a daemon is dead or has left.
	OnGone func(daemon string)
	// OnList is called with each VM list, from the duty's goroutine, after OnLive was
	// told what follows from it.
	OnList func([]provider.VM)
}

// Manager drives the membership table. Run owns the table; the other methods hand
// their input to a ring and are safe for concurrent use.
type Manager struct {
	Config
	mesh   Mesh
	events *ring.Ring[func(now time.Time)]
	table  *membership.Table
	// lost maps daemons whose session broke, or that could not be reached, to the
	// time of that.
	lost     map[string]time.Time
	sessions map[string]bool
	told     map[string][]string

	mu    sync.Mutex
	heard map[string]time.Time
	view  []membership.Member
}

// New returns a duty. SetMesh must be called before Run.
func New(config Config) *Manager {
	return &Manager{
		Config:   config,
		events:   ring.New[func(time.Time)](ringSize),
		table:    membership.NewTable(membership.Config{Self: config.Self}, time.Now()),
		lost:     make(map[string]time.Time),
		sessions: make(map[string]bool),
		told:     make(map[string][]string),
		heard:    make(map[string]time.Time),
	}
}

// SetMesh installs the mesh.
func (d *Manager) SetMesh(mesh Mesh) {
	d.mesh = mesh
}

// Run drives the table until the context ends.
func (d *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	d.applySeeds()
	d.publish(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case handle := <-d.events.Items():
			handle(time.Now())
		case now := <-ticker.C:
			d.perform(d.table.Tick(now))
			d.publish(now)
		}
	}
}

// RunVMList reads the VM list until the context ends. A list that cannot be read
// leaves the last one in force.
func (d *Manager) RunVMList(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	failing := false
	for {
		failing = d.readList(ctx, failing)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Manager) readList(ctx context.Context, failing bool) bool {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := d.VMs.List(callCtx)
	if err != nil {
		if !failing && ctx.Err() == nil {
			d.Logger.EmitError(eventlog.PlatformUnavailable, err, nil)
		}
		return true
	}
	d.events.TryPush(func(now time.Time) {
		d.perform(d.table.SetList(now, list))
		d.setPeers()
		d.publish(now)
		d.OnList(list)
	})
	return false
}

// OnSession takes a change of a session.
func (d *Manager) OnSession(name string, up bool, hello *peerpb.Hello) {
	d.events.TryPush(func(now time.Time) {
		d.sessions[name] = up
		if !up {
			d.lost[name] = now
			d.perform(d.table.SessionDown(now, name))
			d.seek(name)
			return
		}
		delete(d.lost, name)
		d.perform(d.table.SessionUp(now, membership.Member{
			Name:        name,
			DataCentre:  hello.DataCentre,
			Incarnation: hello.Incarnation,
		}))
		d.publish(now)
	})
}

// OnMessage takes a frame of a peer. Gossip is merged; any frame is a sign of life.
func (d *Manager) OnMessage(from string, m *peerpb.Envelope) bool {
	if body, ok := m.Body.(*peerpb.Envelope_Members); ok {
		members := membership.FromProto(body.Members)
		d.events.TryPush(func(now time.Time) { d.perform(d.table.Merge(now, from, members)) })
		return true
	}
	if d.dueHeard(from) {
		d.events.TryPush(func(now time.Time) { d.perform(d.table.Heard(now, from)) })
	}
	return false
}

func (d *Manager) dueHeard(from string) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.heard[from]) < heardInterval {
		return false
	}
	d.heard[from] = now
	return true
}

// ReportUnreachable tells that a daemon could not be reached or did not answer.
func (d *Manager) ReportUnreachable(name string) {
	d.mesh.Connect(name)
	d.events.TryPush(func(now time.Time) {
		if _, known := d.lost[name]; !known && !d.sessions[name] && name != d.Self.Name {
			d.lost[name] = now
		}
	})
}

// Leave tells the peers that this daemon stops. It returns after the gossip was
// handed to the mesh.
func (d *Manager) Leave(ctx context.Context) {
	done := make(chan struct{})
	pushed := d.events.TryPush(func(now time.Time) {
		d.perform(d.table.Leave(now))
		d.publish(now)
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

// Members returns the last known members.
func (d *Manager) Members() []membership.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.view)
}

// seek dials a daemon whose session broke, unless it leaves. A daemon that was restarted
// has no reason to dial this one, which would leave it out for good otherwise.
func (d *Manager) seek(name string) {
	for _, m := range d.table.Members() {
		if m.Name == name && (m.State == membership.Alive || m.State == membership.Suspect) {
			d.mesh.Connect(name)
		}
	}
}

// perform carries out the actions of the table.
func (d *Manager) perform(actions []membership.Action) {
	changed := false
	for _, action := range actions {
		if a, ok := action.(membership.Changed); ok {
			d.changed(a)
			changed = true
		}
	}
	if changed {
		d.setPeers()
	}
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Probe:
			d.mesh.Connect(a.To)
		case membership.Gossip:
			d.gossip(a)
		}
	}
}

func (d *Manager) gossip(a membership.Gossip) {
	m := &peerpb.Envelope{Body: &peerpb.Envelope_Members{Members: membership.ToProto(a.Members)}}
	for _, to := range a.To {
		// Gossip that cannot be sent is repeated by the table's periodic sync.
		_ = d.mesh.Send(to, m)
	}
}

func (d *Manager) changed(a membership.Changed) {
	d.Logger.Emit(eventlog.MemberChanged, eventlog.Fields{
		"member": a.Member.Name,
		"from":   a.Previous.String(),
		"to":     a.Member.State.String(),
	})
	switch a.Member.State {
	case membership.Dead:
		d.OnGone(a.Member.Name)
	case membership.Alive:
		if a.Previous == membership.Leaving || a.Previous == membership.Dead {
			// The session broke with an earlier run of the daemon.
			delete(d.lost, a.Member.Name)
		}
	}
}

// applySeeds makes the seeds known until the first VM list arrives.
func (d *Manager) applySeeds() {
	d.mesh.SetPeers(d.Seeds)
	for _, s := range d.Seeds {
		d.mesh.Connect(s.Name)
	}
}

// setPeers tells the mesh whom it may dial.
func (d *Manager) setPeers() {
	addresses := slices.Clone(d.Seeds)
	for _, m := range d.table.Members() {
		if m.Name == d.Self.Name || m.Address == "" {
			continue
		}
		addresses = append(addresses, peer.Address{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre})
	}
	d.mesh.SetPeers(addresses)
}

// publish tells changed live lists.
func (d *Manager) publish(now time.Time) {
	for _, dataCentre := range d.table.DataCentres() {
		names, _ := d.table.Live(dataCentre)
		live := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return d.leftOut(now, n) })
		if slices.Equal(live, d.told[dataCentre]) {
			continue
		}
		d.told[dataCentre] = live
		d.OnLive(dataCentre, live)
	}
	d.mu.Lock()
	d.view = d.table.Members()
	d.mu.Unlock()
}

func (d *Manager) leftOut(now time.Time, name string) bool {
	since, lost := d.lost[name]
	return lost && now.Sub(since) >= reconnectTime
}
