package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

const (
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 4
	// firstTimeoutFactor and minFirstTimeout bound the wait for the first token
	// of an attempt by the expected time.
	firstTimeoutFactor = 4
	minFirstTimeout    = 5 * time.Second
	// gapTimeout bounds the wait between tokens: 20 gaps of 28 ms are less than
	// 2 s, and engines pause longer than that while they process long prompts.
	gapTimeout = 2 * time.Second
	// retryPauseMin and retryPauseMax bound the backoff between attempts.
	retryPauseMin = 50 * time.Millisecond
	retryPauseMax = 2 * time.Second
)

// Config holds the parts that an Entry works with. All are required.
type Config struct {
	Grants   Grants
	Engines  Engines
	Plains   Plains
	Versions Versions
	Observer Observer
	Keys     Keys
	Suspects Suspects
	Retries  RetryBudget
	// Pause waits before a retry; it returns early when the context ends.
	Pause func(ctx context.Context, d time.Duration)
	// Backoff returns the pause before retry number n, counted from 1.
	Backoff func(n int) time.Duration
}

// Entry runs requests.
type Entry struct {
	Config
}

// New returns an Entry.
func New(config Config) *Entry {
	return &Entry{Config: config}
}

// Caller is an authenticated client account.
type Caller struct {
	Account *object.ClientAccount
	Tier    *object.Tier
}

// checkQuarantine refuses requests that crash targets. It returns whether the
// request is a suspect.
func (e *Entry) checkQuarantine(fingerprint uint64) (bool, error) {
	quarantined, suspect := e.Suspects.Check(fingerprint)
	if quarantined {
		return false, Refuse(http.StatusUnprocessableEntity, CodeQuarantined, "requests with this content made targets fail and are not run again")
	}
	return suspect, nil
}

// attemptID names one attempt of a request, so that frames of an earlier attempt
// are told apart.
func attemptID(request string, n int) string {
	return request + "." + strconv.Itoa(n)
}
