package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome tells a caller whether a request without an answer has run.
type Outcome string

const (
	// OutcomeNotRun means that no target ran the request. It is only said when certain.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable reason of a refusal.
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
	// CodeLate: the request could not meet its deadline on an idle target.
	CodeLate          Code = "too_late"
	CodeDeadline      Code = "deadline"
	CodeQuarantined   Code = "quarantined"
	CodeNoTarget      Code = "no_target"
	CodeTargetFailed  Code = "target_failed"
	CodeStoreDown     Code = "store_unavailable"
	CodeKeyInProgress Code = "key_in_progress"
	CodeKeyUnknown    Code = "key_outcome_unknown"
	CodeKeyDone       Code = "key_done"
	CodeKeyMismatch   Code = "key_mismatch"
	CodeShuttingDown  Code = "shutting_down"
	CodeCanceled      Code = "canceled"
	CodeInternal      Code = "internal"
)

// statusClientClosed is the status recorded when the caller has gone; it is never
// received by anyone.
const statusClientClosed = 499

// Refusal is an answer of the system itself, as opposed to one of a target.
type Refusal struct {
	// Status is the HTTP status for the caller.
	Status  int
	Code    Code
	Outcome Outcome
	Message string
	// RetryAfter is a hint to the caller; 0 gives none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Err
}

// AsRefusal returns err as a refusal. Errors of other types become an internal
// refusal with unknown outcome.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Status: http.StatusInternalServerError, Code: CodeInternal, Outcome: OutcomeUnknown, Message: "internal error", Err: err}
}

// Refuse returns a refusal of a request that did not run.
func Refuse(status int, code Code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: OutcomeNotRun, Message: message}
}
