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
	// Load has the target load the version and reports whether it is loaded; it is
	// called again until it is. Nothing may be sent after the context's deadline,
	// which is at most the end of the lease: adapters set it on the connection.
	Load(ctx context.Context, order LoadVersion) (loaded bool, err error)
}

// Notifier tells all peers. Calls must not block.
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
	// Shares gets all rows and cuts that the controller learns of.
	Shares *Shares
	// Policy defaults to the Machine with half of the test's error probability;
	// the data centres' aggregators share the other half.
	Policy Policy
	// Options are the times of the default policy; nil takes DefaultOptions.
	Options *Options
	// IsCandidate says whether this daemon competes for the lease of a service. It
	// bounds the reads of the store when there are many daemons; nil is always.
	IsCandidate func(service string) bool
	// Terms of the leases; they default to lease.DefaultTerms.
	Terms lease.Terms
	// Now and Deadline are the clock; they default to time.Now and
	// context.WithDeadline.
	Now          func() time.Time
	WithDeadline func(context.Context, time.Time) (context.Context, context.CancelFunc)
	// Spawn runs one order beside the controller's goroutine; it defaults to a new
	// goroutine.
	Spawn func(func())
	// Hook, if set, is called before each step that a pause may precede.
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
	// watchEvery is how often a candidate looks at a lease that it does not hold.
	watchEvery = time.Second
	// restEvery is how often it looks when no move needs a holder.
	restEvery = 5 * time.Second
	// renewBelow is the part of the term below which the lease is renewed.
	renewBelow = 0.6
	// orderRetry is the pause before an order is repeated.
	orderRetry = time.Second
	// parallelOrders bounds the orders on their way.
	parallelOrders = 16
	// releaseTimeout bounds giving up the leases at a stop.
	releaseTimeout = time.Second
)

// Controller executes moves under leases. Run and Tick must not be called
// concurrently; all other methods are safe for concurrent use.
type Controller struct {
	config Config
	wake   chan struct{}
	slots  chan struct{}

	mu     sync.Mutex
	set    *object.Set
	groups map[string]*group
}

// NewController returns a controller without a configuration.
func NewController(c Config) *Controller {
	if c.Shares == nil {
		c.Shares = NewShares()
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
		c.Policy = &StateMachine{Options: options, Evaluator: NewTest().SplitAmong(2)}
	}
	return &Controller{
		config: c,
		wake:   make(chan struct{}, 1),
		slots:  make(chan struct{}, parallelOrders),
		groups: make(map[string]*group),
	}
}

// Run works until the context ends, then gives up its leases.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.release()
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Reset(c.Tick(ctx))
	}
}

// Tick does what is due and returns how long to wait. It is called by Run.
func (c *Controller) Tick(ctx context.Context) time.Duration {
	pause := restEvery
	for _, g := range c.due() {
		pause = min(pause, g.tick(ctx))
	}
	return pause
}

// due returns the groups of all services with moves, in name order.
func (c *Controller) due() []*group {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*group
	for name, g := range c.groups {
		if c.config.IsCandidate == nil || c.config.IsCandidate(name) {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *group) int {
		if a.service < b.service {
			return -1
		}
		return 1
	})
	return out
}

// SetConfig takes in the configuration in force. The set must not be changed
// afterwards.
func (c *Controller) SetConfig(set *object.Set) {
	c.config.Shares.SetConfig(set)
	c.mu.Lock()
	c.set = set
	for i := range set.Moves {
		service := set.Moves[i].Service
		if c.groups[service] == nil {
			c.groups[service] = newGroup(c, service)
		}
	}
	for _, g := range c.groups {
		g.setConfig(set)
	}
	c.mu.Unlock()
	c.signal()
}

// AddEvidence takes in evidence for moves that this daemon holds; other evidence
// is dropped. It cuts a bad version by itself while Run waits for the store.
func (c *Controller) AddEvidence(e *Evidence) {
	for _, cut := range c.addEvidence(e) {
		c.Cut(cut.Move, cut.Attempt, cut.Reason)
	}
}

func (c *Controller) addEvidence(e *Evidence) []CutShare {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cuts []CutShare
	for _, g := range c.groups {
		if m := g.moves[e.Move]; m != nil {
			g.addEvidence(m, e)
			cuts = append(cuts, g.cuts(m)...)
		}
	}
	return cuts
}

// NotifyCut sets the share of an attempt to zero for good and tells the peers unless
// the cut was known. The next tick of the holder records it.
func (c *Controller) Cut(move string, attempt int, reason string) {
	if !c.config.Shares.ApplyCut(move, attempt, reason) {
		return
	}
	c.config.Notifier.NotifyCut(move, attempt, reason)
	c.signal()
}

func (c *Controller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// release gives up all leases, so that another daemon need not wait.
func (c *Controller) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	c.mu.Lock()
	groups := make([]*group, 0, len(c.groups))
	for _, g := range c.groups {
		groups = append(groups, g)
	}
	c.mu.Unlock()
	for _, g := range groups {
		// An error leaves the lease to expire, which is what a crash does.
		_ = g.keeper.Release(ctx)
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
	// Held says that this daemon holds the lease.
	Held   bool   `json:"held"`
	Reason string `json:"reason,omitempty"`
	// NotifyCut is the reason of a cut that this daemon knows of.
	Cut string `json:"cut,omitempty"`
	// Waiting says what the holder waits for, or which call failed last.
	Waiting string `json:"waiting,omitempty"`
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

func (c *Controller) status(m *object.Move) MoveStatus {
	s := MoveStatus{
		Move: m.Name, Service: m.Service, From: m.From, To: m.To,
		Attempt: m.Attempt, Phase: Pending, Deadline: m.Deadline,
	}
	if row, _, ok := c.config.Shares.Row(m.Name); ok {
		s.Attempt, s.Phase, s.Share, s.Deadline = row.Attempt, row.Phase, row.Share, row.Deadline
		s.Holder, s.Fence, s.Reason = row.Holder, row.Fence, row.Reason
	}
	reason, cut := c.config.Shares.CutReason(m.Name, s.Attempt)
	s.Cut = reason
	if s.Phase != Done && (cut || !c.config.Now().Before(s.Deadline)) {
		// The row keeps its share until somebody can write the reversal; requests no
		// longer go by it.
		s.Share = 0
	}
	if g := c.groups[m.Service]; g != nil {
		_, _, s.Held = g.keeper.Held(c.config.Now())
		if state := g.moves[m.Name]; state != nil {
			s.Waiting = state.waiting
		}
	}
	return s
}
