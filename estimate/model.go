package estimate

import "time"

const (
	// DefaultPrefillRate is the prefill rate in tokens/s before any observation.
	DefaultPrefillRate = 8000
	// DefaultTokenTime is the decode time per token at batch size 1 before any
	// observation; each further request in the batch adds DefaultTokenTimeSlope.
	DefaultTokenTime      = 15 * time.Millisecond
	DefaultTokenTimeSlope = 400 * time.Microsecond
	// DefaultOutputTokens is the expected output before any observation.
	DefaultOutputTokens = 256
	// DefaultPlainTime is the expected duration of a plain call.
	DefaultPlainTime = 20 * time.Millisecond

	// OutputQuantile is the quantile of the output length that is predicted.
	// Above the median, so that most requests finish within their prediction.
	OutputQuantile = 0.7
	// settledSamples is the number of observations after which an estimate is
	// trusted enough to refuse a request on its account.
	settledSamples = 8

	// SpreadQuantile is the quantile of actual to predicted time by which a
	// prediction is stretched to be kept by nearly all requests.
	SpreadQuantile = 0.9
	// defaultSpread applies before the first observation, maxSpread bounds it, so
	// that a faulty engine does not make every deadline look hopeless.
	defaultSpread = 1.2
	maxSpread     = 2

	batchBuckets = 10
	maxEngines   = 256
	maxOutputs   = 8192
)

// Model predicts times and lengths. The zero value is not usable; call New.
type Model struct {
	engines map[engineKey]*engine
	// typical is nil in a model whose engines do not share.
	typical map[string]*typical
	outputs map[outputKey]*quantile
}

type engineKey struct{ version, hardware string }

// outputKey names an output estimate; account "" is the whole service. Bounded
// ones are parts of the stated bound, others lengths in tokens.
type outputKey struct {
	service, account string
	bounded          bool
}

// New returns a model with defaults only.
func New() *Model {
	return &Model{
		engines: make(map[engineKey]*engine),
		outputs: make(map[outputKey]*quantile),
	}
}

// NewWithTypicalDefaults returns a model in which an engine takes what it has not shown yet from a
// typical one of its version: for planning where nothing is known of the hardware, and
// an engine that just joined must not look too slow to be used. Where generations are
// stated, they are unlike and do not share; nor does a yardstick for what is slow.
func NewWithTypicalDefaults() *Model {
	m := New()
	m.typical = make(map[string]*typical)
	return m
}

// Job is the part of a request that decides how long it takes.
type Job struct {
	Version, Hardware string
	// PrefillTokens are prompt tokens that are not in the engine's cache.
	PrefillTokens int
	OutputTokens  int
	// Batch is the number of requests in the engine, this one included.
	Batch int
	// Plain marks a call of a service without tokens.
	Plain bool
}

// Prediction is the expected course of a job.
type Prediction struct {
	// FirstToken and Finish are times since dispatch to an engine with a free
	// slot.
	FirstToken time.Duration
	Finish     time.Duration
	// Spread is the factor by which Finish is stretched so that nearly all
	// requests of the version and hardware generation keep it; at least 1.
	Spread float64
	// Confident says that enough was observed to refuse work on this prediction.
	Confident bool
}

// Predict returns the expected course of a job.
func (m *Model) Predict(job Job) Prediction {
	e := m.lookup(engineKey{job.Version, job.Hardware})
	p := Prediction{Spread: e.spreadFactor(), Confident: e.settled()}
	if job.Plain {
		p.FirstToken = e.plainTime()
		p.Finish = p.FirstToken
		return p
	}
	p.FirstToken = e.prefillTime(job.PrefillTokens)
	p.Finish = p.FirstToken + e.tokenTime(job.Batch)*time.Duration(max(job.OutputTokens, 1))
	return p
}

// PrefillTime returns the time to prefill a number of tokens.
func (m *Model) PrefillTime(version, hardware string, tokens int) time.Duration {
	return m.lookup(engineKey{version, hardware}).prefillTime(tokens)
}

// TokenTime returns the time per output token at a batch size.
func (m *Model) TokenTime(version, hardware string, batch int) time.Duration {
	return m.lookup(engineKey{version, hardware}).tokenTime(batch)
}

// Confident reports whether enough was observed to refuse work on a prediction.
func (m *Model) Confident(version, hardware string) bool {
	return m.lookup(engineKey{version, hardware}).settled()
}

// PrefillKnown reports whether the prefill rate was observed at all.
func (m *Model) PrefillKnown(version, hardware string) bool {
	e := m.engines[engineKey{version, hardware}]
	return e != nil && e.prefill.samples > 0
}

