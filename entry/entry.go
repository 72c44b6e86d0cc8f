package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/bytebudget"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/quarantine"
	"github.com/marjoramflow/marjoramflow/retry"
)

const (
	// firstTokenTimeoutFactor and minFirstTokenTimeout bound the wait for the first token
	// of an attempt by the expected time.
	firstTokenTimeoutFactor = 4
	minFirstTokenTimeout    = 5 * time.Second
	// allowedTimePerToken is the time for each token after the first in which an answer
	// is due: 28 ms between tokens, with room for the slower hardware generation.
	allowedTimePerToken = 40 * time.Millisecond
	// tokenGapTimeout bounds the wait between tokens: 20 gaps of 28 ms are less than
	// 2 s, and engines pause longer than that while they process long prompts.
	tokenGapTimeout = 2 * time.Second
)

// Config holds the parts that an Entry works with. Engines, Plains, Keys and Hedges
// serve chats and plain calls, Forwarder serves opaque requests; the rest is
// required.
type Config struct {
	Grants          Grants
	Engines         Engines
	PlainServices   PlainServices
	VersionPicker   VersionPicker
	Observer        Observer
	IdempotencyKeys IdempotencyKeys
	Quarantine      Quarantine
	RetryPolicy     RetryPolicy
	HedgePolicy     HedgePolicy
	// Forwarder sends opaque requests to targets.
	Forwarder Forwarder
	// AnswerMemory bounds the answers that are held; nil is no bound.
	AnswerMemory *bytebudget.Budget
	// Pause waits before a retry; it returns early when the context ends.
	Pause func(ctx context.Context, d time.Duration)
}

// Runner runs requests.
type Runner struct {
	Config
	// runPrefix and runs make the names of runs unique over all daemons.
	runPrefix string
	runCount  atomic.Uint64
}

// New returns an Entry.
func New(config Config) *Runner {
	return &Runner{Config: config, runPrefix: rand.Text()}
}

// newRunID names one run of a request. Request ids are not used for this: callers
// choose them, and send the same one twice.
func (runner *Runner) newRunID() string {
	return runner.runPrefix + "-" + strconv.FormatUint(runner.runCount.Add(1), 36)
}

// Caller is an authenticated client account.
type Caller struct {
	Account *object.ClientAccount
	Tier    *object.Tier
}

// quarantinePollInterval is how often a held request looks whether its case is decided; cases
// are decided within a second or two.
const quarantinePollInterval = 50 * time.Millisecond

// checkQuarantine says whether the request is a suspect, or quarantined and must
// not run. It waits while the request's case is being decided.
func (runner *Runner) checkQuarantine(ctx context.Context, fingerprint uint64) (suspect, quarantined bool) {
	for {
		switch runner.Quarantine.Check(fingerprint) {
		case quarantine.Clear:
			return false, false
		case quarantine.Quarantined:
			return false, true
		case quarantine.Suspect:
			return true, false
		}
		if ctx.Err() != nil {
			return true, false
		}
		runner.Pause(ctx, quarantinePollInterval)
	}
}

// quarantineDecisionTime is the time in which a crash is found and judged: half a second to
// collect the losses of one target, the probe, and the book's burst window.
const quarantineDecisionTime = 2 * time.Second

// losses counts the targets whose connection broke under one request.
type lostTargetCount int

// record takes a failed attempt and says whether the request must be treated as a
// suspect. The book learns of a loss later than the entry; without this rule a
// request that crashes targets would be tried on further targets meanwhile.
func (n *lostTargetCount) record(err error) bool {
	switch attempt.KindOf(err) {
	case attempt.MaybeSent, attempt.Cut:
		*n++
	}
	return *n > 0
}

// awaitQuarantineDecision holds a request under which two targets were lost until the book
// has judged it.
func (runner *Runner) awaitQuarantineDecision(ctx context.Context, lost lostTargetCount) {
	if lost >= 2 {
		runner.Pause(ctx, quarantineDecisionTime)
	}
}

// quarantinedRefusal answers a request that made targets fail.
func quarantinedRefusal() *Refusal {
	return Refuse(http.StatusUnprocessableEntity, CodeQuarantined, "requests with this content made targets fail and are not run again")
}

// attemptID names one attempt of a request, so that frames of an earlier attempt
// are told apart.
func attemptID(runID string, number int) string {
	return runID + "." + strconv.Itoa(number)
}

// retryOutcomes maps the kinds of failed attempts to those of the retry policy.
var retryOutcomes = map[attempt.Kind]retry.Outcome{
	attempt.NotSent:   retry.NotSent,
	attempt.MaybeSent: retry.MaybeSent,
	attempt.Refused:   retry.Answered,
	attempt.Failed:    retry.Answered,
	attempt.Cut:       retry.StreamCut,
	attempt.Stalled:   retry.TimedOut,
	attempt.Canceled:  retry.TimedOut,
}

// describe builds the retry policy's view of a failed attempt.
func newRetryAttempt(err error) retry.Attempt {
	var failed *attempt.Error
	if !errors.As(err, &failed) {
		return retry.Attempt{Outcome: retry.MaybeSent}
	}
	return retry.Attempt{
		Outcome: retryOutcomes[failed.Kind],
		Status:  failed.Status,
		Refused: failed.Kind == attempt.Refused,
	}
}

// newObservation describes an attempt, but for what chats and plain calls tell apart.
func newObservation(grant *Grant, report *Report, caller Caller) Observation {
	account := ""
	if caller.Account != nil {
		account = caller.Account.Name
	}
	return Observation{
		Target:       grant.Target.Name,
		Hardware:     grant.Target.Hardware,
		Slots:        grant.Target.Slots,
		InFlight:     grant.InFlight,
		Tier:         caller.Tier.Name,
		Account:      account,
		Stopped:      report.Result == ResultCanceled || report.Result == ResultPreempted,
		First:        report.FirstToken,
		Duration:     report.Duration,
		PromptTokens: report.PromptTokens,
		CachedTokens: report.CachedTokens,
		OutputTokens: report.OutputTokens,
	}
}
