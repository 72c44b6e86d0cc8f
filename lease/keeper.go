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

// ErrNotHeld is returned when the lease is not held. Nothing was sent.
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
	// Now is the monotonic clock; it defaults to time.Now.
	Now func() time.Time
	// Token returns a unique string; it defaults to random text.
	Token func() string
	// CallTimeout bounds one call to the table; it defaults to DefaultCallTimeout.
	CallTimeout time.Duration
}

// Keeper holds one lease for one process. All methods are safe for concurrent
// use; calls to the table are made one at a time, and Held never waits for them.
type Keeper struct {
	config Config
	calls  sync.Mutex // held during a call to the table

	mu    sync.Mutex
	state State
}

// NewKeeper returns a keeper that holds nothing yet.
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

// Held returns the fencing number and the time left while the lease is held.
func (k *Keeper) Held(now time.Time) (fence uint64, left time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Held(now)
}

// Observe reads the lease row and, in the same call, the rows of keys.
func (k *Keeper) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	k.calls.Lock()
	defer k.calls.Unlock()
	return k.read(ctx, keys...)
}

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

// Acquire takes the lease when it may be taken. It reports whether the lease is
// held afterwards; wait is the time after which to try again when it is not. The
// row must have been read before.
func (k *Keeper) Acquire(ctx context.Context) (held bool, wait time.Duration, err error) {
	k.calls.Lock()
	defer k.calls.Unlock()
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

// Renew extends the term.
func (k *Keeper) Renew(ctx context.Context) error {
	return k.Commit(ctx)
}

// Commit applies the writes in one transaction with a renewal of the lease, so
// that they take effect only if no other process has taken the lease. It returns
// ErrNotHeld without sending anything when the lease is not held, and
// provider.ErrUnknown when the outcome could not be read back.
func (k *Keeper) Commit(ctx context.Context, writes ...provider.Write) error {
	k.calls.Lock()
	defer k.calls.Unlock()
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

// Release gives the lease up. The term ends at once; an error only means that
// others may have to wait for the row to age.
func (k *Keeper) Release(ctx context.Context) error {
	k.calls.Lock()
	defer k.calls.Unlock()
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

// commit sends the writes, the lease row's first, and resolves the outcome by
// the token in the lease row.
func (k *Keeper) commit(ctx context.Context, token string, writes ...provider.Write) error {
	callCtx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	err := k.config.Table.Commit(callCtx, writes...)
	if err == nil {
		k.mu.Lock()
		k.state.Committed(k.config.Now(), token)
		k.mu.Unlock()
	}
	if errors.Is(err, provider.ErrUnavailable) {
		return fault.Wrap(err, "lease.commit", k.config.Key)
	}
	// The read learns the new version, and the outcome when the answer was lost.
	// After a known success a failed read only makes the next write conflict once.
	_, readErr := k.read(ctx)
	if err == nil {
		return nil
	}
	k.mu.Lock()
	ours := k.state.HasToken(token)
	k.mu.Unlock()
	if readErr == nil && ours {
		return nil
	}
	return fault.Wrap(err, "lease.commit", k.config.Key)
}