// Spread returns the factor by which predictions are stretched, see Prediction,
// and whether enough was observed to refuse work on a prediction.
func (m *Model) Spread(version, hardware string) (factor float64, settled bool) {
	e := m.lookup(engineKey{version, hardware})
	return e.spreadFactor(), e.settled()
}

// ObserveSpread compares the time that a request took with the prediction made
// when it was dispatched.
func (m *Model) ObserveSpread(version, hardware string, predicted, actual time.Duration) {
	if predicted > 0 {
		m.engine(engineKey{version, hardware}).spread.observe(float64(actual)/float64(predicted), SpreadQuantile)
	}
}

// Observation is what one finished request showed.
type Observation struct {
	Job
	// Queued marks a request that waited in the engine for a slot; its first
	// token says nothing about the prefill rate.
	Queued bool
	// TokensAhead are tokens of other requests that were prefilled before this one
	// on the same engine.
	TokensAhead int
	FirstToken  time.Duration
	Duration    time.Duration
	// MinPrefill is the least prefill that says something about the rate; 0 takes the
	// default. Where a fixed time is part of FirstToken, short prompts would make a
	// target look slow.
	MinPrefill int
}

// minPrefillSample is the smallest prefill that says something about the rate;
// below it, the fixed time of a request dominates.
const minPrefillSample = 64

// Observe corrects the estimates of one version and hardware generation.
func (m *Model) Observe(o Observation) {
	e := m.engine(engineKey{o.Version, o.Hardware})
	e.samples++
	defer m.observed(o.Version)
	if o.Plain {
		e.plain.observe(o.Duration.Seconds())
		return
	}
	if tokens := o.PrefillTokens + o.TokensAhead; !o.Queued && tokens >= max(minPrefillSample, o.MinPrefill) && o.FirstToken > 0 {
		e.prefill.observe(float64(tokens) / o.FirstToken.Seconds())
	}
	if decode := o.Duration - o.FirstToken; o.OutputTokens > 1 && decode > 0 {
		perToken := decode.Seconds() / float64(o.OutputTokens-1)
		e.decode[batchBucket(o.Batch)].observe(perToken / defaultTokenTime(o.Batch).Seconds())
	}
}

// OutputTokens returns the expected output of an account on a service, at most
// maxTokens, the bound that the caller stated; 0 is no bound. Where callers
// state a bound, the usual part of the bound is predicted, because accounts that
// mix short and long requests state fitting bounds; a constant bound gives the
// usual length. An unknown account takes the values of the whole service.
func (m *Model) OutputTokens(service, account string, maxTokens int) int {
	bounded := maxTokens > 0
	q := m.outputs[outputKey{service, account, bounded}]
	if q == nil || q.samples < settledSamples {
		if whole := m.outputs[outputKey{service, "", bounded}]; whole != nil {
			q = whole
		}
	}
	switch {
	case !bounded && q == nil:
		return DefaultOutputTokens
	case !bounded:
		return max(int(q.value()+0.5), 1)
	case q == nil:
		return max(maxTokens/2, 1)
	}
	return max(min(int(q.value()*float64(maxTokens)+0.5), maxTokens), 1)
}

// ObserveOutput corrects the expected output of an account on a service.
// Requests that were cut off count as well if they exceeded their prediction;
// leaving them out would make long answers look shorter than they are.
func (m *Model) ObserveOutput(service, account string, maxTokens, tokens int) {
	value := float64(tokens)
	if maxTokens > 0 {
		value /= float64(maxTokens)
	}
	m.output(outputKey{service, account, maxTokens > 0}).observe(value, OutputQuantile)
	m.output(outputKey{service, "", maxTokens > 0}).observe(value, OutputQuantile)
}

func (m *Model) output(key outputKey) *quantile {
	q := m.outputs[key]
	if q == nil {
		makeRoom(m.outputs, maxOutputs)
		q = &quantile{}
		m.outputs[key] = q
	}
	return q
}

func (m *Model) engine(key engineKey) *engine {
	e := m.engines[key]
	if e == nil {
		makeRoom(m.engines, maxEngines)
		e = &engine{}
		if m.typical != nil {
			e.typical = &m.typicalOf(key.version).engine
		}
		m.engines[key] = e
	}
	return e
}

// makeRoom drops an arbitrary entry of a full map; what is still in use is
// learned again after a few requests.
func makeRoom[K comparable, V any](entries map[K]V, limit int) {
	if len(entries) < limit {
		return
	}
	for key := range entries {
		delete(entries, key)
		return
	}
}
