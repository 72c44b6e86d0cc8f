package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/moves"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// orderOptions are the times of moves that were ordered. They are short: orders
// give about ten seconds, and the new version must not get more than a tenth of
// the requests until shortly before their end.
func orderOptions() *rollout.Options {
	o := rollout.DefaultOptions()
	o.DoneLead = 400 * time.Millisecond
	o.WriteAllowance = 300 * time.Millisecond
	o.TakeoverAllowance = 300 * time.Millisecond
	// The first step lasts as long as the time permits.
	o.MinimumDwell = time.Hour
	return &o
}

const (
	// orderLead is kept between the end of a move and the time of its order, for the
	// clocks of two VMs and the record.
	orderLead = 500 * time.Millisecond
	// orderRetryPause is the pause after a failed call of the table.
	orderRetryPause = 300 * time.Millisecond
	// orderCallTimeout bounds one call of the table.
	orderCallTimeout = time.Second
	// statusInterval is how often the phases of moves are looked at.
	statusInterval = 250 * time.Millisecond
)

// ordersConfig holds the parts of orders. All are required.
type ordersConfig struct {
	table   provider.Table
	moves   *moves.Manager
	setMove func(catalog.Move)
	// writeStatus tells the operator the phase of an order.
	writeStatus func(ctx context.Context, order catalog.Order, phase rollout.Phase) error
	logger      *eventlog.Logger
}

// orders turns orders of the platform's operator into moves, and reports their
// phases. The time by which a move ends is recorded once in the table, so that
// daemons that start later agree on it. Its methods are safe for concurrent use.
type orders struct {
	ordersConfig

	mu      sync.Mutex
	ctx     context.Context
	waiting []catalog.Order
	known   map[string]catalog.Order
	// told are the phases that the operator was told, by move.
	told  map[string]rollout.Phase
	tasks sync.WaitGroup
}

func newOrders(config ordersConfig) *orders {
	return &orders{ordersConfig: config, known: make(map[string]catalog.Order), told: make(map[string]rollout.Phase)}
}

// take accepts an order. Orders before run wait for it.
func (o *orders) take(order catalog.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx == nil {
		o.waiting = append(o.waiting, order)
		return
	}
	o.start(order)
}

// start agrees on the deadline of an order in the background. The caller holds the
// lock.
func (o *orders) start(order catalog.Order) {
	if o.known[order.Service] == order {
		return
	}
	o.known[order.Service] = order
	seen := time.Now()
	o.tasks.Go(func() { o.agree(o.ctx, order, seen) })
}

// agree records the deadline of an order, or reads the one that another daemon
// recorded, until the table answers.
func (o *orders) agree(ctx context.Context, order catalog.Order, seen time.Time) {
	for ctx.Err() == nil {
		deadline, err := o.deadline(ctx, order, seen.Add(order.MaxDuration-orderLead))
		if err == nil {
			o.logger.Emit(eventlog.OrderTaken, eventlog.Fields{"service": order.Service, "to": order.To, "deadline": deadline})
			o.setMove(catalog.Move{Order: order, Deadline: deadline})
			return
		}
		o.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
		sleep(ctx, orderRetryPause)
	}
}

// orderRow is the row of an order.
type orderRow struct {
	Deadline time.Time `json:"deadline"`
}

func (o *orders) deadline(ctx context.Context, order catalog.Order, proposed time.Time) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	key := "orders/" + order.Service + "/" + order.To
	value, err := json.Marshal(orderRow{Deadline: proposed.Round(0).UTC()})
	if err != nil {
		return time.Time{}, fault.Wrap(err, "orders.encode", key)
	}
	err = o.table.Commit(ctx, provider.Write{Key: key, Value: value})
	var conflict *provider.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return time.Time{}, fault.Wrap(err, "orders.record", key)
	}
	rows, err := o.table.Get(ctx, key)
	if err != nil {
		return time.Time{}, fault.Wrap(err, "orders.read", key)
	}
	var row orderRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return time.Time{}, fault.Wrap(err, "orders.decode", key)
	}
	return row.Deadline, nil
}

// run reports the phases of the moves that this daemon holds until the context
// ends.
func (o *orders) run(ctx context.Context) error {
	o.mu.Lock()
	o.ctx = ctx
	for _, order := range o.waiting {
		o.start(order)
	}
	o.waiting = nil
	o.mu.Unlock()
	for ctx.Err() == nil {
		sleep(ctx, statusInterval)
		o.report(ctx)
	}
	o.tasks.Wait()
	return nil
}

func (o *orders) report(ctx context.Context) {
	for _, status := range o.moves.Status() {
		o.mu.Lock()
		order, known := o.known[status.Service]
		told := o.told[status.Move] == status.Phase
		o.mu.Unlock()
		if !known || told || !status.Held || status.Phase == rollout.Pending {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, orderCallTimeout)
		err := o.writeStatus(callCtx, order, status.Phase)
		cancel()
		if err != nil {
			o.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
			continue
		}
		o.mu.Lock()
		o.told[status.Move] = status.Phase
		o.mu.Unlock()
	}
}

// loadedVersions stands in for orders to targets that start with their version.
type loadedVersions struct{}

// Load implements rollout.Orders.
func (loadedVersions) Load(context.Context, rollout.LoadVersion) (bool, error) { return true, nil }

// Reserve implements provider.Weights: nothing has to be loaded.
func (loadedVersions) Reserve(context.Context, string, int64) (time.Duration, error) { return 0, nil }
