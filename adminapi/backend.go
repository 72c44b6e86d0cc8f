package adminapi

import (
	"context"
	"errors"
	"fmt"

	"github.com/marjoramflow/marjoramflow/object"
)

// ErrNoGeneration is returned by Backend.Generation for a generation that was
// never published or is no longer kept.
var ErrNoGeneration = errors.New("generation does not exist")

// GenerationConflict is returned by Backend.Publish when another generation is
// current. Nothing was published.
type GenerationConflict struct {
	// Current is the generation that is current.
	Current uint64
}

// Error implements error.
func (e *GenerationConflict) Error() string {
	return fmt.Sprintf("generation %d is current", e.Current)
}

// Backend is what the API needs from the daemon. All methods are safe for
// concurrent use and honour the context. Errors that wrap
// platform.ErrUnavailable had no effect; errors that wrap platform.ErrUnknown
// may have had one.
type Backend interface {
	// Current returns the configuration in force on this daemon, which may lag
	// behind the store. It needs no store. Generation 0 holds an empty set. An
	// empty Digest is computed by the server, at 20 ms for 7,800 targets.
	Current(ctx context.Context) (Config, error)
	// Generation returns the set of a generation, or ErrNoGeneration.
	Generation(ctx context.Context, generation uint64) (*object.Set, error)
	// Publish makes a checked set generation base+1 if base is current in the
	// store, and returns its number. Otherwise it returns *GenerationConflict. A
	// lost answer of the store is resolved before it returns.
	Publish(ctx context.Context, base uint64, set *object.Set, operator string) (uint64, error)
	// Ready returns nil when the daemon serves requests, or the reason why not.
	Ready(ctx context.Context) error

	// Daemons returns all members, this daemon included.
	Daemons(ctx context.Context) ([]DaemonStatus, error)
	Moves(ctx context.Context) ([]MoveStatus, error)
	Targets(ctx context.Context) ([]TargetStatus, error)
	Tiers(ctx context.Context) ([]TierStatus, error)
	Accounts(ctx context.Context) ([]AccountStatus, error)
}
