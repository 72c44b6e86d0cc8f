package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/lease"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

// Loader sends control commands to targets.
type Loader interface {
	// Load commands the target to load the version and reports whether the target
	// has loaded it; the controller repeats the call until it has. Nothing may be
	// sent after the context's deadline, which is at most the end of the lease:
	// adapters set it on the connection.
	Load(ctx context.Context, command LoadVersion) (loaded bool, err error)
}

// Notifier sends new rows and cuts to all peers. Calls must not block.
type Notifier interface {
	NotifyRow(move string, sequence uint64, row []byte)
	NotifyCut(move string, attempt int, reason string)
}

// Config sets up a Controller.
type Config struct {
	Table    provider.Table
	Loader   Loader
	Weights  provider.Weights
	Notifier Notifier
	// Self names this daemon.
	Self string
	// TrafficSplit is updated with all rows and cuts that the controller reads or makes.
	TrafficSplit *TrafficSplit
	// Policy defaults to a StateMachine whose test has half of DefaultAlpha; the
	// aggregators of all data centres share the other half.
	Policy Policy
	// Options configure the default policy; nil stands for DefaultOptions.
	Options *Options
	// IsCandidate reports whether this daemon competes for the lease of a service.
	// It bounds the reads of the store when there are many daemons; with nil, the
	// daemon always competes.
	IsCandidate func(service string) bool
	// Terms of the leases; they default to lease.DefaultTerms.
	Terms lease.Terms
	// Now and WithDeadline are the clock; they default to time.Now and
	// context.WithDeadline.
	Now          func() time.Time
	WithDeadline func(context.Context, time.Time) (context.Context, context.CancelFunc)
	// Spawn runs a function that sends one load command, concurrently with Run. It
	// defaults to starting a goroutine.
	Spawn func(func())
	// Hook, if set, is called before each step at which a pause of the process could
	// do harm. Tests pause the controller there.
	Hook func(HookPoint)
}

// HookPoint is a step of the controller, for tests that pause it.
type HookPoint string

// The points at which Config.Hook is called.
const (
	BeforeRead    HookPoint = "before read"
	BeforeAcquire HookPoint = "before acquire"
	BeforeDecide  HookPoint = "before decide"
	BeforeWrite   HookPoint = "before write"
	BeforeReserve HookPoint = "before reserve"
	BeforeCheck   HookPoint = "before check of the lease"
	BeforeSend    HookPoint = "before send"
)

const (
	// leaseWatchInterval is how often a candidate reads a lease that it does not
	// hold.
	leaseWatchInterval = time.Second
	// idleReadInterval is how often a candidate reads the rows while no move of the
	// service needs a holder.
	idleReadInterval = 5 * time.Second
	// renewBelowFraction is the fraction of the term below which the remaining time
	// must fall before the holder renews the lease.
	renewBelowFraction = 0.6
	// loadRetryInterval is the pause before a load command is repeated.
	loadRetryInterval = time.Second
	// maxParallelLoads bounds the load commands in flight from this daemon.
	maxParallelLoads = 16
	// releaseTimeout bounds the release of all leases when Run ends.
	releaseTimeout = time.Second
)

// Controller executes moves under leases. Run and Tick must not be called
// concurrently; all other methods are safe for concurrent use.
type Controller struct {
	config    Config
	wake      chan struct{} // holds at most one wake-up of Run
	loadSlots chan struct{} // limits the load commands in flight

	mu       sync.Mutex
	set      *object.Set
	services map[string]*serviceController
}

// NewController returns a controller without a configuration.
func NewController(c Config) *Controller {
	if c.TrafficSplit == nil {
		c.TrafficSplit = NewTrafficSplit()
	}
	if c.Terms == (lease.Terms{}) {
		c.Terms = lease.DefaultTerms()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.WithDeadline == nil {
		c.WithDeadline = context.WithDeadline
	}
	if c.Spawn == nil {
		c.Spawn = func(f func()) { go f() }
	}
	if c.Hook == nil {
		c.Hook = func(HookPoint) {}
	}
	if c.Policy == nil {
		options := DefaultOptions()
		if c.Options != nil {
			options = *c.Options
		}
		c.Policy = &StateMachine{Options: options, Evaluator: NewSequentialTest().SplitAmong(2)}
	}
	return &Controller{
		config:    c,
		wake:      make(chan struct{}, 1),
		loadSlots: make(chan struct{}, maxParallelLoads),
		services:  make(map[string]*serviceController),
	}
}

// Run calls Tick whenever it is due until the context ends, then releases all
// leases.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.releaseLeases()
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Reset(c.Tick(ctx))
	}
}

// Tick runs one round for every service for whose lease this daemon is a candidate,
// and returns the time until the next call. It is called by Run.
func (c *Controller) Tick(ctx context.Context) time.Duration {
	pause := idleReadInterval
	for _, sc := range c.candidates() {
		pause = min(pause, sc.tick(ctx))
	}
	return pause
}

// candidates returns the services for whose lease this daemon competes, in name
// order.
func (c *Controller) candidates() []*serviceController {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*serviceController
	for name, sc := range c.services {
		if c.config.IsCandidate == nil || c.config.IsCandidate(name) {
			out = append(out, sc)
		}
	}
	slices.SortFunc(out, func(a, b *serviceController) int {
		if a.service < b.service {
			return -1
		}
		return 1
	})
	return out
}

