package idempotency

import (
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
)

var (
	// ErrUnreachable is returned when the table service could not settle a claim.
	ErrUnreachable = errors.New("claim could not be settled with the table service")
	// ErrOverloaded is returned when too many calls wait for the table service.
	ErrOverloaded = errors.New("too many claims wait for the table service")
	// ErrStopped is returned when Run has ended.
	ErrStopped = errors.New("claims are stopped")
	// ErrBadKey is returned for an empty or too long key.
	ErrBadKey = errors.New("idempotency key is empty or too long")
	// ErrNotHeld is returned by Complete when the row no longer has our token.
	ErrNotHeld = errors.New("claim is not held")
)

const (
	// MaxKeyBytes bounds the length of a caller's key.
	MaxKeyBytes = 255
	// MaxAnswerBytes bounds the headers and body of a stored answer.
	MaxAnswerBytes = 64 << 10
	// Retention is the time that claims and answers are kept.
	Retention = 24 * time.Hour

	rowPrefix = "claims/"
	step      = "claims"
)

// Key names a request of one account to one service.
type Key struct {
	Service, Account, Key string
}

func (k Key) row() string {
	return rowPrefix + url.PathEscape(k.Service) + "/" + url.PathEscape(k.Account) + "/" + url.PathEscape(k.Key)
}

func (k Key) check() error {
	if k.Key == "" || len(k.Key) > MaxKeyBytes {
		return fault.Wrap(ErrBadKey, step+".claim", "")
	}
	return nil
}

// Answer is the stored answer of a request.
type Answer struct {
	Status  int         `json:"status"`
	Headers http.Header `json:"headers,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// Omitted says that headers and body were too large to be stored.
	Omitted bool `json:"omitted,omitempty"`
}

func (a Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Headers {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Outcome is the state of a key as a caller sees it.
type Outcome uint8

const (
	// Free keys are not claimed. Only Lookup returns it.
	Free Outcome = iota
	// Claimed: the key is ours, and the request is to be dispatched once.
	Claimed
	// Done: the request ran; the result holds its answer.
	Done
	// InProgress: the request runs or is about to.
	InProgress
	// Unknown: the request may or may not have run.
	Unknown
	// Mismatch: the key was used for a request with another body.
	Mismatch
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"free", "claimed", "done", "in progress", "unknown", "mismatch"}[o]
}

// Result is the result of a claim or lookup.
type Result struct {
	Outcome Outcome
	// Answer is set when the outcome is Done.
	Answer *Answer
	// HeldClaim is set when the outcome is Claimed.
	HeldClaim *HeldClaim
}

// HeldClaim is a claim that this daemon holds. It ends with one call of Complete,
// Abandon or MarkUnknown; Complete may follow MarkUnknown.
type HeldClaim struct {
	row   string
	token string
}

// Options are the limits of Claims. Zero fields take the defaults.
type Options struct {
	// BatchWindow is the time during which claims join one transaction.
	BatchWindow time.Duration
	// CallTimeout bounds one call of the table service.
	CallTimeout time.Duration
	// ResolveTimeout bounds the time in which a claim is settled.
	ResolveTimeout time.Duration
	// MaxRunTime is the time after which a claim without an end counts as unknown.
	// It is longer than any request's deadline.
	MaxRunTime time.Duration
	// FinishTimeout bounds the time in which Complete, Abandon and MarkUnknown are
	// retried in the background.
	FinishTimeout time.Duration
	// DrainTimeout bounds the time that Run takes to finish them after its context ended.
	DrainTimeout time.Duration
	// Capacity is the number of claims, and of ends of claims, that may wait.
	Capacity int
	// PendingBytes bounds the memory of answers that wait to be stored. Answers
	// beyond it are stored without body.
	PendingBytes int64
}

func (o Options) withDefaults() Options {
	setDefault(&o.BatchWindow, 3*time.Millisecond)
	setDefault(&o.CallTimeout, time.Second)
	setDefault(&o.ResolveTimeout, 3*time.Second)
	setDefault(&o.MaxRunTime, 5*time.Minute)
	setDefault(&o.FinishTimeout, 2*time.Minute)
	setDefault(&o.DrainTimeout, 2*time.Second)
	setDefault(&o.Capacity, 4096)
	setDefault(&o.PendingBytes, 8<<20)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
