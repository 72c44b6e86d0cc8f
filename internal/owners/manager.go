package owners

import (
	"context"
	"time"

	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/outlier"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/prefix"
	"github.com/marjoramflow/marjoramflow/ring"
	"github.com/marjoramflow/marjoramflow/topology"
)

const (
	// ringSize bounds the events that wait for the duty.
	ringSize = 8192
	// tickInterval is the precision of deadlines of waiting requests. Shorter ticks
	// wake an idle daemon more often without use.
	tickInterval = 50 * time.Millisecond
	// takeoverDelay is the time between becoming an owner and the first grant,
	// in which entries register the grants that they hold.
	takeoverDelay = 200 * time.Millisecond
)

// Sender sends messages to daemons without blocking.
type Sender interface {
	Send(to string, m *peerpb.Envelope) error
}

// Manager holds the groups. Run drives it; the other methods are safe for
// concurrent use and hand their input to the ring.
type Manager struct {
	self       string
	sender     Sender
	logger     *eventlog.Logger
	onLost     func(target string, running []owner.RunningRequest)
	onReplaced func(target string)
	trial      EjectionProbe
	group      owner.Options
	events     *ring.Ring[event]
	model      *estimate.Model
	groups     map[key]*state
	// states are the last known states of targets, kept over changes of groups.
	states map[string]owner.TargetState
	// loaded are the versions that each target reported, by target.
	loaded map[string][]string
	// fallbackShare divides the slots of targets in fallback groups.
	fallbackShare int
	local         *topology.Topology
	detector      *outlier.Detector
	judged        time.Time
}

// key names a group of the own data centre.
type key struct {
	service string
	number  int
}

// state is one group and when it may grant.
type state struct {
	group   *owner.Group
	opensAt time.Time
	open    bool
	// early are the requests that arrived before the group opened.
	early []earlyRequest
}

// earlyRequest is a request that waits for its group to open.
type earlyRequest struct {
	from string
	at   time.Time
	m    *peerpb.Reserve
}

// maxEarly bounds the requests that wait for one group to open.
const maxEarly = 4096

// event is one input of the duty.
type event func(now time.Time)

// Config holds the parts of a Manager. All are required but Model.
type Config struct {
	Self   string
	Sender Sender
	// OnConnectionLost is told that a connection to a target broke, with the requests that
	// ran there.
	OnConnectionLost func(target string, running []owner.RunningRequest)
	// OnReplaced is told that another target answers at the address of one, which
	// gets nothing more until its state is set again. Nil takes it for a failed request.
	OnReplaced    func(target string)
	EjectionProbe EjectionProbe
	Logger        *eventlog.Logger
	// Model predicts times and is the duty's own from now on; nil takes a new one.
	Model *estimate.Model
	// Group configures the groups; their model is Model.
	Group owner.Options
}

// New returns a duty without groups.
func New(config Config) *Manager {
	if config.Model == nil {
		config.Model = estimate.New()
	}
	return &Manager{
		self:          config.Self,
		sender:        config.Sender,
		onLost:        config.OnConnectionLost,
		onReplaced:    config.OnReplaced,
		trial:         config.EjectionProbe,
		group:         config.Group,
		logger:        config.Logger,
		detector:      outlier.New(),
		events:        ring.New[event](ringSize),
		model:         config.Model,
		groups:        make(map[key]*state),
		states:        make(map[string]owner.TargetState),
		loaded:        make(map[string][]string),
		fallbackShare: 1,
	}
}

// Run handles events until the context ends.
func (d *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case handle := <-d.events.Items():
			handle(time.Now())
		case now := <-ticker.C:
			d.tick(now)
		}
	}
}

// PendingEvents returns the number of events that wait for the duty.
func (d *Manager) PendingEvents() int {
	return d.events.Len()
}

// OnMessage takes a message of an entry. It says whether the message was one
// for owners.
func (d *Manager) OnMessage(from string, m *peerpb.Envelope) bool {
	var handle event
	switch body := m.Body.(type) {
	case *peerpb.Envelope_Reserve:
		handle = func(now time.Time) { d.reserve(now, from, body.Reserve) }
	case *peerpb.Envelope_CancelReserve:
		handle = func(now time.Time) { d.cancel(now, body.CancelReserve) }
	case *peerpb.Envelope_Release:
		handle = func(now time.Time) { d.release(now, body.Release) }
	case *peerpb.Envelope_Resync:
		handle = func(now time.Time) { d.resync(now, from, body.Resync) }
	default:
		return false
	}
	d.events.TryPush(handle)
	return true
}

// EntryGone drops the requests of a daemon that is dead.
func (d *Manager) EntryGone(daemon string) {
	d.events.TryPush(func(now time.Time) {
		for k, s := range d.groups {
			d.send(k, s, s.group.EntryGone(now, daemon))
		}
	})
}

// SetTargetState tells the state of a target.
func (d *Manager) SetTargetState(target string, to owner.TargetState) {
	d.events.TryPush(func(now time.Time) { d.setTargetState(now, target, to) })
}

func (d *Manager) setTargetState(now time.Time, target string, to owner.TargetState) {
	if d.states[target] == to {
		return
	}
	d.states[target] = to
	d.applyState(now, target)
}

// SetLoaded tells which versions a target reports as loaded.
func (d *Manager) SetLoaded(target string, versions []string) {
	d.events.TryPush(func(now time.Time) {
		d.loaded[target] = versions
		for k, s := range d.groups {
			d.applyTargets(now, k, s)
		}
	})
}

// CacheEvents passes cache events of a target on.
func (d *Manager) CacheEvents(target string, events []prefix.Event) {
	d.events.TryPush(func(now time.Time) {
		for _, s := range d.groups {
			s.group.CacheEvents(now, target, events)
		}
	})
}

// InFlight calls back with the requests that run on a target.
func (d *Manager) InFlight(target string, then func([]owner.RunningRequest)) {
	d.events.TryPush(func(time.Time) {
		var running []owner.RunningRequest
		for _, s := range d.groups {
			running = append(running, s.group.InFlight(target)...)
		}
		then(running)
	})
}
