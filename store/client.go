package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

// Default limits of one daemon.
const (
	defaultReadsPerSecond  = 20
	defaultWritesPerSecond = 10
	defaultTimeout         = 2 * time.Second
	defaultStartJitter     = 500 * time.Millisecond
	// burstSeconds is the time during which unused budget accumulates: it is the
	// burst size divided by the rate.
	burstSeconds = 2
)

var (
	// ErrBudget is returned when the budget does not allow the call within the
	// timeout or before its context ends. It wraps provider.ErrUnavailable.
	ErrBudget = fmt.Errorf("the daemon's budget of store calls is used up: %w", provider.ErrUnavailable)
	// ErrBreakerOpen is returned while the circuit breaker of the service is open.
	// It wraps provider.ErrUnavailable.
	ErrBreakerOpen = fmt.Errorf("the service did not answer recent calls: %w", provider.ErrUnavailable)
	// ErrNoAnswer is returned for a read that got no usable answer within the
	// timeout. It wraps provider.ErrUnavailable.
	ErrNoAnswer = fmt.Errorf("no answer within the timeout: %w", provider.ErrUnavailable)
)

// Limits bound the calls of one daemon. Zero values are replaced by defaults.
type Limits struct {
	// ReadsPerSecond and WritesPerSecond apply to the table service and the object
	// store together. A transaction counts as one write.
	ReadsPerSecond, WritesPerSecond float64
	// Timeout bounds one call, and separately the wait for the budget before it.
	Timeout time.Duration
	// StartJitter bounds the random time after New during which no call is sent.
	StartJitter time.Duration
}

// Config configures a Client.
type Config struct {
	Table   provider.Table
	Objects provider.Objects
	Limits  Limits
	Logger  *eventlog.Logger
}

// Stats are totals since the client was created.
type Stats struct {
	// Reads and Writes are calls that were sent.
	Reads, Writes uint64
	// Failures are calls without a usable answer. Timeouts are the failures that
	// exceeded the timeout.
	Failures, Timeouts uint64
	// RefusedBudget and RefusedBreaker are calls that were not sent because of the
	// budget and of an open breaker.
	RefusedBudget, RefusedBreaker uint64
	// Unknown are writes whose answer was lost. ResolvedApplied are the times that
	// CommitWithToken found by reading back that the write had taken effect,
	// ResolvedRepeated the times that it found no effect yet and committed again.
	Unknown, ResolvedApplied, ResolvedRepeated uint64
	// BreakerOpened is the number of times that a breaker has opened.
	BreakerOpened uint64
}

type counters struct {
	reads, writes, failures, timeouts          atomic.Uint64
	refusedBudget, refusedBreaker              atomic.Uint64
	unknown, resolvedApplied, resolvedRepeated atomic.Uint64
}

// Client implements provider.Table; Objects returns its provider.Objects. It is safe
// for concurrent use.
type Client struct {
	table   provider.Table
	objects provider.Objects
	logger  *eventlog.Logger
	timeout time.Duration
	// notBefore is the time before which no call is sent.
	notBefore time.Time

	readBudget, writeBudget     *rate.Limiter
	tableBreaker, objectBreaker breaker
	stats                       counters
}

// New returns a client. It sends no call during a random time of at most
// Limits.StartJitter.
func New(config Config) *Client {
	limits := config.Limits.withDefaults()
	logger := config.Logger
	if logger == nil {
		logger = eventlog.Discard()
	}
	return &Client{
		table:       config.Table,
		objects:     config.Objects,
		logger:      logger,
		timeout:     limits.Timeout,
		notBefore:   time.Now().Add(rand.N(limits.StartJitter)),
		readBudget:  newLimiter(limits.ReadsPerSecond),
		writeBudget: newLimiter(limits.WritesPerSecond),
	}
}

func (l Limits) withDefaults() Limits {
	if l.ReadsPerSecond == 0 {
		l.ReadsPerSecond = defaultReadsPerSecond
	}
	if l.WritesPerSecond == 0 {
		l.WritesPerSecond = defaultWritesPerSecond
	}
	if l.Timeout == 0 {
		l.Timeout = defaultTimeout
	}
	if l.StartJitter == 0 {
		l.StartJitter = defaultStartJitter
	}
	return l
}

// newLimiter returns a budget that starts with one call instead of the whole burst,
// so that daemons that start together do not spend their bursts at the same time.
func newLimiter(perSecond float64) *rate.Limiter {
	burst := max(1, int(perSecond*burstSeconds))
	l := rate.NewLimiter(rate.Limit(perSecond), burst)
	l.AllowN(time.Now(), burst-1)
	return l
}

// Get implements provider.Table.
func (c *Client) Get(ctx context.Context, keys ...string) (rows []provider.Row, err error) {
	err = c.read(ctx, &c.tableBreaker, "table.get", func(ctx context.Context) error {
		rows, err = c.table.Get(ctx, keys...)
		return err
	})
	return rows, err
}

// List implements provider.Table.
func (c *Client) List(ctx context.Context, prefix string, limit int) (rows []provider.Row, err error) {
	err = c.read(ctx, &c.tableBreaker, "table.list", func(ctx context.Context) error {
		rows, err = c.table.List(ctx, prefix, limit)
		return err
	})
	return rows, err
}

