// Package provider defines the ports to the platform's services: a
// transactional table service, an object store, a rate-limited weight store
// and the list of VMs. Adapters implement them. Decisions depend on these
// interfaces only, so that another published protocol needs a new adapter and
// nothing else.
//
// All methods are safe for concurrent use. Every method honours the context's
// deadline.
package provider

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// MaxTransactionRows is the largest number of writes in one transaction.
const MaxTransactionRows = 100

var (
	// ErrNotFound is returned by Objects.Get for an absent object.
	ErrNotFound = errors.New("object not found")
	// ErrUnknown is returned when a write may or may not have taken effect:
	// the request was sent and no answer was received.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable is returned when the platform refused the call or the call
	// was not sent; it did not take effect.
	ErrUnavailable = errors.New("platform service unavailable")
)

// ConflictError lists the keys whose condition did not hold. Nothing was written.
type ConflictError struct {
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition failed for rows %s", strings.Join(e.Keys, ", "))
}

// Row is one row of the table service. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfVersion is the version the row must have; 0 requires it to be absent.
	IfVersion uint64 `json:"ifVersion"`
	// Unconditional writes whatever the row's version is.
	Unconditional bool `json:"unconditional,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row per key, in order; absent rows have version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies all writes or none. It returns *ConflictError,
	// ErrUnavailable (no effect) or ErrUnknown (may have taken effect).
	Commit(ctx context.Context, writes ...Write) error
	// List returns up to limit rows whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
}

// Objects is the object store. Objects are immutable: a name is written once,
// or again with the same content.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Weights is the rate-limited store that engines load weights from.
type Weights interface {
	// Reserve asks for bandwidth to load a version. A positive wait is the time
	// after which to ask again; nothing is reserved then.
	Reserve(ctx context.Context, version string, bytes int64) (wait time.Duration, err error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

const (
	// VMLive is a VM that runs.
	VMLive VMState = "live"
	// VMLeaving is a VM that is about to be stopped.
	VMLeaving VMState = "leaving"
)

// VMRole says what runs on a VM.
type VMRole string

const (
	// RoleEntry is a VM that runs marjoramd.
	RoleEntry VMRole = "entry"
	// RoleTarget is a VM that runs a target.
	RoleTarget VMRole = "target"
)

// VM is one entry of the platform's list. The list lags behind reality.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre"`
	Role       VMRole  `json:"role"`
	State      VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}
