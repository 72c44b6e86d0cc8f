// Package attempt classifies how one attempt to run a request on a target failed.
// The clients of targets return *Error. From its Kind the retry policy decides
// whether the request may run on another target, and which outcome is reported to
// the caller.
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
	// MaybeSent means that the request may have reached the target, but no answer arrived.
	MaybeSent
	// Refused means that the target answered with an error status before it ran the request.
	Refused
	// Rejected means that the target found the request invalid and did not run it;
	// another target would reject it too.
	Rejected
	// Failed means that the target answered with an error status after it may have run the request.
	Failed
	// Cut means that the answer ended before it was complete.
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

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

// ErrTargetReplaced means that a different target now answers at the address of the target
// that was called. The request did not run.
var ErrTargetReplaced = errors.New("another target answers at the address")

// Error is the failure of one attempt.
type Error struct {
	Kind   Kind
	Target string
	// Status is the HTTP status of the answer, or 0 when none was received.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("attempt on target %s: %s (status %d): %v", e.Target, e.Kind, e.Status, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of the *Error in err's chain, or 0 when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
