package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engineTimes returns the true times of a simulated engine, which the model has to
// estimate.
func engineTimes(prompt, output, batch int, speed float64) (firstToken, finish time.Duration) {
	firstToken = time.Duration(float64(prompt) / (6000 * speed) * float64(time.Second))
	perToken := float64(12*time.Millisecond+time.Duration(batch)*500*time.Microsecond) / speed
	return firstToken, firstToken + time.Duration(perToken*float64(output-1))
}

func observeRequests(m *Model, rng *rand.Rand, hardware string, speed float64, count int, outliers float64) {
	for range count {
		prompt, outputTokens, batch := 100+rng.IntN(4000), 10+rng.IntN(500), 1+rng.IntN(16)
		firstToken, finish := engineTimes(prompt, outputTokens, batch, speed)
		noise := math.Exp(rng.NormFloat64() * 0.1)
		if rng.Float64() < outliers {
			noise = 100
		}
		m.Observe(Observation{
			Job:        Job{Version: "v1", Hardware: hardware, PrefillTokens: prompt, OutputTokens: outputTokens, Batch: batch},
			FirstToken: time.Duration(float64(firstToken) * noise), Duration: time.Duration(float64(finish) * noise),
		})
	}
}

func assertWithin(t *testing.T, name string, got, want time.Duration, tolerance float64) {
	t.Helper()
	deviation := math.Abs(float64(got)/float64(want) - 1)
	assert.Assert(t, deviation <= tolerance, "%s: predicted %s, true %s, off by %.0f%%", name, got, want, deviation*100)
}

// Guards against predictions that mix hardware generations, and against predictions
// that are distorted by a few extreme observations (here 5% that took 100 times as
// long).
func TestModelLearnsEachGenerationDespiteOutliers(t *testing.T) {
	m := New()
	rng := rand.New(rand.NewPCG(1, 1))
	for hardware, speed := range map[string]float64{"slow": 1, "fast": 3} {
		observeRequests(m, rng, hardware, speed, 400, 0.05)
		for _, batch := range []int{2, 8, 16} {
			firstToken, finish := engineTimes(2000, 200, batch, speed)
			p := m.Predict(Job{Version: "v1", Hardware: hardware, PrefillTokens: 2000, OutputTokens: 200, Batch: batch})
			assertWithin(t, hardware+" first token", p.FirstToken, firstToken, 0.25)
			assertWithin(t, hardware+" finish", p.Finish, finish, 0.25)
		}
	}
}

// Guards against an estimate that stays at the old value after an engine has
// become three times slower.
func TestModelFollowsAChangeOfSpeed(t *testing.T) {
	m := New()
	rng := rand.New(rand.NewPCG(2, 1))
	observeRequests(m, rng, "h", 3, 500, 0)
	observeRequests(m, rng, "h", 1, 500, 0)
	_, finish := engineTimes(2000, 200, 8, 1)
	p := m.Predict(Job{Version: "v1", Hardware: "h", PrefillTokens: 2000, OutputTokens: 200, Batch: 8})
	assertWithin(t, "finish", p.Finish, finish, 0.25)
}

// Guards against refusals without evidence: before any observation the defaults
// apply and the model does not report that it is confident.
func TestColdModelUsesDefaults(t *testing.T) {
	m := New()
	assert.Assert(t, !m.Confident("v1", "h"))
	assert.Equal(t, m.PrefillTime("v1", "h", DefaultPrefillRate), time.Second)
	assert.Equal(t, m.TokenTime("v1", "h", 1), DefaultTokenTime)
	assert.Equal(t, m.OutputTokens("s", "a", 0), DefaultOutputTokens)
	assert.Equal(t, m.OutputTokens("s", "a", 40), 20)
	assert.Equal(t, m.Predict(Job{Plain: true}).Finish, DefaultPlainTime)
}

// Guards against an expected length that exceeds the caller's bound or differs from
// the quantile.
func TestOutputTokensIsAQuantileWithinTheBound(t *testing.T) {
	m := New()
	rng := rand.New(rand.NewPCG(3, 1))
	below, total := 0, 0
	for i := range 4000 {
		tokens := 1 + int(100*math.Exp(rng.NormFloat64()))
		if i > 500 {
			total++
			if tokens <= m.OutputTokens("s", "a", 0) {
				below++
			}
		}
		m.ObserveOutput("s", "a", 0, tokens)
		m.ObserveOutput("s", "a", 1000, min(tokens, 1000))
		assert.Assert(t, m.OutputTokens("s", "a", 1000) <= 1000)
	}
	share := float64(below) / float64(total)
	assert.Assert(t, math.Abs(share-OutputQuantile) < 0.05, "%.3f of the outputs are below the estimate", share)
}

// Guards against memory that grows with every account or version ever seen.
func TestModelIsBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxOutputs {
		name := string(rune('a'+i%26)) + time.Duration(i).String()
		m.ObserveOutput("s", name, 0, 10)
		m.Observe(Observation{Job: Job{Version: name, Plain: true}, Duration: time.Second})
	}
	assert.Assert(t, len(m.outputs) <= maxOutputs)
	assert.Assert(t, len(m.engines) <= maxEngines)
}

// Guards against predicting the speed of an engine from other hardware: a new version
// on a slower generation would look slow, and its move would be reversed.
func TestOnlyModelsWithTypicalDefaultsUseOtherEngines(t *testing.T) {
	unknown := Job{Version: "v", Hardware: "unknown", PrefillTokens: 8000, OutputTokens: 1, Batch: 1}
	for _, m := range []*Model{New(), NewWithTypicalDefaults()} {
		for range 10 {
			m.Observe(Observation{Job: Job{Version: "v", Hardware: "fast", PrefillTokens: 8000, OutputTokens: 10, Batch: 1},
				FirstToken: 100 * time.Millisecond, Duration: 200 * time.Millisecond})
		}
		predicted := m.Predict(unknown)
		assert.Assert(t, !predicted.Confident)
		if m.typical == nil {
			assert.Equal(t, predicted.FirstToken, 8000*time.Second/DefaultPrefillRate)
			continue
		}
		assert.Equal(t, predicted.FirstToken.Round(time.Millisecond), 100*time.Millisecond)
	}
}
