package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rendezvous"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// orderedMoveOptions returns the times of moves that an operator's order started. They are
// short: an order allows about ten seconds for a move, and the new version must not get
// more than a tenth of the requests until shortly before the deadline.
func orderedMoveOptions() *rollout.Options {
	options := rollout.DefaultOptions()
	options.DoneLead = 400 * time.Millisecond
	options.WriteAllowance = 300 * time.Millisecond
	options.TakeoverAllowance = 300 * time.Millisecond
	options.MinimumSoak = 700 * time.Millisecond
	// The move stays at its first step for as long as the deadline permits.
	options.MinimumDwell = time.Hour
	return &options
}

const (
	// deadlineMargin is the time between the deadline of a move and the end of the time
	// that its order allows. It covers the difference between the clocks of two VMs and the
	// time of a write to the table.
	deadlineMargin = 500 * time.Millisecond
	// tableRetryPause is the pause after a failed call to the table.
	tableRetryPause = 300 * time.Millisecond
	// tableCallTimeout bounds the recording of a deadline, and each report of a phase.
	tableCallTimeout = time.Second
	// maxRewriteDelay spreads the daemons that look whether a restored table has lost the rows of
	// orders.
	maxRewriteDelay = 500 * time.Millisecond
	// othersTime is the time for which a daemon that has just started leaves it to the others to
	// record an order. It is longer than maxRewriteDelay and the call after it.
	othersTime = 900 * time.Millisecond
	// phaseReportInterval is the time between checks for changed phases of moves.
	phaseReportInterval = 250 * time.Millisecond
)

// orderHandlerConfig holds the parts of an orderHandler. All are required.
type orderHandlerConfig struct {
	self    string
	table   provider.Table
	setMove func(catalog.Move)
	// registeredVersions returns the versions of a service's targets.
	registeredVersions func(service string) []string
	// moveStatus returns the state of all moves, and liveAll the live daemons.
	moveStatus func() []rollout.MoveStatus
	liveAll    func() []string
	// writeStatus reports the phase of an order to the operator.
	writeStatus func(ctx context.Context, order catalog.Order, phase rollout.Phase) error
	logger      *eventlog.Logger
}

// orderHandler turns orders of the platform's operator into moves, and reports the phases of
// the moves to the operator. The first daemon to handle an order records the move's deadline in
// the table, and which versions earlier orders left withdrawn, so that all daemons use the same,
// also those that start later. Its methods are safe for concurrent use.
type orderHandler struct {
	orderHandlerConfig

	mu sync.Mutex
	// ctx is the context of run, nil before it. Orders are in queued until then.
	ctx    context.Context
	queued []catalog.Order
	// runSince is when run was called.
	runSince time.Time
	// byService holds the last order of each service, and rows its row, once it is agreed.
	byService map[string]catalog.Order
	rows      map[string]*orderRow
	// reportedPhases holds the last phase that was reported to the operator, by move.
	reportedPhases map[string]rollout.Phase
	tasks          sync.WaitGroup
}

func newOrderHandler(config orderHandlerConfig) *orderHandler {
	return &orderHandler{
		orderHandlerConfig: config,
		byService:          make(map[string]catalog.Order),
		rows:               make(map[string]*orderRow),
		reportedPhases:     make(map[string]rollout.Phase),
	}
}

// accept starts the move of an order. Orders accepted before run is called are queued until
// then.
func (h *orderHandler) accept(order catalog.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil {
		h.queued = append(h.queued, order)
		return
	}
	h.startLocked(order)
}

// startLocked determines the move of an order in the background. An order that equals
// the last one of its service, or is older, is ignored. The caller holds mu.
func (h *orderHandler) startLocked(order catalog.Order) {
	last := h.byService[order.Service]
	isOlder := provider.Era(last.Revision) == provider.Era(order.Revision) && last.Revision > order.Revision
	if last == order || isOlder {
		return
	}
	if row := h.rows[order.Service]; row != nil && !row.isOf(order) && row.hasReplaced(order) {
		return
	}
	h.byService[order.Service] = order
	receivedAt := time.Now()
	h.tasks.Go(func() { h.agreeMove(h.ctx, order, receivedAt) })
}

// tableRestored records all orders again that the restored table may have lost, and reports the
// phases of their moves to the operator again. It does not block.
func (h *orderHandler) tableRestored() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.reportedPhases)
	if h.ctx == nil {
		return
	}
	receivedAt := time.Now()
	for _, order := range h.byService {
		h.tasks.Go(func() {
			// Most daemons find that another one has written the row.
			sleep(h.ctx, rand.N(maxRewriteDelay))
			h.agreeMove(h.ctx, order, receivedAt)
		})
	}
}

// knownRow returns the row of a service's last order, or nil if none was agreed yet.
func (h *orderHandler) knownRow(service string) *orderRow {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rows[service]
}

