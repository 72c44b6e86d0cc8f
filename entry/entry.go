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
	// The wait for the first token of an attempt is bounded by firstTokenTimeoutFactor
	// times the first-token objective of the tier, and at least minFirstTokenTimeout.
	firstTokenTimeoutFactor = 4
	minFirstTokenTimeout    = 5 * time.Second
	// allowedTimePerToken is the time that the deadline of an answer allows for each
	// output token: 28 ms is usual between tokens, and the slower hardware generation
	// needs more.
	allowedTimePerToken = 40 * time.Millisecond
	// tokenGapTimeout bounds the wait between tokens. It is 2 s, because engines pause for
	// more than 20 usual gaps of 28 ms while they process long prompts.
	tokenGapTimeout = 2 * time.Second
)

// Config holds the dependencies of a Runner. Engines serves chats only; PlainServices,
// IdempotencyKeys and HedgePolicy serve plain calls only; Forwarder and Blocklist serve
// opaque requests only. The other fields are required, except AnswerMemory.
type Config struct {
	Grants          GrantClient
	Engines         Engines
	PlainServices   PlainServices
	VersionPicker   VersionPicker
	Observer        Observer
	IdempotencyKeys IdempotencyKeys
	Quarantine      Quarantine
	RetryPolicy     RetryPolicy
	HedgePolicy     HedgePolicy
	// Forwarder sends opaque requests to targets. Blocklist says which of them may run; nil
	// permits all.
	Forwarder Forwarder
	Blocklist Blocklist
	// Avoidance is told what targets say in their answers to opaque requests; nil ignores it.
	Avoidance Avoidance
	// AnswerMemory bounds the memory of answers that are buffered before they are sent
	// to the caller; nil means no bound.
	AnswerMemory *bytebudget.Budget
	// Sleep sleeps for d, or until the context ends.
	Sleep func(ctx context.Context, d time.Duration)
}

// Runner runs requests to their end. It is safe for concurrent use.
type Runner struct {
	Config
	// runPrefix, which is random, and runCount make run ids unique across all daemons.
	runPrefix string
	runCount  atomic.Uint64
	stops     stopSignals
}

// New returns a Runner with the given dependencies.
func New(config Config) *Runner {
	if config.Blocklist == nil {
		config.Blocklist = allowAll{}
	}
	return &Runner{Config: config, runPrefix: rand.Text(), stops: newStopSignals()}
}

// newRunID returns a unique id for one run of a request. The request id does not serve
// for this, because callers choose it and may send the same one twice.
func (runner *Runner) newRunID() string {
	return runner.runPrefix + "-" + strconv.FormatUint(runner.runCount.Add(1), 36)
}

// Caller is the client account of a request and its tier. Account is nil for requests
// without a token on a public ingress.
type Caller struct {
	Account *object.ClientAccount
	Tier    *object.Tier
}

// quarantinePollInterval is the time between two checks of a request whose quarantine
// decision is pending; decisions take one or two seconds.
const quarantinePollInterval = 50 * time.Millisecond

// checkQuarantine reports whether the request is a suspect, or is quarantined and must
// not run. While the decision is pending it blocks; when the context ends first, the
// request counts as a suspect.
func (runner *Runner) checkQuarantine(ctx context.Context, fingerprint uint64) (suspect, quarantined bool) {
	for {
		switch runner.Quarantine.StateOf(fingerprint) {
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
		runner.Sleep(ctx, quarantinePollInterval)
	}
}

// quarantineDecisionTime is the time in which a crash is detected and a decision about
// its request is made. It covers half a second to collect the losses of one target, the
// probe, and the burst window of the quarantine tracker.
const quarantineDecisionTime = 2 * time.Second

// lostTargetCount counts the attempts of one request in which the connection to the
// target broke.
type lostTargetCount int

// record counts the failed attempt if its target was lost, and reports whether the
// request must be treated as a suspect. The quarantine tracker receives a loss later
// than this daemon sees it; without this rule, a request that crashes targets would run
// on more targets in the meantime.
func (n *lostTargetCount) record(err error) bool {
	switch attempt.KindOf(err) {
	case attempt.MaybeSent, attempt.Cut:
		*n++
	}
	return *n > 0
}

// awaitQuarantineDecision delays the retry of a request during which at least two targets
// were lost, so that the quarantine tracker decides about it first.
func (runner *Runner) awaitQuarantineDecision(ctx context.Context, lost lostTargetCount) {
	if lost >= 2 {
		runner.Sleep(ctx, quarantineDecisionTime)
	}
}

// quarantinedRefusal returns the refusal of a quarantined request.
func quarantinedRefusal() *Refusal {
	return Refuse(http.StatusUnprocessableEntity, CodeQuarantined, "requests with this content made targets fail and are not run again")
}

// attemptID returns the id of one attempt, so that frames of an earlier attempt can be
// distinguished from those of the current one.
func attemptID(runID string, number int) string {
	return runID + "." + strconv.Itoa(number)
}

// retryOutcomes maps the kinds of failed attempts to the outcomes of the retry policy.
var retryOutcomes = map[attempt.Kind]retry.Outcome{
	attempt.NotSent:   retry.NotSent,
	attempt.MaybeSent: retry.MaybeSent,
	attempt.Refused:   retry.Answered,
	attempt.Failed:    retry.Answered,
	attempt.Cut:       retry.StreamCut,
	attempt.Stalled:   retry.TimedOut,
	attempt.Canceled:  retry.TimedOut,
}

// newRetryAttempt describes a failed attempt to the retry policy. An error that is no
// *attempt.Error counts as MaybeSent.
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

// pace returns the mean time between two of the events that an attempt received.
func pace(report *Report, events int) time.Duration {
	if events < 2 || report.FirstToken <= 0 || report.Duration <= report.FirstToken {
		return 0
	}
	return (report.Duration - report.FirstToken) / time.Duration(events-1)
}

// newObservation fills the fields of an Observation that chats, plain calls and opaque
// requests have in common.
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
		FirstToken:   report.FirstToken,
		Duration:     report.Duration,
		PromptTokens: report.PromptTokens,
		CachedTokens: report.CachedTokens,
		OutputTokens: report.OutputTokens,
	}
}
