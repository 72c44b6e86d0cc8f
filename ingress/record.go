package ingress

import (
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/frontend"
)

// measuredSink passes an answer on and records its status, its number of writes, and the
// time from arrival to its start.
type measuredSink struct {
	entry.ForwardSink
	arrived     time.Time
	status      int
	timeToStart time.Duration
	writes      int
}

// Start implements entry.ForwardSink.
func (w *measuredSink) Start(status int, header http.Header, length int64) error {
	w.status = status
	w.timeToStart = time.Since(w.arrived)
	return w.ForwardSink.Start(status, header, length)
}

// Write implements entry.ForwardSink.
func (w *measuredSink) Write(p []byte) error {
	w.writes++
	return w.ForwardSink.Write(p)
}

// recordRefusal logs a call that was refused before it reached the Runner, and returns the
// refusal. The call is counted only when r, its request, is not nil.
func (s *Server) recordRefusal(c *Call, r *entry.ForwardRequest, refusal *entry.Refusal) error {
	fields := eventlog.Fields{
		"request": c.ID,
		"code":    string(refusal.Code),
		"status":  refusal.Status,
		"retryMs": refusal.RetryAfter.Milliseconds(),
		"host":    c.Host,
		"path":    c.Path,
	}
	if index := s.Index(); index != nil {
		fields["generation"] = index.Generation
	}
	if r != nil {
		fields["ingress"] = r.Ingress.Name
		fields["account"] = accountOf(r)
		fields["tokens"] = c.Size.Prompt + c.Size.Output
		s.Recorder.RecordRequest(newMeasurement(r, string(refusal.Code), &measuredSink{arrived: c.Arrived}))
	}
	s.Logger.Emit(eventlog.RequestRefused, fields)
	return refusal
}

// outcomeOK is the outcome of a request that a target answered completely.
const outcomeOK = "ok"

// recordResult logs and counts a request that the Runner ended.
func (s *Server) recordResult(r *entry.ForwardRequest, w *measuredSink, trace *entry.Trace, err error) {
	outcome := outcomeOK
	fields := eventlog.Fields{
		"request":     r.ID,
		"ingress":     r.Ingress.Name,
		"service":     r.Service.Name,
		"tier":        r.Caller.Tier.Name,
		"prompt":      r.PromptTokens,
		"output":      r.OutputTokens,
		"status":      w.status,
		"firstMs":     w.timeToStart.Milliseconds(),
		"totalMs":     time.Since(r.Arrived).Milliseconds(),
		"writes":      w.writes,
		"targets":     trace.Targets,
		"waitMs":      trace.QueueWait.Milliseconds(),
		"gapMs":       trace.MaxGap.Milliseconds(),
		"objectiveMs": r.Ingress.Objective.Milliseconds(),
	}
	fields["account"] = accountOf(r)
	s.recordRegions(r, err, fields)
	if len(trace.Failures) > 0 {
		fields["failures"] = trace.Failures
	}
	if err != nil {
		refusal := entry.AsRefusal(err)
		outcome = string(refusal.Code)
		fields["ran"] = string(refusal.Outcome)
		fields["retryMs"] = refusal.RetryAfter.Milliseconds()
		if refusal.Err != nil {
			fields["cause"] = refusal.Err.Error()
		}
	}
	fields["outcome"] = outcome
	s.Recorder.RecordRequest(newMeasurement(r, outcome, w))
	s.Logger.Emit(eventlog.RequestEnded, fields)
}

func newMeasurement(r *entry.ForwardRequest, outcome string, w *measuredSink) frontend.Measurement {
	return frontend.Measurement{
		Account:    accountOf(r),
		Tier:       r.Caller.Tier.Name,
		Service:    r.Service.Name,
		Outcome:    outcome,
		FirstToken: w.timeToStart,
		Total:      time.Since(r.Arrived),
		Tokens:     w.writes,
	}
}

// accountOf returns the name of the request's account, or "" when it has none.
func accountOf(r *entry.ForwardRequest) string {
	if r.Caller.Account == nil {
		return ""
	}
	return r.Caller.Account.Name
}

// recordRegions counts a request that only some regions may serve and adds them to the fields of
// its event.
func (s *Server) recordRegions(r *entry.ForwardRequest, err error, fields eventlog.Fields) {
	if r.Regions == nil {
		return
	}
	regions := r.Regions()
	if !regions.Restricted() {
		return
	}
	s.restricted.Add(1)
	fields["allowedRegions"] = regions.Names()
	if err != nil && entry.AsRefusal(err).Code == entry.CodeNoTarget {
		s.restrictedRefused.Add(1)
	}
}