// isDone reports whether this daemon knows that a move was done.
func (h *orderHandler) isDone(move string) bool {
	if h.moveStatus == nil {
		return false
	}
	return slices.ContainsFunc(h.moveStatus(), func(s rollout.MoveStatus) bool {
		return s.Move == move && s.Phase == rollout.Done && s.CutReason == ""
	})
}

// setAgreed sets the move of an order, unless a newer order of its service was accepted since.
func (h *orderHandler) setAgreed(order catalog.Order, row *orderRow) {
	h.mu.Lock()
	current := h.byService[order.Service] == order
	if current {
		h.rows[order.Service] = row
	}
	h.mu.Unlock()
	if current {
		h.setMove(row.move(order))
	}
}

// agreeMove records an order, or reads what another daemon recorded of it, and sets the move. It
// retries until the table answers, a newer order is recorded or the context ends.
func (h *orderHandler) agreeMove(ctx context.Context, order catalog.Order, receivedAt time.Time) {
	for ctx.Err() == nil {
		row, err := h.agreeOrder(ctx, order, receivedAt.Add(order.MaxDuration-deadlineMargin))
		if errors.Is(err, errOrderReplaced) {
			return
		}
		if errors.Is(err, errOthersFirst) {
			sleep(ctx, h.othersFirst())
			continue
		}
		if err == nil {
			h.logger.Emit(eventlog.OrderTaken, eventlog.Fields{"service": order.Service, "to": order.To, "move": row.Move, "deadline": row.Deadline, "withdrawn": row.Withdrawn})
			h.setAgreed(order, row)
			return
		}
		h.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
		sleep(ctx, tableRetryPause)
	}
}

// run starts the queued orders, and reports the phases of the moves for which this daemon is
// the reporter until the context ends. It returns nil.
func (h *orderHandler) run(ctx context.Context) error {
	h.mu.Lock()
	h.ctx, h.runSince = ctx, time.Now()
	for _, order := range h.queued {
		h.startLocked(order)
	}
	h.queued = nil
	h.mu.Unlock()
	for ctx.Err() == nil {
		sleep(ctx, phaseReportInterval)
		h.reportPhases(ctx)
	}
	h.tasks.Wait()
	return nil
}

// reportPhases reports each changed phase of the orders' moves to the operator, if this
// daemon is the reporter. A failed report is repeated in the next call.
func (h *orderHandler) reportPhases(ctx context.Context) {
	for _, status := range h.moveStatus() {
		h.mu.Lock()
		order, known := h.byService[status.Service]
		name := order.MoveName()
		if row := h.rows[status.Service]; row != nil && row.isOf(order) {
			name = row.Move
		}
		phase := h.reportablePhaseLocked(&status)
		reported := h.reportedPhases[status.Move] == phase
		h.mu.Unlock()
		// The move may still be that of an earlier order.
		current := known && name == status.Move
		if !current || reported || status.MayCross || phase == rollout.Pending || !h.isReporter(&status) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, tableCallTimeout)
		err := h.writeStatus(callCtx, order, phase)
		cancel()
		if err != nil {
			h.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
			continue
		}
		h.mu.Lock()
		h.reportedPhases[status.Move] = phase
		h.mu.Unlock()
	}
}

// reportablePhaseLocked returns the phase of a move as the operator is told it. If a cut crossed
// with the end of a move, the old version serves, and its targets must not be stopped: the move
// counts as reversed, unless the operator may have been told otherwise. The caller holds mu.
func (h *orderHandler) reportablePhaseLocked(status *rollout.MoveStatus) rollout.Phase {
	cutInTime := status.CutReason != "" && status.Holder == h.self && h.reportedPhases[status.Move] != rollout.Done
	if status.Phase == rollout.Done && cutInTime {
		return rollout.Reversed
	}
	return status.Phase
}

// isReporter reports whether this daemon tells the operator the phase of a move: while the
// move goes on, the holder of its lease; once it has ended, the daemon that recorded the end,
// which may have released the lease since, or another live one in its place.
func (h *orderHandler) isReporter(status *rollout.MoveStatus) bool {
	if !status.Phase.Final() {
		return status.HoldsLease
	}
	live := h.liveAll()
	if slices.Contains(live, status.Holder) {
		return status.Holder == h.self
	}
	return rendezvous.Owner(status.Move, live) == h.self
}

// preloadedVersions replaces the commands that make targets load versions, for targets that
// start with their version loaded. It implements rollout.Loader and provider.Weights.
type preloadedVersions struct{}

// Load implements rollout.Loader: every version is loaded.
func (preloadedVersions) Load(context.Context, rollout.LoadVersion) (bool, error) { return true, nil }

// Reserve implements provider.Weights: nothing is transferred, so nothing is reserved.
func (preloadedVersions) Reserve(context.Context, string, int64) (time.Duration, error) {
	return 0, nil
}
