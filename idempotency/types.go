package idempotency

import (
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
)

var (
	// ErrUnresolved is returned when a claim or a state update could not be
	// completed with the table service within its time limit. A claim also
	// ends with it after maxFailures failed attempts if no claim of its batch can
	// have been written.
	ErrUnresolved = errors.New("claim could not be resolved with the table service")
	// ErrOverloaded is returned when a queue for the table service is full, or
	// closed because Run has ended.
	ErrOverloaded = errors.New("too many claims wait for the table service")
	// ErrStopped is returned for claims and state updates that were not processed
	// before Run ended, and for state updates whose retry found the queue full.
	ErrStopped = errors.New("claim processing has stopped")
	// ErrBadKey is returned for a key that is empty or longer than MaxKeyBytes.
	ErrBadKey = errors.New("idempotency key is empty or too long")
	// ErrNotHeld is returned by Complete when the row no longer has the token of
	// the claim, or its state can no longer change to done.
	ErrNotHeld = errors.New("claim is no longer held")
)

const (
	// MaxKeyBytes bounds the length of a caller's key, in bytes.
	MaxKeyBytes = 255
	// MaxAnswerBytes bounds the headers and body of a stored answer, in bytes.
	MaxAnswerBytes = 64 << 10
	// Retention is how long claims and answers are kept.
	Retention = 24 * time.Hour

	rowPrefix  = "claims/"
	stepPrefix = "claims"
)

// Key identifies a request of one client account to one service.
type Key struct {
	Service, Account, Key string
}

func (k Key) rowKey() string {
	return rowPrefix + url.PathEscape(k.Service) + "/" + url.PathEscape(k.Account) + "/" + url.PathEscape(k.Key)
}

func (k Key) validate() error {
	if k.Key == "" || len(k.Key) > MaxKeyBytes {
		return fault.Wrap(ErrBadKey, stepPrefix+".claim", "")
	}
	return nil
}

// Answer is the stored answer of a request. It is encoded into the claim's row.
type Answer struct {
	Status  int         `json:"status"`
	Headers http.Header `json:"headers,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// Omitted is set when headers and body were too large to be stored, or the
	// memory for pending answers was used up.
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
	// Free means that the key is not claimed. Only Lookup returns it.
	Free Outcome = iota
	// Claimed means that this call claimed the key: its request is to be
	// dispatched once.
	Claimed
	// Done means that the request ran; the result holds its answer.
	Done
	// InProgress means that another claim holds the key: its request runs or is
	// about to.
	InProgress
	// Unknown means that the request may or may not have run.
	Unknown
	// Mismatch means that the key was used for a request with another body.
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
	rowKey string
	token  string
}

// Options are the limits of Claims. Zero fields take the defaults.
type Options struct {
	// BatchWindow is how long a batch waits for further claims, or for further
	// state updates, before its transaction is committed.
	BatchWindow time.Duration
	// CallTimeout bounds one call of the table service.
	CallTimeout time.Duration
	// ResolveTimeout bounds the time to resolve a claim, including retries and reads
	// after an unknown outcome.
	ResolveTimeout time.Duration
	// MaxRunTime is the time after which a claim that has not ended counts as
	// unknown. It is longer than any request's deadline.
	MaxRunTime time.Duration
	// UpdateTimeout bounds how long the state updates of Complete, Abandon and
	// MarkUnknown are retried in the background.
	UpdateTimeout time.Duration
	// DrainTimeout bounds how long Run continues to write state updates after its
	// context ended.
	DrainTimeout time.Duration
	// QueueCapacity is the number of claims that may wait, and the number of
	// state updates that may wait.
	QueueCapacity int
	// MaxPendingAnswerBytes bounds the memory of answers that wait to be stored.
	// Answers beyond it are stored without headers and body.
	MaxPendingAnswerBytes int64
}

func (o Options) withDefaults() Options {
	setDefault(&o.BatchWindow, 3*time.Millisecond)
	setDefault(&o.CallTimeout, time.Second)
	setDefault(&o.ResolveTimeout, 3*time.Second)
	setDefault(&o.MaxRunTime, 5*time.Minute)
	setDefault(&o.UpdateTimeout, 2*time.Minute)
	setDefault(&o.DrainTimeout, 2*time.Second)
	setDefault(&o.QueueCapacity, 4096)
	setDefault(&o.MaxPendingAnswerBytes, 8<<20)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
