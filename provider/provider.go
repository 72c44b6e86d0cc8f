// Package provider defines the interfaces to the platform's services: a
// transactional table service, an object store, a rate-limited weight store
// and the list of VMs. Adapters implement them. The scheduling code depends only
// on these interfaces, so that another platform protocol needs only a new adapter.
//
// All methods are safe for concurrent use and honour the context's deadline.
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
	// ErrOutcomeUnknown is returned when the request was sent and no usable answer was
	// received: a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable is returned when the platform refused the call or the call
	// was not sent: a write has not taken effect.
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
	// Era is the era of the store that the row was read in, also if it is absent.
	Era uint64 `json:"era,omitempty"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfVersion is the version the row must have; 0 requires it to be absent.
	IfVersion uint64 `json:"ifVersion"`
	// Unconditional applies the write regardless of the row's version.
	Unconditional bool `json:"unconditional,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row per key, in order; absent rows have version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies all writes or none. It accepts at most MaxTransactionRows
	// writes. It returns *ConflictError or ErrUnavailable when nothing was
	// written, and ErrOutcomeUnknown when the writes may have taken effect.
	Commit(ctx context.Context, writes ...Write) error
	// List returns up to limit rows whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
}

// Objects is the object store. Objects are immutable: a name may be written again
// only with the same content.
type Objects interface {
	// Put stores an object.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the content of an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Weights is the rate-limited store that engines load weights from.
type Weights interface {
	// Reserve reserves bandwidth to load the given number of bytes of a version.
	// When wait is positive, nothing was reserved, and the caller may ask again
	// after that time.
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

// VMRole is the kind of process that runs on a VM.
type VMRole string

const (
	// RoleEntry is a VM that runs marjoramd.
	RoleEntry VMRole = "entry"
	// RoleTarget is a VM that runs a target.
	RoleTarget VMRole = "target"
)

// VM is one VM in the platform's list. The list may be out of date.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre"`
	Role       VMRole  `json:"role"`
	State      VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// List returns all VMs of the list.
	List(ctx context.Context) ([]VM, error)
}