// SetConfig applies the configuration in force. The set must not be changed
// afterwards.
func (c *Controller) SetConfig(set *object.Set) {
	c.config.TrafficSplit.SetConfig(set)
	c.mu.Lock()
	c.set = set
	for i := range set.Moves {
		service := set.Moves[i].Service
		if c.services[service] == nil {
			c.services[service] = newServiceController(c, service)
		}
	}
	for _, sc := range c.services {
		sc.setConfig(set)
	}
	c.mu.Unlock()
	c.wakeRun()
}

// AddEvidence merges evidence for moves whose lease this daemon holds or held last;
// other evidence is dropped. While Run waits for the store, and during a short soak,
// AddEvidence itself evaluates the evidence and cuts a bad version.
func (c *Controller) AddEvidence(e *Evidence) {
	for _, cut := range c.addEvidence(e) {
		c.Cut(cut.Move, cut.Attempt, cut.Reason)
	}
}

func (c *Controller) addEvidence(e *Evidence) []CutShare {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cuts []CutShare
	for _, sc := range c.services {
		if m := sc.moves[e.Move]; m != nil {
			sc.addEvidence(m, e)
			cuts = append(cuts, sc.cutsOnEvidence(m)...)
		}
	}
	return cuts
}

// Cut permanently sets the share of an attempt to zero and notifies the peers,
// unless the cut was already known. The next tick of the holder records the cut.
func (c *Controller) Cut(move string, attempt int, reason string) {
	if !c.config.TrafficSplit.ApplyCut(move, attempt, reason) {
		return
	}
	c.config.Notifier.NotifyCut(move, attempt, reason)
	c.wakeRun()
}

// TableRestored makes the controller read all rows at once, and write those that the restored table
// lost. It does not block.
func (c *Controller) TableRestored() {
	c.mu.Lock()
	for _, sc := range c.services {
		sc.nextRead = time.Time{}
	}
	c.mu.Unlock()
	c.wakeRun()
}

// wakeRun makes Run call Tick at once. It does not block.
func (c *Controller) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// releaseLeases releases all leases, so that another daemon can take them over
// before they expire.
func (c *Controller) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	c.mu.Lock()
	services := make([]*serviceController, 0, len(c.services))
	for _, sc := range c.services {
		services = append(services, sc)
	}
	c.mu.Unlock()
	for _, sc := range services {
		// After an error the lease expires by itself, as it does after a crash.
		_ = sc.keeper.Release(ctx)
	}
}

// MoveStatus describes a move to operators.
type MoveStatus struct {
	Move     string    `json:"move"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Attempt  int       `json:"attempt"`
	Phase    Phase     `json:"phase"`
	Share    uint32    `json:"share"`
	Deadline time.Time `json:"deadline"`
	Holder   string    `json:"holder,omitempty"`
	Fence    uint64    `json:"fence,omitempty"`
	// HoldsLease says that this daemon holds the lease.
	HoldsLease bool   `json:"held"`
	Reason     string `json:"reason,omitempty"`
	// CutReason is the reason of a cut that this daemon knows of.
	CutReason string `json:"cut,omitempty"`
	// MayCross says that the move was done just now, and that a cut which crosses with its end
	// may still arrive.
	MayCross bool `json:"mayCross,omitempty"`
	// WaitingFor says what the holder waits for, or is the error of the last failed
	// call.
	WaitingFor string `json:"waiting,omitempty"`
}

// Status returns the state of all moves in the configuration.
func (c *Controller) Status() []MoveStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set == nil {
		return nil
	}
	out := make([]MoveStatus, 0, len(c.set.Moves))
	for i := range c.set.Moves {
		out = append(out, c.status(&c.set.Moves[i]))
	}
	return out
}

// status returns the state of one move. The caller holds the mutex.
func (c *Controller) status(m *object.Move) MoveStatus {
	s := MoveStatus{
		Move: m.Name, Service: m.Service, From: m.From, To: m.To,
		Attempt: m.Attempt, Phase: Pending, Deadline: m.Deadline,
	}
	if row, _, ok := c.config.TrafficSplit.Row(m.Name); ok {
		s.Attempt, s.Phase, s.Share, s.Deadline = row.Attempt, row.Phase, row.Share, row.Deadline
		s.Holder, s.Fence, s.Reason = row.Holder, row.Fence, row.Reason
	}
	reason, cut := c.config.TrafficSplit.CutReason(m.Name, s.Attempt)
	s.CutReason = reason
	s.MayCross = c.config.TrafficSplit.MayCross(m.Name)
	if s.Phase != Done && (cut || !c.config.Now().Before(s.Deadline)) {
		// The row keeps its share until a holder can write the reversal, but requests
		// already go to the old version.
		s.Share = 0
	}
	if sc := c.services[m.Service]; sc != nil {
		_, _, s.HoldsLease = sc.keeper.Held(c.config.Now())
		if state := sc.moves[m.Name]; state != nil {
			s.WaitingFor = state.waiting
		}
	}
	return s
}
