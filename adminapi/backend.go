package adminapi

import (
	"context"
	"errors"
	"fmt"

	"github.com/marjoramflow/marjoramflow/object"
)

// ErrNoGeneration is returned by Backend.Generation for a generation that was
// never published or is no longer stored.
var ErrNoGeneration = errors.New("generation does not exist")

// GenerationConflictError is returned by Backend.Publish when another generation is
// current. Nothing was published.
type GenerationConflictError struct {
	// Current is the current generation.
	Current uint64
}

// Error implements error.
func (e *GenerationConflictError) Error() string {
	return fmt.Sprintf("generation %d is current", e.Current)
}

// Backend is the part of the daemon that Server calls. All methods are safe for
// concurrent use and return when the context is done. A call whose error wraps
// provider.ErrUnavailable had no effect; one whose error wraps
// provider.ErrOutcomeUnknown may have had one.
type Backend interface {
	// Current returns the configuration in force on this daemon, which may be
	// older than the newest one in the store. It does not call the store.
	// Generation 0 holds an empty set. If Digest is left empty, the server
	// computes it, which takes 20 ms for 7,800 targets.
	Current(ctx context.Context) (Config, error)
	// Generation returns the set of a generation, or ErrNoGeneration.
	Generation(ctx context.Context, generation uint64) (*object.Set, error)
	// Publish stores a checked set as generation base+1 and returns that number
	// if base is current in the store. Otherwise it returns *GenerationConflictError.
	// If the store's response is lost, Publish finds out whether the write took
	// effect before it returns.
	Publish(ctx context.Context, base uint64, set *object.Set, operator string) (uint64, error)
	// Ready returns nil when the daemon can serve requests, otherwise an error
	// with the reason.
	Ready(ctx context.Context) error

	// Daemons returns the state of all members, including this daemon.
	Daemons(ctx context.Context) ([]DaemonStatus, error)
	Moves(ctx context.Context) ([]MoveStatus, error)
	Targets(ctx context.Context) ([]TargetStatus, error)
	Tiers(ctx context.Context) ([]TierStatus, error)
	Accounts(ctx context.Context) ([]AccountStatus, error)
}
