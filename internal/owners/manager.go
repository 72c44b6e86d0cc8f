package owners

import (
	"context"
	"time"

	"github.com/marjoramflow/marjoramflow/blocklist"
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
	// eventRingSize bounds the events that wait for the manager.
	eventRingSize = 8192
	// tickInterval is the precision of deadlines of waiting requests. Shorter ticks
	// would wake an idle daemon more often without benefit.
	tickInterval = 50 * time.Millisecond
	// takeoverTime is the time after becoming the owner of a group in which entries register
	// the grants that they hold. A part of the slots is granted meanwhile: a grant that the
	// new owner does not know yet may take a slot twice, and then the target queues.
	takeoverTime = 200 * time.Millisecond
	// takeoverSlotsDivisor divides the slots of a target for takeoverTime.
	takeoverSlotsDivisor = 2
)

// Sender sends messages to daemons without blocking.
type Sender interface {
	Send(to string, m *peerpb.Envelope) error
}

// Manager holds the groups that this daemon owns. Run handles the events; the other
// exported methods are safe for concurrent use and push events to the ring. An event
// that a full ring refuses is dropped.
type Manager struct {
	self             string
	dataCentre       string
	sender           Sender
	logger           *eventlog.Logger
	onConnectionLost func(target string, running []owner.RunningRequest)
	onAttemptLost    func(target string, attempt blocklist.Attempt)
	onReplaced       func(target string)
	ejectionProbe    EjectionProbe
	groupOptions     owner.Options
	events           *ring.Ring[event]
	model            *estimate.Model
	groups           map[groupKey]*groupState
	// targetStates holds the last state that was set for each target. It outlives the
	// groups.
	targetStates map[string]owner.TargetState
	// reportedVersions holds the loaded versions that each target reported.
	reportedVersions map[string][]string
	// fallbackShare divides the slots of targets in fallback groups.
	fallbackShare  int
	topology       *topology.Topology
	detector       *outlier.Detector
	lastEvaluation time.Time
	cold           *coldTracker
}

// groupKey identifies a group of the own data centre.
type groupKey struct {
	service string
	number  int
}

// groupState is one group and whether its takeover from another owner is over.
type groupState struct {
	group       *owner.Group
	takenOverAt time.Time
	takenOver   bool
	// lastReserve is the time of the last request, for fallback groups.
	lastReserve time.Time
}

// event handles one input of the manager. Run calls it.
type event func(now time.Time)

// Config holds the dependencies of a Manager. All are required, except DataCentre, Model,
// OnAttemptLost and OnReplaced.
type Config struct {
	Self   string
	Sender Sender
	// DataCentre, if set, has the loads in replies name this data centre and state the
	// slots and the grants of the group, which entries with overflow.Options need.
	DataCentre string
	// OnConnectionLost is called with the requests that run on a target when a connection
	// to the target broke, and, with Options.CheckOnTimeout, when a request made no progress
	// there.
	OnConnectionLost func(target string, running []owner.RunningRequest)
	// OnAttemptLost is called for each attempt that may have crashed its target, if it is not nil.
	OnAttemptLost func(target string, attempt blocklist.Attempt)
	// OnReplaced is called when another target answers at the address of this one. The
	// target gets no requests until its state is set again. If OnReplaced is nil, this
	// is handled as a failed request.
	OnReplaced    func(target string)
	EjectionProbe EjectionProbe
	Logger        *eventlog.Logger
	// Model predicts times; nil means a new one. It must not be used elsewhere while
	// the manager runs, since it is not safe for concurrent use.
	Model *estimate.Model
	// GroupOptions configures the groups; its Model is replaced by the one above.
	GroupOptions owner.Options
	// Cold is used for services that state a cold rate.
	Cold ColdConfig
}

// New returns a manager without groups.
func New(config Config) *Manager {
	if config.Model == nil {
		config.Model = estimate.New()
	}
	return &Manager{
		self:             config.Self,
		dataCentre:       config.DataCentre,
		sender:           config.Sender,
		onConnectionLost: config.OnConnectionLost,
		onAttemptLost:    config.OnAttemptLost,
		onReplaced:       config.OnReplaced,
		ejectionProbe:    config.EjectionProbe,
		groupOptions:     config.GroupOptions,
		logger:           config.Logger,
		detector:         outlier.New(),
		events:           ring.New[event](eventRingSize),
		model:            config.Model,
		groups:           make(map[groupKey]*groupState),
		targetStates:     make(map[string]owner.TargetState),
		reportedVersions: make(map[string][]string),
		fallbackShare:    1,
		cold:             newColdTracker(config.Self, config.Cold),
	}
}

// Run handles events until the context ends.
func (mgr *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case handle := <-mgr.events.Items():
			handle(time.Now())
		case now := <-ticker.C:
			mgr.tick(now)
		}
	}
}

// PendingEvents returns the number of events that wait for the manager.
func (mgr *Manager) PendingEvents() int {
	return mgr.events.Len()
}

// OnMessage queues a message of an entry without blocking. It reports whether the
// message is one for owners.
func (mgr *Manager) OnMessage(from string, m *peerpb.Envelope) bool {
	var handle event
	switch body := m.Body.(type) {
	case *peerpb.Envelope_Reserve:
		handle = func(now time.Time) { mgr.reserve(now, from, body.Reserve) }
	case *peerpb.Envelope_CancelReserve:
		handle = func(now time.Time) { mgr.cancel(now, body.CancelReserve) }
	case *peerpb.Envelope_Release:
		handle = func(now time.Time) { mgr.release(now, body.Release) }
	case *peerpb.Envelope_Resync:
		handle = func(now time.Time) { mgr.resync(now, from, body.Resync) }
	default:
		return false
	}
	mgr.events.TryPush(handle)
	return true
}

// DropEntry drops the requests of a daemon that has died.
func (mgr *Manager) DropEntry(daemon string) {
	mgr.events.TryPush(func(now time.Time) {
		for k, s := range mgr.groups {
			mgr.sendDecisions(k, s, s.group.DropEntry(now, daemon))
		}
	})
}

// SetTargetState sets the state of a target.
func (mgr *Manager) SetTargetState(target string, to owner.TargetState) {
	mgr.events.TryPush(func(now time.Time) { mgr.setTargetState(now, target, to) })
}

func (mgr *Manager) setTargetState(now time.Time, target string, to owner.TargetState) {
	if mgr.targetStates[target] == to {
		return
	}
	mgr.targetStates[target] = to
	mgr.applyTargetState(now, target)
}

// SetLoadedVersions sets the versions that a target reports as loaded.
func (mgr *Manager) SetLoadedVersions(target string, versions []string) {
	mgr.events.TryPush(func(now time.Time) {
		mgr.reportedVersions[target] = versions
		for k, s := range mgr.groups {
			mgr.applyTargets(now, k, s)
		}
	})
}

// CacheEvents passes the cache events of a target to all groups.
func (mgr *Manager) CacheEvents(target string, events []prefix.Event) {
	mgr.events.TryPush(func(now time.Time) {
		for _, s := range mgr.groups {
			s.group.CacheEvents(now, target, events)
		}
	})
}

// InFlight calls callback with the requests that run on a target, in the goroutine of
// Run.
func (mgr *Manager) InFlight(target string, callback func([]owner.RunningRequest)) {
	mgr.events.TryPush(func(time.Time) {
		var running []owner.RunningRequest
		for _, s := range mgr.groups {
			running = append(running, s.group.InFlight(target)...)
		}
		callback(running)
	})
}
