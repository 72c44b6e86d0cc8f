package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome tells a caller whether a request that was refused or failed has run.
type Outcome string

const (
	// OutcomeNotRun means that no target ran the request. It is reported only when
	// this is certain.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the machine-readable reason of a refusal.
type Code string

// Reasons of refusals.
const (
	CodeUnauthorized Code = "unauthorized"
	CodeForbidden    Code = "forbidden"
	CodeBadRequest   Code = "bad_request"
	CodeTooLarge     Code = "too_large"
	CodeNotFound     Code = "not_found"
	CodeNotReady     Code = "not_ready"
	CodeRateLimited  Code = "rate_limited"
	CodeOverloaded   Code = "overloaded"
	// CodeTooLate means that the request could not meet its deadline even on an idle target.
	CodeTooLate           Code = "too_late"
	CodeDeadline          Code = "deadline"
	CodeQuarantined       Code = "quarantined"
	CodeNoTarget          Code = "no_target"
	CodeTargetFailed      Code = "target_failed"
	CodeStoreUnavailable  Code = "store_unavailable"
	CodeKeyInProgress     Code = "key_in_progress"
	CodeKeyOutcomeUnknown Code = "key_outcome_unknown"
	CodeKeyDone           Code = "key_done"
	CodeKeyMismatch       Code = "key_mismatch"
	CodeShuttingDown      Code = "shutting_down"
	CodeCanceled          Code = "canceled"
	CodeInternal          Code = "internal"
)

// statusClientClosed is the status recorded when the caller closed its connection; it
// is never sent.
const statusClientClosed = 499

// Refusal is an error answer of the scheduler itself, as opposed to an answer of a
// target.
type Refusal struct {
	// Status is the HTTP status for the caller.
	Status  int
	Code    Code
	Outcome Outcome
	Message string
	// RetryAfter is the hint to the caller when to retry; 0 means no hint.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error {
	return r.Err
}

// AsRefusal returns the *Refusal in err's chain. Any other error becomes a CodeInternal
// refusal with unknown outcome.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Status: http.StatusInternalServerError, Code: CodeInternal, Outcome: OutcomeUnknown, Message: "internal error", Err: err}
}

// Refuse returns a refusal with OutcomeNotRun.
func Refuse(status int, code Code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: OutcomeNotRun, Message: message}
}
