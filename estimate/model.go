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

	// OutputQuantile is the quantile of the output length that is predicted. It is
	// above the median, so that most requests finish within their prediction.
	OutputQuantile = 0.7
	// minConfidentSamples is the number of observations from which an estimate is
	// trusted enough to refuse a request because of it.
	minConfidentSamples = 8

	// SpreadQuantile is the quantile of the ratio of actual to predicted time that
	// becomes Prediction.Spread.
	SpreadQuantile = 0.9
	// defaultSpread applies until there are minConfidentSamples observations.
	// maxSpread bounds the factor, so that a faulty engine does not make every
	// deadline look unreachable.
	defaultSpread = 1.2
	maxSpread     = 2

	// batchBuckets is the number of powers of two by which batch sizes are grouped;
	// the last bucket starts at 512.
	batchBuckets = 10
	// maxEngines bounds the entries of Model.engines and of Model.typical, maxOutputs
	// those of Model.outputs, so that memory does not grow with every name ever seen.
	maxEngines = 256
	maxOutputs = 8192
)

// Model predicts times and lengths. The zero value is not usable; call New.
type Model struct {
	engines map[engineKey]*engine
	// typical holds the typical engine of each version; it is nil in a model without
	// typical engines.
	typical map[string]*typical
	outputs map[outputKey]*quantile
}

type engineKey struct{ version, hardware string }

// outputKey identifies an estimate of the output length; account "" is the whole
// service. The estimate is a fraction of the stated bound if bounded is set, else a
// length in tokens.
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

// NewWithTypicalDefaults returns a model in which an engine takes the values that
// were not observed yet from the medians over the engines of its version. It is meant
// for planning where the hardware is unknown, so that an engine that just joined does
// not look too slow to be used. Use New where hardware generations are stated, since
// they differ in speed, and for a model by which slow engines are detected.
func NewWithTypicalDefaults() *Model {
	m := New()
	m.typical = make(map[string]*typical)
	return m
}

// Job is the part of a request that determines how long it takes.
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

// Prediction holds the expected times of a job.
type Prediction struct {
	// FirstToken and Finish are times since dispatch to an engine with a free
	// slot.
	FirstToken time.Duration
	Finish     time.Duration
	// Spread is a factor of at least 1: nearly all requests of the version and
	// hardware generation end within Finish times Spread.
	Spread float64
	// Confident reports that enough was observed to refuse work on this prediction.
	Confident bool
}

// Predict returns the expected times of a job.
func (m *Model) Predict(job Job) Prediction {
	e := m.lookup(engineKey{job.Version, job.Hardware})
	p := Prediction{Spread: e.spreadFactor(), Confident: e.confident()}
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
	return m.lookup(engineKey{version, hardware}).confident()
}

// PrefillObserved reports whether the prefill rate was observed at all.
func (m *Model) PrefillObserved(version, hardware string) bool {
	e := m.engines[engineKey{version, hardware}]
	return e != nil && e.prefillTracker.samples > 0
}

// Spread returns the factor described at Prediction.Spread, and whether enough was
// observed to refuse work on a prediction.
func (m *Model) Spread(version, hardware string) (factor float64, confident bool) {
	e := m.lookup(engineKey{version, hardware})
	return e.spreadFactor(), e.confident()
}

// ObserveSpread updates the spread by the time that a request took and the time
// that was predicted when it was dispatched. A prediction of zero is ignored.
func (m *Model) ObserveSpread(version, hardware string, predicted, actual time.Duration) {
	if predicted > 0 {
		m.engineFor(engineKey{version, hardware}).spreadQuantile.observe(float64(actual)/float64(predicted), SpreadQuantile)
	}
}

// Observation holds the measured times and tokens of one finished request.
type Observation struct {
	Job
	// Queued marks a request that waited in the engine for a slot; the time of its
	// first token is not used for the prefill rate.
	Queued bool
	// TokensAhead are tokens of other requests that were prefilled before this one
	// on the same engine.
	TokensAhead int
	FirstToken  time.Duration
	Duration    time.Duration
	// MinPrefill is the smallest prefill, in tokens, that is used for the prefill
	// rate, if it is larger than minPrefillSample. Where FirstToken includes a fixed
	// time, short prompts would make a target look slow.
	MinPrefill int
}

// minPrefillSample is the smallest prefill, in tokens, that is used for the prefill
// rate; below it, the fixed time of a request dominates.
const minPrefillSample = 64

// Observe corrects the estimates of one version and hardware generation.
func (m *Model) Observe(o Observation) {
	e := m.engineFor(engineKey{o.Version, o.Hardware})
	e.samples++
	defer m.refreshTypical(o.Version)
	if o.Plain {
		e.plainTracker.observe(o.Duration.Seconds())
		return
	}
	if tokens := o.PrefillTokens + o.TokensAhead; !o.Queued && tokens >= max(minPrefillSample, o.MinPrefill) && o.FirstToken > 0 {
		e.prefillTracker.observe(float64(tokens) / o.FirstToken.Seconds())
	}
	if decode := o.Duration - o.FirstToken; o.OutputTokens > 1 && decode > 0 {
		perToken := decode.Seconds() / float64(o.OutputTokens-1)
		e.decodeRatio[batchBucket(o.Batch)].observe(perToken / defaultTokenTime(o.Batch).Seconds())
	}
}

// OutputTokens returns the expected output of an account on a service, at most
// maxTokens, the bound that the caller stated; 0 is no bound. Where callers
// state a bound, a fraction of the bound is predicted, because accounts that mix
// short and long requests state a bound that fits each request; with a constant
// bound the result is the usual length. An account with fewer than
// minConfidentSamples observations takes the values of the whole service.
func (m *Model) OutputTokens(service, account string, maxTokens int) int {
	bounded := maxTokens > 0
	q := m.outputs[outputKey{service, account, bounded}]
	if q == nil || q.samples < minConfidentSamples {
		if serviceWide := m.outputs[outputKey{service, "", bounded}]; serviceWide != nil {
			q = serviceWide
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

// ObserveOutput corrects the expected output of an account on a service by the
// output tokens of one request. Callers must include requests that were cut off
// after they exceeded their prediction; leaving them out would make long answers
// look shorter than they are.
func (m *Model) ObserveOutput(service, account string, maxTokens, tokens int) {
	value := float64(tokens)
	if maxTokens > 0 {
		value /= float64(maxTokens)
	}
	m.outputFor(outputKey{service, account, maxTokens > 0}).observe(value, OutputQuantile)
	m.outputFor(outputKey{service, "", maxTokens > 0}).observe(value, OutputQuantile)
}

func (m *Model) outputFor(key outputKey) *quantile {
	q := m.outputs[key]
	if q == nil {
		evictIfFull(m.outputs, maxOutputs)
		q = &quantile{}
		m.outputs[key] = q
	}
	return q
}

func (m *Model) engineFor(key engineKey) *engine {
	e := m.engines[key]
	if e == nil {
		evictIfFull(m.engines, maxEngines)
		e = &engine{}
		if m.typical != nil {
			e.typical = &m.typicalFor(key.version).engine
		}
		m.engines[key] = e
	}
	return e
}

// evictIfFull deletes an arbitrary element if the map is full. An estimate that is
// still in use is rebuilt from the next few requests.
func evictIfFull[K comparable, V any](m map[K]V, limit int) {
	if len(m) < limit {
		return
	}
	for key := range m {
		delete(m, key)
		return
	}
}
