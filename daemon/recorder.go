package daemon

import (
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/frontend"
	"github.com/marjoramflow/marjoramflow/metrics"
)

// recorder counts finished requests and records their times in the metrics. It is safe for
// concurrent use.
type recorder struct {
	registry *metrics.Registry
}

// outcomesByCode maps "ok" and the codes of refusals to the outcomes in the metrics.
var outcomesByCode = map[string]metrics.Outcome{
	"ok":                                metrics.Done,
	string(entry.CodeUnauthorized):      metrics.Invalid,
	string(entry.CodeForbidden):         metrics.Invalid,
	string(entry.CodeBadRequest):        metrics.Invalid,
	string(entry.CodeTooLarge):          metrics.Invalid,
	string(entry.CodeNotFound):          metrics.Invalid,
	string(entry.CodeKeyMismatch):       metrics.Invalid,
	string(entry.CodeNotReady):          metrics.Unavailable,
	string(entry.CodeNoTarget):          metrics.Unavailable,
	string(entry.CodeStoreUnavailable):  metrics.Unavailable,
	string(entry.CodeShuttingDown):      metrics.Unavailable,
	string(entry.CodeRateLimited):       metrics.Limited,
	string(entry.CodeOverloaded):        metrics.Shed,
	string(entry.CodeTooLate):           metrics.Late,
	string(entry.CodeDeadline):          metrics.Shed,
	string(entry.CodeQuarantined):       metrics.Quarantined,
	string(entry.CodeTargetFailed):      metrics.Failed,
	string(entry.CodeCanceled):          metrics.Canceled,
	string(entry.CodeKeyDone):           metrics.Unknown,
	string(entry.CodeKeyInProgress):     metrics.Unknown,
	string(entry.CodeKeyOutcomeUnknown): metrics.Unknown,
	string(entry.CodeInternal):          metrics.Failed,
}

// RecordRequest implements frontend.Recorder. Times are recorded only for completed requests.
func (r recorder) RecordRequest(m frontend.Measurement) {
	series := r.registry.Series(metrics.Labels{Tier: m.Tier, Account: m.Account, Service: m.Service})
	outcome, ok := outcomesByCode[m.Outcome]
	if !ok {
		outcome = metrics.Failed
	}
	series.Count(outcome)
	if outcome != metrics.Done {
		return
	}
	series.RecordTotal(m.Total)
	if m.FirstToken > 0 {
		series.RecordFirstToken(m.FirstToken)
	}
}

// RecordTokenGap implements frontend.Recorder.
func (r recorder) RecordTokenGap(tier, account, service string, gap time.Duration) {
	r.registry.Series(metrics.Labels{Tier: tier, Account: account, Service: service}).RecordTokenGap(gap)
}
