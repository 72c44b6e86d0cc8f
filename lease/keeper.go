package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

// ErrNotHeld is returned when the lease is not held. Nothing was sent to the table.
var ErrNotHeld = errors.New("lease is not held")

// DefaultCallTimeout bounds one call to the table, so that a lost answer can be
// read back several times within one term.
const DefaultCallTimeout = time.Second

// Config sets up a Keeper.
type Config struct {
	Table provider.Table
	// Key is the lease's row.
	Key string
	// Self names this daemon.
	Self string
	// Terms defaults to DefaultTerms.
	Terms Terms
	// Now returns the time of a monotonic clock; it defaults to time.Now.
	Now func() time.Time
	// Token returns a unique string; it defaults to random text.
	Token func() string
	// CallTimeout bounds one call to the table; it defaults to DefaultCallTimeout.
	CallTimeout time.Duration
}

// Keeper acquires and renews one lease for one process. All methods are safe for
// concurrent use; calls to the table are made one at a time, and Held never waits
// for them.
type Keeper struct {
	config Config
	callMu sync.Mutex // held during a call to the table

	mu    sync.Mutex
	state State
}

// NewKeeper returns a keeper that does not hold the lease yet.
func NewKeeper(c Config) *Keeper {
	if c.Terms == (Terms{}) {
		c.Terms = DefaultTerms()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Token == nil {
		c.Token = rand.Text
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	return &Keeper{config: c, state: NewState(c.Key, c.Self, c.Terms)}
}

// Held returns the fencing number and the time left of the term. It reports false
// when the lease is not held at now.
func (k *Keeper) Held(now time.Time) (fence uint64, left time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Held(now)
}

// Read reads the lease row and, in the same call to the table, the rows of keys,
// which it returns in their order.
func (k *Keeper) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	k.callMu.Lock()
	defer k.callMu.Unlock()
	return k.read(ctx, keys...)
}

// read implements Read. The caller holds callMu.
func (k *Keeper) read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	all := append([]string{k.config.Key}, keys...)
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	rows, err := k.config.Table.Get(ctx, all...)
	if err != nil {
		return nil, fault.Wrap(err, "lease.read", k.config.Key)
	}
	if len(rows) != len(all) {
		return nil, fault.New("lease.read", k.config.Key, "the table returned a wrong number of rows")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.state.Observe(k.config.Now(), rows[0]); err != nil {
		return nil, fault.Wrap(err, "lease.decode", k.config.Key)
	}
	return rows[1:], nil
}

// Acquire takes the lease if it is claimable. It reports whether the lease is held
// afterwards. When it was not claimable, wait is the time after which to try again.
// Read must have been called before.
func (k *Keeper) Acquire(ctx context.Context) (held bool, wait time.Duration, err error) {
	k.callMu.Lock()
	defer k.callMu.Unlock()
	token := k.config.Token()
	k.mu.Lock()
	now := k.config.Now()
	if _, _, ok := k.state.Held(now); ok {
		k.mu.Unlock()
		return true, 0, nil
	}
	wait, ok := k.state.Claimable(now)
	if !ok {
		k.mu.Unlock()
		return false, wait, nil
	}
	write := k.state.Acquire(now, token)
	k.mu.Unlock()
	err = k.commit(ctx, token, write)
	_, _, held = k.Held(k.config.Now())
	return held, 0, err
}

// Renew extends the term. It returns the errors of Commit.
func (k *Keeper) Renew(ctx context.Context) error {
	return k.Commit(ctx)
}

// Commit applies the writes in one transaction with a renewal of the lease, so
// that they take effect only if no other process has taken the lease. It returns
// ErrNotHeld without sending anything when the lease is not held, and
// provider.ErrOutcomeUnknown when the outcome could not be read back.
func (k *Keeper) Commit(ctx context.Context, writes ...provider.Write) error {
	k.callMu.Lock()
	defer k.callMu.Unlock()
	token := k.config.Token()
	k.mu.Lock()
	now := k.config.Now()
	_, left, _ := k.state.Held(now)
	renewal, ok := k.state.Renew(now, token)
	k.mu.Unlock()
	if !ok {
		return ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return k.commit(ctx, token, append([]provider.Write{renewal}, writes...)...)
}

// Release gives the lease up. The term ends at once, also when an error is
// returned; others may then have to wait for the full duration of the lease.
func (k *Keeper) Release(ctx context.Context) error {
	k.callMu.Lock()
	defer k.callMu.Unlock()
	k.mu.Lock()
	write, ok := k.state.Release(k.config.Now(), k.config.Token())
	k.mu.Unlock()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	return fault.Wrap(k.config.Table.Commit(ctx, write), "lease.release", k.config.Key)
}

// commit sends the writes, the lease row's first. When the answer is lost, it
// determines the outcome by the token in the lease row. The caller holds callMu.
func (k *Keeper) commit(ctx context.Context, token string, writes ...provider.Write) error {
	callCtx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	err := k.config.Table.Commit(callCtx, writes...)
	if err == nil {
		k.mu.Lock()
		k.state.ObserveCommit(k.config.Now(), token)
		k.mu.Unlock()
	}
	if errors.Is(err, provider.ErrUnavailable) {
		return fault.Wrap(err, "lease.commit", k.config.Key)
	}
	// The read returns the row's new version, and the outcome when the answer was
	// lost. When the write is known to have succeeded, a failed read only makes
	// the next write conflict once.
	_, readErr := k.read(ctx)
	if err == nil {
		return nil
	}
	k.mu.Lock()
	tokenInRow := k.state.HasToken(token)
	k.mu.Unlock()
	if readErr == nil && tokenInRow {
		return nil
	}
	return fault.Wrap(err, "lease.commit", k.config.Key)
}