// Commit implements provider.Table. It makes a single attempt.
func (c *Client) Commit(ctx context.Context, writes ...provider.Write) error {
	return c.write(ctx, &c.tableBreaker, "table.commit", func(ctx context.Context) error {
		return c.table.Commit(ctx, writes...)
	})
}

// Objects returns the client's provider.Objects, which uses the same budget.
func (c *Client) Objects() provider.Objects {
	return objectView{c}
}

type objectView struct{ client *Client }

// Put implements provider.Objects.
func (v objectView) Put(ctx context.Context, name string, data []byte) error {
	c := v.client
	return c.write(ctx, &c.objectBreaker, "object.put", func(ctx context.Context) error {
		return c.objects.Put(ctx, name, data)
	})
}

// Get implements provider.Objects.
func (v objectView) Get(ctx context.Context, name string) (data []byte, err error) {
	c := v.client
	err = c.read(ctx, &c.objectBreaker, "object.get", func(ctx context.Context) error {
		data, err = c.objects.Get(ctx, name)
		return err
	})
	return data, err
}

// Stats returns the totals.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:            c.stats.reads.Load(),
		Writes:           c.stats.writes.Load(),
		Failures:         c.stats.failures.Load(),
		Timeouts:         c.stats.timeouts.Load(),
		RefusedBudget:    c.stats.refusedBudget.Load(),
		RefusedBreaker:   c.stats.refusedBreaker.Load(),
		Unknown:          c.stats.unknown.Load(),
		ResolvedApplied:  c.stats.resolvedApplied.Load(),
		ResolvedRepeated: c.stats.resolvedRepeated.Load(),
		BreakerOpened:    c.tableBreaker.openingCount() + c.objectBreaker.openingCount(),
	}
}

// read makes one read. Without an answer it returns an error that wraps ErrNoAnswer.
func (c *Client) read(ctx context.Context, b *breaker, step string, call func(context.Context) error) error {
	err := c.do(ctx, b, c.readBudget, &c.stats.reads, step, call)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, provider.ErrOutcomeUnknown) {
		err = fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return fault.Wrap(err, step, "")
}

// write makes one write. It returns an error that wraps provider.ErrOutcomeUnknown when the
// write may have taken effect.
func (c *Client) write(ctx context.Context, b *breaker, step string, call func(context.Context) error) error {
	err := c.do(ctx, b, c.writeBudget, &c.stats.writes, step, call)
	if err != nil && !hadNoEffect(err) {
		c.stats.unknown.Add(1)
		if !errors.Is(err, provider.ErrOutcomeUnknown) {
			err = errors.Join(provider.ErrOutcomeUnknown, err)
		}
	}
	return fault.Wrap(err, step, "")
}

// do makes one call if the budget and the breaker allow it, bounded by the timeout,
// and records the result in the breaker. It adds the sent call to sentCounter.
func (c *Client) do(ctx context.Context, b *breaker, budget *rate.Limiter, sentCounter *atomic.Uint64, step string, call func(context.Context) error) error {
	if err := c.admit(ctx, b, budget); err != nil {
		return err
	}
	sentCounter.Add(1)
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := call(callCtx)
	switch {
	case err == nil || isServiceAnswer(err):
		b.recordSuccess()
	case ctx.Err() != nil:
		// The caller gave up, which says nothing about the state of the service.
		b.cancelProbe()
	default:
		c.stats.failures.Add(1)
		if callCtx.Err() != nil {
			c.stats.timeouts.Add(1)
		}
		if b.recordFailure(time.Now()) {
			c.logger.EmitError(eventlog.PlatformUnavailable, fault.Wrap(err, step, ""), nil)
		}
	}
	return err
}

// admit waits for the start jitter and the budget. It checks the breaker before and
// after the wait for the budget: calls that the breaker refuses must not use up the
// budget, and calls that waited must not be sent to a service that failed meanwhile.
// It returns ErrBreakerOpen, ErrBudget, or provider.ErrUnavailable when ctx ends.
func (c *Client) admit(ctx context.Context, b *breaker, budget *rate.Limiter) error {
	if err := c.waitForStart(ctx); err != nil {
		return err
	}
	if b.wouldRefuse(time.Now()) {
		c.stats.refusedBreaker.Add(1)
		return ErrBreakerOpen
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := budget.Wait(waitCtx); err != nil {
		c.stats.refusedBudget.Add(1)
		return fmt.Errorf("%w: %w", ErrBudget, err)
	}
	if !b.allow(time.Now()) {
		c.stats.refusedBreaker.Add(1)
		return ErrBreakerOpen
	}
	return nil
}

// waitForStart waits until notBefore. It returns an error that wraps
// provider.ErrUnavailable when ctx ends first.
func (c *Client) waitForStart(ctx context.Context) error {
	wait := time.Until(c.notBefore)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Join(provider.ErrUnavailable, ctx.Err())
	}
}

// isServiceAnswer reports whether an error is an answer of a working service: a
// conflict or an absent object.
func isServiceAnswer(err error) bool {
	var conflict *provider.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, provider.ErrNotFound)
}

// hadNoEffect reports whether a write that returned err certainly changed nothing.
func hadNoEffect(err error) bool {
	return isServiceAnswer(err) || errors.Is(err, provider.ErrUnavailable) && !errors.Is(err, provider.ErrOutcomeUnknown)
}
