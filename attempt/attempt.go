// Package attempt names the outcomes of one try to run a request on a target.
// Adapters to targets return *Error; the retry policy decides from its kind
// whether the request may run elsewhere and what the caller is told.
package attempt

import (
	"errors"
	"fmt"
)

// Kind classifies how an attempt failed.
type Kind int

const (
	// NotSent means that no byte of the request can have reached the target.
	NotSent Kind = iota + 1
	// MaybeSent means that the request may have reached the target and no answer came.
	MaybeSent
	// Refused means that the target answered with an error status before it ran the request.
	Refused
	// Rejected means that the target found the request itself at fault and did not
	// run it; another target would answer the same.
	Rejected
	// Failed means that the target answered with an error status after it may have run the request.
	Failed
	// Cut means that the answer ended early.
	Cut
	// Stalled means that the connection made no progress within its timeout.
	Stalled
	// Canceled means that the caller or the scheduler stopped the attempt.
	Canceled
)

var kindNames = map[Kind]string{
	NotSent:   "not sent",
	MaybeSent: "maybe sent",
	Refused:   "refused",
	Rejected:  "rejected",
	Failed:    "failed",
	Cut:       "cut",
	Stalled:   "stalled",
	Canceled:  "canceled",
}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[k]
}

// ErrReplaced says that another target answers at the address of the one that was
// asked. Nothing ran.
var ErrReplaced = errors.New("another target answers at the address")

// Error is the failure of one attempt.
type Error struct {
	Kind   Kind
	Target string
	// Status is the HTTP status for Refused and Failed, else 0.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("attempt on target %s: %s (status %d): %v", e.Target, e.Kind, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of an attempt's error, or 0 when err is no *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
